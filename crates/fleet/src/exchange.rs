use crate::{EndpointRecord, EntryAnnouncement};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Latest announcement of an entry, and its age.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedEntry {
    /// The announcement.
    pub entry: EntryAnnouncement,
    /// Age of the announcement when the reply was sent.
    pub age: Duration,
}

/// Request for the view of a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeRequest {
    /// Announcement of the sender, if it is an entry.
    pub entry: Option<EntryAnnouncement>,
    /// Whether the reply should contain the known entries: all of them if the sender is a replica, a
    /// few of each region to which it can relay requests if it is an entry.
    pub wants_entries: bool,
    /// Digest of the endpoint list that the sender holds; zero if it holds none.
    pub known_list: u64,
}

/// View of a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// Entries known to the replica, if requested.
    pub entries: Vec<AnnouncedEntry>,
    /// Addresses of the control replicas' RPC listeners.
    pub replicas: Vec<SocketAddr>,
    /// Number of live entries in the region of the requesting entry.
    pub region_entries: u32,
    /// Digest of the replica's endpoint list; zero if it has none.
    pub list_digest: u64,
    /// Age of the endpoint list; `None` if the replica has none.
    pub list_age: Option<Duration>,
    /// The endpoint list, current as of sending, if it differs from the one the requester holds.
    pub list: Option<Vec<EndpointRecord>>,
}

/// Error from decoding a message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a fleet message cannot be decoded: {0}")]
pub struct ExchangeError(String);

impl ExchangeRequest {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a message.
    pub fn decode(bytes: &[u8]) -> Result<Self, ExchangeError> {
        decode(bytes)
    }
}

impl ExchangeReply {
    /// Returns the endpoint list, current as of `since_sent` after the reply was sent.
    pub fn endpoints(&self, since_sent: Duration) -> Option<Vec<EndpointRecord>> {
        let mut endpoints = self.list.clone()?;
        for endpoint in &mut endpoints {
            endpoint.cold_for = endpoint.cold_for.saturating_sub(since_sent);
        }
        Some(endpoints)
    }

    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a message.
    pub fn decode(bytes: &[u8]) -> Result<Self, ExchangeError> {
        decode(bytes)
    }
}

fn encode<T>(message: &T) -> Vec<u8>
where
    T: Serialize,
{
    // Encoding into memory fails only for sequences of unknown length, which the messages do not
    // contain.
    postcard::to_stdvec(message).unwrap_or_default()
}

fn decode<T>(bytes: &[u8]) -> Result<T, ExchangeError>
where
    T: DeserializeOwned,
{
    postcard::from_bytes(bytes).map_err(|e| ExchangeError(e.to_string()))
}
