//! At-most-once actions. A durable claim is made before the first byte is sent, and the response is
//! recorded afterwards.

use crate::client::{BodyFraming, ExchangeError};
use crate::headers::{self, REPLAYED, REQUEST_ID};
use crate::in_progress_guard::InProgressGuard;
use crate::ingress;
use crate::outbound_request::{OutboundBody, OutboundRequest};
use crate::propose_with_retry::propose_with_retry;
use crate::proxy_response::{ProxyResponse, ResponseStream};
use crate::request_context::RequestContext;
use crate::request_error::RequestError;
use crate::server_state::ServerState;
use actix_web::http::StatusCode;
use actix_web::http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use bytes::{Bytes, BytesMut};
use futures::{StreamExt, stream};
use mangospindle_model::ErrorKind;
use mangospindle_rpc::ProposeResult;
use mangospindle_state::{
    Attempt, ClaimKey, ClaimOutcome, CommandKind, Outcome, RecordedResponse, RequestId,
};
use sha2::{Digest, Sha256};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Maximum size of the body of an action, in bytes. The body is held in memory because the claim
/// needs its digest.
pub(crate) const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Maximum length of an idempotency key, in bytes. Every control replica holds the keys in memory.
pub(crate) const MAX_KEY_BYTES: usize = 255;

/// Maximum size of a response that is read completely before it is forwarded, in bytes. Such a
/// response that ends early is reported as an unknown outcome.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 1024 * 1024;

/// A claim that was granted to this process.
struct Claim {
    key: ClaimKey,
    attempt: Attempt,
    /// Prefix of the request identifiers of the commands for this claim.
    request: String,
}

/// Returns the idempotency key if it is present and valid.
pub(crate) fn validate_key(key: Option<&str>) -> Result<&str, RequestError> {
    let valid = |key: &str| {
        (1..=MAX_KEY_BYTES).contains(&key.len()) && key.bytes().all(|b| b.is_ascii_graphic())
    };
    match key {
        None => Err(ErrorKind::MissingIdempotencyKey.into()),
        Some(key) if valid(key) => Ok(key),
        Some(_) => Err(RequestError::new(
            ErrorKind::BadRequest,
            "invalid Idempotency-Key",
        )),
    }
}

/// Runs an action. It continues if the caller disconnects, so that a retry finds the response, and
/// counts as in progress until it ends.
pub(crate) async fn run_action(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    outbound: OutboundRequest,
    key: &str,
    count: &InProgressGuard,
) -> Result<ProxyResponse, RequestError> {
    let (tx, rx) = oneshot::channel();
    let key = ClaimKey {
        service: cx.service,
        key: key.to_string(),
    };
    let (shared, cx, count) = (Arc::clone(shared), cx.clone(), count.clone());
    actix_rt::spawn(async move {
        let _count = count;
        let result = claim_and_send(&shared, &cx, outbound, key).await;
        let label = match &result {
            Ok(_) => "answered",
            Err(error) => error.kind.row().name,
        };
        shared.metrics.actions.with_label_values(&[label]).inc();
        // Sending fails if the caller has disconnected.
        let _disconnected = tx.send(result);
    });
    match rx.await {
        Ok(result) => result,
        Err(_) => Err(ErrorKind::OutcomeUnknown.into()),
    }
}

async fn claim_and_send(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    outbound: OutboundRequest,
    key: ClaimKey,
) -> Result<ProxyResponse, RequestError> {
    let Some(entry) = shared.entry_id() else {
        return Err(ErrorKind::NoEndpoint.into());
    };
    let sequence = shared.next_sequence();
    let claim = Claim {
        key,
        attempt: Attempt {
            entry,
            incarnation: shared.incarnation,
            sequence,
        },
        request: format!(
            "{}/{:016x}/{sequence}",
            shared.settings.name, shared.incarnation
        ),
    };
    let command = CommandKind::Claim {
        key: claim.key.clone(),
        digest: digest(&outbound),
        attempt: claim.attempt,
    };
    let time_left = cx.remaining(shared.now())?;
    let request = RequestId(format!("{}/claim", claim.request));
    let proposed = shared
        .control
        .propose(command.clone(), request.clone(), time_left);
    let outcome = match proposed.await {
        ProposeResult::Outcome(outcome) => outcome,
        ProposeResult::NotAccepted | ProposeResult::Outdated => {
            return Err(ErrorKind::NoQuorum.into());
        }
        ProposeResult::Unknown => {
            // The claim may still be granted. The command is repeated under the same identifier
            // until its result is known. Only then is the claim released, so that the release
            // cannot overtake the claim.
            let shared = Arc::clone(shared);
            let pending = propose_with_retry(&shared, command, request);
            actix_rt::spawn(async move {
                let outcome = pending.await;
                if outcome == Some(Outcome::Claim(ClaimOutcome::Granted)) {
                    release_claim(&shared, &claim).await;
                }
            });
            return Err(RequestError::new(
                ErrorKind::NoQuorum,
                "the claim was not confirmed; nothing was sent",
            ));
        }
    };
    match outcome {
        Outcome::Claim(ClaimOutcome::Granted) => send_claimed(shared, cx, outbound, claim).await,
        Outcome::Claim(ClaimOutcome::Completed(recorded)) => Ok(replay_response(recorded, cx)),
        Outcome::Claim(ClaimOutcome::InProgress) => Err(ErrorKind::ActionInProgress.into()),
        Outcome::Claim(ClaimOutcome::BodyMismatch) => Err(ErrorKind::IdempotencyKeyReused.into()),
        Outcome::Claim(ClaimOutcome::Unknown) => Err(ErrorKind::OutcomeUnknown.into()),
        Outcome::Refused { kind, detail, .. } => Err(RequestError::new(kind, detail)),
        Outcome::Claim(ClaimOutcome::NotFound) | Outcome::Done { .. } => Err(RequestError::new(
            ErrorKind::NoQuorum,
            "unexpected answer to the claim",
        )),
    }
}

/// Sends a claimed action and records its outcome.
async fn send_claimed(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    outbound: OutboundRequest,
    claim: Claim,
) -> Result<ProxyResponse, RequestError> {
    let send_result = ingress::send_action(shared, cx, &outbound).await;
    let mut response = match send_result {
        Ok(response) => response,
        Err(error) if error.did_not_run() => {
            actix_rt::spawn(release_claim(shared, &claim));
            return Err(error);
        }
        Err(error) => return Err(mark_unknown(shared, claim, error.kind)),
    };
    let mut body = BytesMut::new();
    while let Some(chunk) = response.body.next().await {
        match chunk {
            Ok(chunk) => body.extend_from_slice(&chunk),
            Err(ExchangeError::Body(_)) | Err(_) => {
                return Err(mark_unknown(shared, claim, ErrorKind::UpstreamFailed));
            }
        }
        if body.len() > MAX_BUFFERED_RESPONSE_BYTES {
            break;
        }
    }
    let body = body.freeze();
    record_completion(shared, claim, &response, &body);
    let rest = std::mem::replace(&mut response.body, Box::pin(stream::empty()));
    let whole: ResponseStream = Box::pin(stream::iter([Ok(body)]).chain(rest));
    response.body = whole;
    Ok(response)
}

fn record_completion(
    shared: &Arc<ServerState>,
    claim: Claim,
    response: &ProxyResponse,
    body: &Bytes,
) {
    let keep_body = body.len() <= RecordedResponse::MAX_BODY_BYTES;
    let recorded = RecordedResponse {
        status: response.status.as_u16(),
        content_type: response.header(CONTENT_TYPE.as_str()).map(str::to_string),
        body: keep_body.then(|| body.to_vec()),
    };
    let command = CommandKind::CompleteClaim {
        key: claim.key,
        attempt: claim.attempt,
        response: recorded,
    };
    spawn_propose(shared, command, format!("{}/complete", claim.request));
}

fn mark_unknown(shared: &Arc<ServerState>, claim: Claim, cause: ErrorKind) -> RequestError {
    let command = CommandKind::MarkClaimUnknown {
        key: claim.key,
        attempt: claim.attempt,
    };
    spawn_propose(shared, command, format!("{}/unknown", claim.request));
    RequestError::new(ErrorKind::OutcomeUnknown, cause.row().title)
}

/// Releases a claim. Without a result, the claim stays held and its outcome counts as unknown.
fn release_claim(
    shared: &Arc<ServerState>,
    claim: &Claim,
) -> impl Future<Output = Option<Outcome>> + use<> {
    let command = CommandKind::ReleaseClaim {
        key: claim.key.clone(),
        attempt: claim.attempt,
    };
    let request = RequestId(format!("{}/release", claim.request));
    propose_with_retry(shared, command, request)
}

fn spawn_propose(shared: &Arc<ServerState>, command: CommandKind, request: String) {
    // Without a result, the outcome of the action counts as unknown.
    actix_rt::spawn(propose_with_retry(shared, command, RequestId(request)));
}

/// Digest of the method, path and body of a request.
fn digest(outbound: &OutboundRequest) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in [outbound.method.as_str(), outbound.path.as_str()] {
        // The length prefix separates the fields.
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    if let OutboundBody::Bytes(body) = &outbound.body {
        hash.update(body);
    }
    hash.finalize().into()
}

/// Builds the response from the one recorded for an earlier request with the same key.
fn replay_response(recorded: RecordedResponse, cx: &RequestContext) -> ProxyResponse {
    let mut headers = HeaderMap::new();
    let content_type = recorded.content_type.as_deref();
    if let Some(Ok(value)) = content_type.map(HeaderValue::from_str) {
        headers.insert(CONTENT_TYPE, value);
    }
    headers::set(&mut headers, REQUEST_ID, &cx.id);
    let replay_mode = if recorded.body.is_some() {
        "whole"
    } else {
        "without-body"
    };
    headers.insert(
        HeaderName::from_static(REPLAYED),
        HeaderValue::from_static(replay_mode),
    );
    let body = Bytes::from(recorded.body.unwrap_or_default());
    ProxyResponse {
        status: StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK),
        headers,
        framing: BodyFraming::Length(body.len() as u64),
        declared_length: None,
        body: Box::pin(stream::iter([Ok(body)])),
    }
}

/// Timeout of a query for the state of an action.
pub(crate) const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
