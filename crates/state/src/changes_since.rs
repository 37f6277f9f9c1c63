use crate::{Config, ConfigChange};

/// What a holder of an older [`Config`] needs to reach the present one.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangesSince<'a> {
    /// The changes that follow the named version, in order. Empty if it is the present version.
    Changes(Vec<&'a ConfigChange>),
    /// The named version is too old for the history, or newer than the present version.
    Full(&'a Config),
}
