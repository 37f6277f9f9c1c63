use crate::ResponseHead;
use actix_web::http::header::HeaderMap;

/// Header with the id of the request that a response belongs to.
const REQUEST_ID: &str = "x-request-id";

/// Tells the response to a request from other responses on its connection, which are skipped.
///
/// A peer may respond twice to a request. The second response then arrives in place of the next one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExpectedId {
    /// The request has no id: a response with an id belongs to another request.
    Absent,
    /// The request has this id. The peer may leave it out of any response.
    Optional(String),
    /// The request has this id. The peer leaves it out of error responses at most, so a success without
    /// it belongs to a request without an id.
    InSuccess(String),
}

impl ExpectedId {
    /// Expects the id of a caller's request in successful responses; an empty one stands for none.
    pub fn in_success(id: &str) -> Self {
        match id {
            "" => ExpectedId::Absent,
            id => ExpectedId::InSuccess(id.to_string()),
        }
    }

    /// Whether a response may belong to the request.
    pub(crate) fn matches(&self, head: &ResponseHead) -> bool {
        match (self, response_id(&head.headers)) {
            (ExpectedId::Absent, received) => received.is_none(),
            (ExpectedId::Optional(id) | ExpectedId::InSuccess(id), Some(received)) => {
                id.as_bytes() == received
            }
            (ExpectedId::Optional(_), None) => true,
            (ExpectedId::InSuccess(_), None) => !head.status.is_success(),
        }
    }
}

/// The request id in the headers of a response, if there is one.
pub(crate) fn response_id(headers: &HeaderMap) -> Option<&[u8]> {
    let id = headers.get(REQUEST_ID)?.as_bytes();
    Some(id).filter(|id| !id.is_empty())
}
