use crate::ConfigChange;

/// Change that an audit record describes.
#[derive(Clone, Debug, PartialEq)]
pub enum AuditChange {
    /// The initial configuration was set.
    Bootstrap {
        /// Number of entries.
        entries: usize,
        /// Number of endpoints.
        endpoints: usize,
        /// Names of the profiles.
        profiles: Vec<String>,
    },
    /// The configuration changed.
    Config {
        /// The change that would restore the previous value; `None` if there was no value.
        before: Option<Box<ConfigChange>>,
        /// The change.
        after: Box<ConfigChange>,
    },
}
