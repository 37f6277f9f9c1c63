use std::fmt;

/// Why a topology is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TopologyError {
    /// Two items of one kind have the same name.
    DuplicateName(String),
    /// Two listeners have the same address.
    DuplicateAddress(String),
    /// An item refers to a key that is not in its arena.
    DanglingKey(String),
    /// A service names a profile that does not exist.
    UnknownProfile(String),
    /// A number is outside its allowed range.
    OutOfRange(String),
}

impl fmt::Display for TopologyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TopologyError::DuplicateName(name) => write!(f, "the name `{name}` is used twice"),
            TopologyError::DuplicateAddress(address) => {
                write!(f, "the address {address} is used twice")
            }
            TopologyError::DanglingKey(what) => write!(f, "{what} refers to an unknown item"),
            TopologyError::UnknownProfile(name) => write!(f, "there is no profile `{name}`"),
            TopologyError::OutOfRange(what) => write!(f, "{what} is outside its allowed range"),
        }
    }
}

impl std::error::Error for TopologyError {}
