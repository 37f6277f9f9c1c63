use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Number of a control replica, from its settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReplicaId(pub u16);

/// Random identifier of a data directory, drawn when the directory is created. A replica that
/// returns with an empty disk has a new one, so that it cannot vote under its old identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StorageId(pub Uuid);

/// A replica together with the data directory that it voted with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The replica.
    pub replica: ReplicaId,
    /// Its data directory.
    pub storage: StorageId,
}

/// The members that vote and count, and the learners that only receive the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Members that vote and count.
    pub voters: Vec<Member>,
    /// Members that catch up and neither vote nor count.
    pub learners: Vec<Member>,
}
