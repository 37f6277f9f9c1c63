//! The dynamic view of a deployment: which entries are live, and which endpoints the platform
//! lists.
//!
//! Entries announce themselves to a control replica about once a second, and replicas pull each
//! other's views. One replica reads the platform's list of endpoints, which spreads with the views.
//! Each holder of a copy knows its age. Views are eventually consistent and need no quorum: a stale
//! view can cause a failed connection, but never a wrong response.
//!
//! This crate does no I/O, starts no threads and reads no clock. Time is a [`Duration`] since an
//! arbitrary origin of a monotonic clock. Processes exchange ages rather than times, because their
//! clocks have different origins.
//!
//! [`Duration`]: std::time::Duration

mod endpoint_list;
mod endpoint_record;
mod entry_announcement;
mod exchange;
mod fleet;
mod relay_peers;

pub use endpoint_list::EndpointList;
pub use endpoint_record::{EndpointRecord, EndpointState};
pub use entry_announcement::EntryAnnouncement;
pub use exchange::{AnnouncedEntry, ExchangeError, ExchangeReply, ExchangeRequest};
pub use fleet::{CallerLocation, EntryLookup, Fleet};
pub use relay_peers::RelayPeers;
