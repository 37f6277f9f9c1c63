//! Messages between entries and replicas, and between replicas. They are sent as exchanges of views; a
//! replica of an earlier build answers them with an empty reply.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// First byte of a [`UsageReport`]. Exchanges of views start with 0 or 1, restart reports with 2.
const REPORT_KIND: u8 = 3;

/// First byte of a [`PeerUsage`].
const PEER_KIND: u8 = 4;

/// A message cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a usage message cannot be decoded: {0}")]
pub struct MessageError(String);

/// Usage of one workspace at one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryUsage {
    /// Name of the workspace.
    pub workspace: String,
    /// Requests admitted since the start of the entry, less those that were refunded.
    pub admitted: i64,
    /// The part of `admitted` that a replica has acknowledged.
    pub acknowledged: i64,
    /// Requests rejected since the start of the entry.
    pub rejected: u64,
    /// Requests per second that callers lately asked for, admitted or not.
    pub offered_rate: f32,
}

/// Report of an entry to its replica.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Name of the entry's VM.
    pub entry: String,
    /// Random number drawn at the start of the entry's process.
    pub incarnation: u64,
    /// Workspaces with a change since the last acknowledged report.
    pub workspaces: Vec<EntryUsage>,
}

/// Usage of one workspace in the whole deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceTotal {
    /// Name of the workspace.
    pub workspace: String,
    /// Requests per second that callers of all entries lately asked for.
    pub offered_rate: f32,
    /// Level of the workspace's token bucket, in requests. Negative if more were admitted than allowed;
    /// `None` if the replica does not know it, because it has just started.
    pub level: Option<f32>,
}

/// Reply to a [`UsageReport`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageReply {
    /// Number of live entries in the deployment.
    pub entries: u32,
    /// Whether the replica knows the levels and lists all short workspaces.
    pub is_complete: bool,
    /// The reported workspaces and those that are short.
    pub workspaces: Vec<WorkspaceTotal>,
}

/// Usage of one workspace at the entries that report to one replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerWorkspace {
    /// Name of the workspace.
    pub workspace: String,
    /// Requests admitted since the start of the replica, less those that were refunded.
    pub admitted: i64,
    /// Requests per second that callers of these entries lately asked for.
    pub offered_rate: f32,
}

/// What a replica tells the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerUsage {
    /// Identifier of the sending replica.
    pub replica: u64,
    /// Random number drawn at the start of the replica's process.
    pub incarnation: u64,
    /// Workspaces in use.
    pub workspaces: Vec<PeerWorkspace>,
}

impl UsageReport {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        encode(Some(REPORT_KIND), self)
    }

    /// Decodes a message; `None` if the bytes are another request.
    pub fn decode(bytes: &[u8]) -> Option<Result<Self, MessageError>> {
        Some(decode(bytes.strip_prefix(&[REPORT_KIND])?))
    }
}

impl UsageReply {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        encode(None, self)
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not such a message, for instance the empty reply of an earlier build.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        decode(bytes)
    }
}

impl PeerUsage {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        encode(Some(PEER_KIND), self)
    }

    /// Decodes a message; `None` if the bytes are another request.
    pub fn decode(bytes: &[u8]) -> Option<Result<Self, MessageError>> {
        Some(decode(bytes.strip_prefix(&[PEER_KIND])?))
    }
}

fn encode<T>(kind: Option<u8>, message: &T) -> Vec<u8>
where
    T: Serialize,
{
    let mut bytes: Vec<u8> = kind.into_iter().collect();
    // Encoding into memory fails only for sequences of unknown length, which the messages do not
    // contain.
    bytes.extend(postcard::to_stdvec(message).unwrap_or_default());
    bytes
}

fn decode<T>(bytes: &[u8]) -> Result<T, MessageError>
where
    T: DeserializeOwned,
{
    postcard::from_bytes(bytes).map_err(|e| MessageError(e.to_string()))
}
