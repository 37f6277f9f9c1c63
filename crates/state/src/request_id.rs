use serde::{Deserialize, Serialize};

/// Identifier of a change request. A resend carries the same identifier and gets the first result.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub String);
