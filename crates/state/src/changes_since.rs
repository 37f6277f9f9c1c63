use crate::{Config, ConfigChange};

/// Update of a copy of [`Config`] from an older version to the current one.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangesSince<'a> {
    /// The changes after the requested version, in order. Empty if it is the current version.
    Changes(Vec<ConfigChange>),
    /// The full configuration. The requested version is older than the change history, or newer
    /// than the current version.
    Full(&'a Config),
}
