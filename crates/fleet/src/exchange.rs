use crate::{EndpointDifference, EndpointRecord, EntryAnnouncement, EntryDifference, ViewVersion};
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
    /// What a sender that understands differences holds besides. Replicas of earlier builds ignore
    /// it, because it follows the message.
    #[serde(skip)]
    pub differences: Option<KnownVersions>,
}

/// What the sender of a request holds of the receiver's view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersions {
    /// Version of the receiver's entries, if the sender is a replica and holds them.
    pub entries: Option<ViewVersion>,
}

/// What a reply contains for a sender that understands differences.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Differences {
    /// Difference to the requested list, if the sender's version is known.
    pub endpoints: Option<EndpointDifference>,
    /// Checksum of the replica's list; zero if it has none.
    pub list_checksum: u64,
    /// Entries, if requested by a replica. They replace those in the message itself.
    pub entries: Option<EntryDifference>,
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
    /// Differences, if the request asked for them. Like [`ExchangeRequest::differences`], they follow
    /// the message.
    #[serde(skip)]
    pub differences: Option<Differences>,
}

/// Error from decoding a message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a fleet message cannot be decoded: {0}")]
pub struct ExchangeError(String);

impl From<postcard::Error> for ExchangeError {
    fn from(e: postcard::Error) -> Self {
        ExchangeError(e.to_string())
    }
}

impl ExchangeRequest {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        encode(self, self.differences.as_ref())
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not such a message.
    pub fn decode(bytes: &[u8]) -> Result<Self, ExchangeError> {
        let (message, differences) = decode(bytes)?;
        Ok(Self {
            differences,
            ..message
        })
    }
}

impl ExchangeReply {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        encode(self, self.differences.as_ref())
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not such a message.
    pub fn decode(bytes: &[u8]) -> Result<Self, ExchangeError> {
        let (message, differences) = decode(bytes)?;
        Ok(Self {
            differences,
            ..message
        })
    }
}

/// Encodes a message and the extension that follows it. Earlier builds ignore what follows a message.
fn encode<T, E>(message: &T, extension: Option<&E>) -> Vec<u8>
where
    T: Serialize,
    E: Serialize,
{
    // Encoding into memory fails only for sequences of unknown length, which the messages do not
    // contain.
    let mut bytes = postcard::to_stdvec(message).unwrap_or_default();
    if let Some(extension) = extension {
        bytes.extend(postcard::to_stdvec(extension).unwrap_or_default());
    }
    bytes
}

/// Decodes a message and the extension that follows it, if there is one.
fn decode<T, E>(bytes: &[u8]) -> Result<(T, Option<E>), ExchangeError>
where
    T: DeserializeOwned,
    E: DeserializeOwned,
{
    let (message, rest) = postcard::take_from_bytes(bytes)?;
    let extension = match rest.is_empty() {
        true => None,
        false => Some(postcard::from_bytes(rest)?),
    };
    Ok((message, extension))
}
