//! The dynamic view of a deployment: which entries are live, and which endpoints the platform
//! lists.
//!
//! Entries announce themselves to a control replica about once a second, and replicas pull each
//! other's views. Who holds an earlier version of a list or view gets the difference, so that traffic
//! grows with the changes; whole copies are sent at the start and when the version is unknown. One replica reads the platform's list of endpoints, which spreads with the views.
//! Each holder of a copy knows its age. Views are eventually consistent and need no quorum: a stale
//! view can cause a failed connection, but never a wrong response.
//!
//! This crate does no I/O, starts no threads and reads no clock. Time is a [`Duration`] since an
//! arbitrary origin of a monotonic clock. Processes exchange ages rather than times, because their
//! clocks have different origins.
//!
//! [`Duration`]: std::time::Duration

mod endpoint_copy;
mod endpoint_difference;
mod endpoint_history;
mod endpoint_list;
mod endpoint_record;
mod entry_announcement;
mod entry_difference;
mod entry_table;
mod exchange;
mod fleet;
mod peer_entries;
mod poll_schedule;
mod relay_peers;
mod report_catch_up;
mod report_exchange;
mod restart_reports;
pub mod timing;

pub use endpoint_copy::{EndpointCopy, EndpointCopyError, EndpointUpdate};
pub use endpoint_difference::EndpointDifference;
pub use endpoint_list::EndpointList;
pub use endpoint_record::{EndpointRecord, EndpointState};
pub use entry_announcement::EntryAnnouncement;
pub use entry_difference::{AnnouncementAge, EntryDifference, SlotChange, ViewVersion};
pub use exchange::{
    AnnouncedEntry, Differences, ExchangeError, ExchangeReply, ExchangeRequest, KnownVersions,
};
pub use fleet::{CallerLocation, EntryLookup, Fleet, PeerKey, SentLists};
pub use poll_schedule::{PollRole, PollSchedule, list_poll_interval};
pub use relay_peers::RelayPeers;
pub use report_catch_up::{CatchUpAnswer, ReplicaStart, ReportCatchUp};
pub use report_exchange::{FollowReports, ReportReply, ReportRequest};
pub use restart_reports::{ReportPosition, RestartReports};
