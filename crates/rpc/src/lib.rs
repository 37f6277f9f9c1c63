//! RPC between control replicas, and from other processes to control replicas.
//!
//! The schema is `schema/control.capnp`. The generated module `src/control_capnp.rs` is committed,
//! so that a build does not need the `capnp` tool. To regenerate it, run the tool with the plugin
//! of the crate `capnpc`: `capnp compile --src-prefix=schema -orust:src schema/control.capnp`.
//!
//! Invariants:
//! - [`ProposeResult::NotAccepted`] is only returned when the command is in no log. If the command
//!   may have been sent and no response arrived, the result is [`ProposeResult::Unknown`].
//! - A connection with an outstanding response on which no byte arrives for the silence timeout is
//!   closed, whatever the state of the TCP connection, and a new one is opened without waiting for
//!   TCP to fail.
//! - The configuration version in a [`ControlClient`]'s view never decreases.

mod backoff;
mod connection;
mod connection_stats;
mod control_client;
mod control_service;
mod control_view;
mod limits;
mod metered_stream;
mod peer_link;
mod peer_queue;
mod proposal;
mod propose_result;
mod query_result;
mod rpc_error;
mod server;
mod snapshot_assembler;
mod traffic_counters;
mod watch;
mod watch_loop;
mod wire_message;

#[allow(
    missing_docs,
    clippy::all,
    clippy::unimplemented,
    clippy::unwrap_used,
    clippy::redundant_clone,
    unused_import_braces,
    rust_2018_idioms
)]
#[rustfmt::skip]
mod control_capnp;

pub use control_client::{ControlClient, ControlClientSettings};
pub use control_service::ControlService;
pub use control_view::ControlView;
pub use limits::{
    CUT_OFF_AGE, MAX_COMMAND_BYTES, MAX_MESSAGE_BYTES, MAX_SNAPSHOT_BYTES, MAX_WATCH_HOLD,
    SNAPSHOT_CHUNK_BYTES,
};
pub use peer_link::PeerLink;
pub use proposal::Proposal;
pub use propose_result::ProposeResult;
pub use query_result::QueryResult;
pub use rpc_error::RpcError;
pub use server::serve;
pub use traffic_counters::TrafficCounters;
pub use watch::{EntryReport, WatchContent, WatchReply, WatchRequest};
