//! Messages with [`RestartReports`](crate::RestartReports). They are sent as exchanges of views; a replica
//! of an earlier build answers them with an empty reply.

use crate::{ExchangeError, ReportPosition};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// First byte of a request. An [`ExchangeRequest`](crate::ExchangeRequest) starts with 0 or 1.
const KIND: u8 = 2;

/// Request of an entry or another replica to a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportRequest {
    /// Instances that may have restarted.
    pub reports: Vec<String>,
    /// Whether the receiver passes the reports on to the other replicas.
    pub pass_on: bool,
    /// Asks for the reports of others.
    pub follow: Option<FollowReports>,
}

/// Asks for the reports that the sender does not know.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowReports {
    /// Position up to which the sender knows the receiver's reports.
    pub known: Option<ReportPosition>,
    /// Maximum time for which the receiver waits for a report before it replies.
    pub hold: Duration,
}

/// Reply to a [`ReportRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportReply {
    /// Position up to which the sender then knows the reports.
    pub position: ReportPosition,
    /// Whether the replica holds all recent reports: it was connected to a majority lately, so that reports
    /// of others reach it, and has caught up with them since its start.
    pub complete: bool,
    /// Instances that were reported after the known position.
    pub reports: Vec<String>,
}

impl ReportRequest {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![KIND];
        bytes.extend(postcard::to_stdvec(self).unwrap_or_default());
        bytes
    }

    /// Decodes a message; `None` if the bytes are another request.
    pub fn decode(bytes: &[u8]) -> Option<Result<Self, ExchangeError>> {
        let body = bytes.strip_prefix(&[KIND])?;
        Some(postcard::from_bytes(body).map_err(ExchangeError::from))
    }
}

impl ReportReply {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not such a message.
    pub fn decode(bytes: &[u8]) -> Result<Self, ExchangeError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}
