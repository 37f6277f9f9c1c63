//! Small `Copy` keys into the arenas of a [`Topology`](crate::Topology).

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! define_key {
    ($(#[$meta:meta])* $name:ident, $repr:ty) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl $name {
            /// The position of the keyed item in its arena.
            pub fn index(self) -> usize {
                self.0 as usize
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

define_key!(
    /// Key of a [`Region`](crate::Region).
    RegionId,
    u16
);
define_key!(
    /// Key of a [`FailureDomain`](crate::FailureDomain).
    FailureDomainId,
    u16
);
define_key!(
    /// Key of an [`Entry`](crate::Entry).
    EntryId,
    u16
);
define_key!(
    /// Key of an [`Endpoint`](crate::Endpoint).
    EndpointId,
    u32
);
define_key!(
    /// Key of a [`Service`](crate::Service).
    ServiceId,
    u16
);
