//! The view of a deployment that changes by itself: which entries are alive, and which endpoints
//! the platform lists.
//!
//! Entries announce themselves to a control replica about once a second. Replicas pull each other's
//! views. One replica reads the platform's list of endpoints, and it spreads with the views; each
//! holder knows how old its copy is. Nothing here is agreed on by a majority: a view that is late
//! costs a failed connection, never a wrong answer.
//!
//! This crate has no sockets, files, threads or clock reads. Time is a [`Duration`] since an
//! arbitrary start of a monotonic clock. Ages, not times, are sent between processes.
//!
//! [`Duration`]: std::time::Duration

mod endpoint_list;
mod endpoint_record;
mod entry_announcement;
mod exchange;
mod fleet;

pub use endpoint_list::EndpointList;
pub use endpoint_record::{EndpointRecord, EndpointState};
pub use entry_announcement::EntryAnnouncement;
pub use exchange::{AnnouncedEntry, ExchangeError, ExchangeReply, ExchangeRequest};
pub use fleet::{CallerLocation, EntryLookup, Fleet};
