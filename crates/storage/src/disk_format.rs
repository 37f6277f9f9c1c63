//! Types of the on-disk format. They are separate from those of `consensus`, so that a change there
//! cannot change the format unnoticed.

mod entry;
mod hard_state;
mod identity;
mod log_record;
mod member;
mod snapshot;

pub(crate) use entry::StoredEntry;
pub(crate) use hard_state::StoredHardState;
pub(crate) use identity::StoredIdentity;
pub(crate) use log_record::LogRecord;
pub(crate) use member::{StoredMember, StoredMembership};
pub(crate) use snapshot::StoredSnapshot;
