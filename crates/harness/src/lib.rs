//! Runs a local deployment of real processes behind a fault-injecting proxy.
//!
//! A [`Cluster`] starts the built binaries with settings of their own, on ports that no other test
//! uses. All traffic between entries, between control replicas and from entries to control passes
//! through one [`Proxy`], which adds latency and can cut, silence or slow the links of a failure
//! domain. This is a development tool; no process of the system starts another.

mod checks;
mod cluster;
mod cluster_settings;
mod cluster_spec;
mod fault;
mod node;
mod port_block;
mod process;
mod proxy;
mod pump;
mod standins;
mod wait;

pub use checks::violations;
pub use cluster::Cluster;
pub use cluster_spec::{ClusterSpec, Example};
pub use fault::Fault;
pub use node::Node;
pub use port_block::PortBlock;
pub use process::Process;
pub use proxy::{LinkKey, Proxy};
pub use standins::Standins;
pub use wait::wait_until;
