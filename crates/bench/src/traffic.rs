use mangospindle_model::{RequestClass, Topology};
use serde::{Deserialize, Serialize};

/// What a request of a kind of traffic looks like.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TrafficKind {
    /// `GET` with an answer of this many bytes.
    Read {
        /// Size of the answer.
        answer_bytes: u32,
    },
    /// `PUT` with a streamed body of this many bytes.
    Upload {
        /// Size of the body.
        body_bytes: u32,
    },
    /// `POST` with an idempotency key of its own.
    AtMostOnce,
}

impl TrafficKind {
    /// The request class of the traffic.
    pub fn class(self) -> RequestClass {
        match self {
            TrafficKind::Read { .. } => RequestClass::Read,
            TrafficKind::Upload { .. } => RequestClass::Upload,
            TrafficKind::AtMostOnce => RequestClass::AtMostOnce,
        }
    }
}

/// One kind of traffic to one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Name of the service.
    pub service: String,
    /// What the requests look like.
    pub kind: TrafficKind,
    /// Requests per second from each region, in the order of the topology.
    pub rate_by_region: Vec<f64>,
}

impl Traffic {
    /// A mix that fits the services of a topology: mostly reads of the first service, and the
    /// write class of each other service.
    pub fn mix(topology: &Topology, rate_per_region: f64) -> Vec<Traffic> {
        let regions = topology.regions.len();
        let traffic = |(i, service): (usize, &mangospindle_model::Service)| {
            let (kind, part) = match (i, service.write_class) {
                (0, _) => (
                    TrafficKind::Read {
                        answer_bytes: 8 * 1024,
                    },
                    0.7,
                ),
                (_, RequestClass::AtMostOnce) => (TrafficKind::AtMostOnce, 0.05),
                _ => (
                    TrafficKind::Upload {
                        body_bytes: 256 * 1024,
                    },
                    0.2,
                ),
            };
            Traffic {
                service: service.name.clone(),
                kind,
                rate_by_region: vec![rate_per_region * part; regions],
            }
        };
        topology.services.iter().enumerate().map(traffic).collect()
    }
}
