//! What goes to disk. The types are separate from those of `consensus`, so that a change there
//! cannot change the format unnoticed.

mod entry;
mod hard_state;
mod identity;
mod member;
mod record;
mod snapshot;

pub(crate) use entry::WireEntry;
pub(crate) use hard_state::WireHardState;
pub(crate) use identity::WireIdentity;
pub(crate) use member::{WireMember, WireMembership};
pub(crate) use record::WireRecord;
pub(crate) use snapshot::WireSnapshot;
