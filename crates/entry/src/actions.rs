//! At-most-once actions: a durable claim before the first byte, and the stored answer after it.

use crate::client::{BodyFraming, ExchangeError};
use crate::headers::{self, REPLAYED, REQUEST_ID};
use crate::ingress;
use crate::outbound_request::{OutboundBody, OutboundRequest};
use crate::persist::persist;
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
    Attempt, ClaimKey, ClaimOutcome, CommandKind, Outcome, RecordedAnswer, RequestId,
};
use sha2::{Digest, Sha256};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Largest body of an action, in bytes. It is held in memory because the claim needs its digest.
pub(crate) const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Longest idempotency key, in bytes. Keys live in the memory of every control replica.
pub(crate) const MAX_KEY_BYTES: usize = 255;

/// Answers up to this size are read before they are passed on, so that an answer that ends early
/// is reported as an unknown outcome. In bytes.
const MAX_BUFFERED_ANSWER: usize = 1024 * 1024;

/// A claim that was granted to this process.
struct Claim {
    key: ClaimKey,
    attempt: Attempt,
    /// Start of the request identifiers of the commands about this claim.
    request: String,
}

/// Checks an idempotency key.
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

/// Runs an action. It goes on when the caller disconnects, so that a resend finds its answer.
pub(crate) async fn run_action(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    outbound: OutboundRequest,
    key: &str,
) -> Result<ProxyResponse, RequestError> {
    let (sender, receiver) = oneshot::channel();
    let key = ClaimKey {
        service: cx.service,
        key: key.to_string(),
    };
    let (shared, cx) = (Arc::clone(shared), cx.clone());
    actix_rt::spawn(async move {
        let result = claim_and_send(&shared, &cx, outbound, key).await;
        let label = match &result {
            Ok(_) => "answered",
            Err(refusal) => refusal.kind.row().name,
        };
        shared.metrics.actions.with_label_values(&[label]).inc();
        // A failed send means that the caller has gone.
        let _gone = sender.send(result);
    });
    match receiver.await {
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
    let left = cx.remaining(shared.now())?;
    let request = RequestId(format!("{}/claim", claim.request));
    let proposed = shared
        .control
        .propose(command.clone(), request.clone(), left);
    let outcome = match proposed.await {
        ProposeResult::Outcome(outcome) => outcome,
        ProposeResult::NotAccepted => return Err(ErrorKind::NoQuorum.into()),
        ProposeResult::Unknown => {
            // The claim may be granted later. It is claimed again under the same identifier until
            // its result is known, and only then released, so that the release comes second.
            let shared = Arc::clone(shared);
            actix_rt::spawn(async move {
                let outcome = persist(&shared, command, request).await;
                if outcome == Some(Outcome::Claim(ClaimOutcome::Granted)) {
                    release(&shared, &claim).await;
                }
            });
            return Err(RequestError::new(
                ErrorKind::NoQuorum,
                "the claim was not confirmed; nothing was sent",
            ));
        }
    };
    match outcome {
        Outcome::Claim(ClaimOutcome::Granted) => send(shared, cx, outbound, claim).await,
        Outcome::Claim(ClaimOutcome::Completed(recorded)) => Ok(replay(recorded, cx)),
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

/// Sends a claimed action and records how it ended.
async fn send(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    outbound: OutboundRequest,
    claim: Claim,
) -> Result<ProxyResponse, RequestError> {
    let sent = ingress::send_action(shared, cx, &outbound).await;
    let mut answer = match sent {
        Ok(answer) => answer,
        Err(refusal) if refusal.did_not_run() => {
            let shared = Arc::clone(shared);
            actix_rt::spawn(async move { release(&shared, &claim).await });
            return Err(refusal);
        }
        Err(refusal) => return Err(unknown(shared, claim, refusal.kind)),
    };
    let mut body = BytesMut::new();
    while let Some(chunk) = answer.body.next().await {
        match chunk {
            Ok(chunk) => body.extend_from_slice(&chunk),
            Err(ExchangeError::Body(_)) | Err(_) => {
                return Err(unknown(shared, claim, ErrorKind::UpstreamFailed));
            }
        }
        if body.len() > MAX_BUFFERED_ANSWER {
            break;
        }
    }
    let body = body.freeze();
    complete(shared, claim, &answer, &body);
    let rest = std::mem::replace(&mut answer.body, Box::pin(stream::empty()));
    let whole: ResponseStream = Box::pin(stream::iter([Ok(body)]).chain(rest));
    answer.body = whole;
    Ok(answer)
}

fn complete(shared: &Arc<ServerState>, claim: Claim, answer: &ProxyResponse, body: &Bytes) {
    let kept = body.len() <= RecordedAnswer::MAX_BODY_BYTES;
    let recorded = RecordedAnswer {
        status: answer.status.as_u16(),
        content_type: answer.header(CONTENT_TYPE.as_str()).map(str::to_string),
        body: kept.then(|| body.to_vec()),
    };
    let command = CommandKind::CompleteClaim {
        key: claim.key,
        attempt: claim.attempt,
        answer: recorded,
    };
    persist_later(shared, command, format!("{}/complete", claim.request));
}

fn unknown(shared: &Arc<ServerState>, claim: Claim, cause: ErrorKind) -> RequestError {
    let command = CommandKind::MarkClaimUnknown {
        key: claim.key,
        attempt: claim.attempt,
    };
    persist_later(shared, command, format!("{}/unknown", claim.request));
    RequestError::new(ErrorKind::OutcomeUnknown, cause.row().title)
}

async fn release(shared: &Arc<ServerState>, claim: &Claim) {
    let command = CommandKind::ReleaseClaim {
        key: claim.key.clone(),
        attempt: claim.attempt,
    };
    let request = RequestId(format!("{}/release", claim.request));
    // Without a result, the claim stays held; its outcome then counts as not known.
    let _outcome = persist(shared, command, request).await;
}

fn persist_later(shared: &Arc<ServerState>, command: CommandKind, request: String) {
    let shared = Arc::clone(shared);
    actix_rt::spawn(async move {
        // Without a result, the outcome of the action counts as not known.
        let _outcome = persist(&shared, command, RequestId(request)).await;
    });
}

/// Digest of method, path and body.
fn digest(outbound: &OutboundRequest) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in [outbound.method.as_str(), outbound.path.as_str()] {
        // The length separates the parts.
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    if let OutboundBody::Bytes(body) = &outbound.body {
        hash.update(body);
    }
    hash.finalize().into()
}

/// Builds the answer from what an earlier request with the same key got.
fn replay(recorded: RecordedAnswer, cx: &RequestContext) -> ProxyResponse {
    let mut headers = HeaderMap::new();
    let content_type = recorded.content_type.as_deref();
    if let Some(Ok(value)) = content_type.map(HeaderValue::from_str) {
        headers.insert(CONTENT_TYPE, value);
    }
    headers::set(&mut headers, REQUEST_ID, &cx.id);
    let kept = if recorded.body.is_some() {
        "whole"
    } else {
        "without-body"
    };
    headers.insert(
        HeaderName::from_static(REPLAYED),
        HeaderValue::from_static(kept),
    );
    let body = Bytes::from(recorded.body.unwrap_or_default());
    ProxyResponse {
        status: StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK),
        headers,
        framing: BodyFraming::Length(body.len() as u64),
        declared: None,
        body: Box::pin(stream::iter([Ok(body)])),
    }
}

/// Longest wait for an answer about the state of an action.
pub(crate) const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
