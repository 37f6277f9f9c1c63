use crate::{EndpointRecord, EntryAnnouncement};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// An entry that was heard, and how long ago.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedEntry {
    /// What it announced.
    pub entry: EntryAnnouncement,
    /// Time since it announced it, at the time of sending.
    pub age: Duration,
}

/// Asks a control replica for its view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeRequest {
    /// The caller, if it is an entry.
    pub entry: Option<EntryAnnouncement>,
    /// Whether the caller wants to know the entries.
    pub wants_entries: bool,
    /// Digest of the endpoint list that the caller holds; zero for none.
    pub known_list: u64,
}

/// A control replica's view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// Entries that the replica knows, if the caller wants them.
    pub entries: Vec<AnnouncedEntry>,
    /// Addresses of the control replicas' RPC listeners.
    pub replicas: Vec<SocketAddr>,
    /// Live entries in the region of the caller.
    pub region_entries: u32,
    /// Digest of the replica's endpoint list; zero for none.
    pub list_digest: u64,
    /// Age of the endpoint list; `None` if the replica has none.
    pub list_age: Option<Duration>,
    /// The endpoint list as of sending, if the caller holds another one.
    pub list: Option<Vec<EndpointRecord>>,
}

/// Why a message cannot be used.
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
    /// The endpoint list as of `since_sent` after the reply was sent.
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
    // Encoding into memory fails only for sequences of unknown length; there are none.
    postcard::to_stdvec(message).unwrap_or_default()
}

fn decode<T>(bytes: &[u8]) -> Result<T, ExchangeError>
where
    T: DeserializeOwned,
{
    postcard::from_bytes(bytes).map_err(|e| ExchangeError(e.to_string()))
}
