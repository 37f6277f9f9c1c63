use serde::{Deserialize, Serialize};

/// Identifier of a change request. A resend has the same identifier and receives the first outcome.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub String);
