use super::AdminContext;
use super::caller::Caller;
use super::wire::ChangeResultWire;
use crate::OrderOrigin;
use actix_web::HttpRequest;
use actix_web::http::header::{ETAG, HeaderValue, IF_MATCH, IF_NONE_MATCH};
use actix_web::{HttpResponse, web};
use mangospindle_http::{CallerConnection, Problem};
use mangospindle_model::ErrorKind;
use mangospindle_state::{Actor, Command, CommandKind, Outcome, RequestId};

/// Header that identifies a request across retries.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Maximum length of an `Idempotency-Key`, in bytes. The state machine has the same limit.
const MAX_KEY_BYTES: usize = 128;

/// The request identifier and the actor of a change, from which a command is built.
pub(super) struct ChangeRequest {
    cx: web::Data<AdminContext>,
    request: RequestId,
    actor: Actor,
    origin: OrderOrigin,
}

impl ChangeRequest {
    /// Reads the request identifier from the `Idempotency-Key` header. Called when the request arrives,
    /// before anything is waited for.
    ///
    /// Returns an error if the header is missing or malformed, or its length is out of range.
    pub(super) fn new(
        cx: web::Data<AdminContext>,
        caller: Caller,
        req: &HttpRequest,
    ) -> Result<Self, Problem> {
        let key = text_header(req, IDEMPOTENCY_KEY)?
            .ok_or_else(|| Problem::from(ErrorKind::MissingIdempotencyKey))?;
        if !(1..=MAX_KEY_BYTES).contains(&key.len()) {
            let detail = format!("Idempotency-Key has 1 to {MAX_KEY_BYTES} bytes");
            return Err(Problem::new(ErrorKind::BadRequest, detail));
        }
        let caller_connection = req.conn_data::<CallerConnection>().cloned();
        let origin = OrderOrigin::new(cx.backend.applied_index(), caller_connection);
        Ok(ChangeRequest {
            cx,
            request: RequestId(key.to_string()),
            actor: Actor::Operator(caller.name),
            origin,
        })
    }

    /// Proposes the change. The response contains the configuration version after the change and
    /// `etag`, if given.
    pub(super) async fn propose(
        self,
        kind: CommandKind,
        etag: Option<String>,
    ) -> Result<HttpResponse, Problem> {
        let command = Command {
            request: self.request,
            actor: self.actor,
            // The leader sets the time.
            leader_time_ms: 0,
            kind,
        };
        match self.cx.backend.propose(command, self.origin).await? {
            Outcome::Done { version } => {
                let mut response = HttpResponse::Ok();
                if let Some(etag) = etag {
                    response.insert_header((ETAG, etag));
                }
                Ok(response.json(ChangeResultWire { version }))
            }
            Outcome::Refused {
                kind,
                detail,
                current_version,
            } => Err(Problem {
                kind,
                detail,
                current_version,
            }),
            Outcome::Claim(_) => Err(Problem::new(ErrorKind::Internal, "the change was a claim")),
        }
    }
}

/// Formats a strong entity tag. Returns `None` if the value is not valid in a header.
pub(super) fn etag<V>(value: V) -> Option<String>
where
    V: ToString,
{
    let tag = format!("\"{}\"", value.to_string());
    HeaderValue::from_str(&tag).ok().map(|_| tag)
}

/// Returns the entity tag in `If-Match` without its quotes. Every change of a versioned item
/// requires this header.
pub(super) fn if_match(req: &HttpRequest) -> Result<&str, Problem> {
    let header = text_header(req, IF_MATCH.as_str())?;
    let tag = header.ok_or_else(|| Problem::from(ErrorKind::MissingVersion))?;
    (tag.strip_prefix('"').and_then(|t| t.strip_suffix('"')))
        .filter(|t| !t.contains('"'))
        .ok_or_else(|| Problem::new(ErrorKind::BadRequest, "If-Match is one quoted entity tag"))
}

/// Parses the entity tag in `If-Match` as a number.
pub(super) fn if_match_number<N>(req: &HttpRequest) -> Result<N, Problem>
where
    N: std::str::FromStr,
{
    let invalid_version = |_| Problem::new(ErrorKind::BadRequest, "If-Match is not a version");
    if_match(req)?.parse().map_err(invalid_version)
}

/// Returns the version that a put is based on. It is 0 for `If-None-Match: *`, which creates the
/// item.
pub(super) fn base_version(req: &HttpRequest) -> Result<u64, Problem> {
    match text_header(req, IF_NONE_MATCH.as_str())? {
        None => if_match_number(req),
        Some("*") if !req.headers().contains_key(IF_MATCH) => Ok(0),
        Some(_) => Err(Problem::new(
            ErrorKind::BadRequest,
            "If-None-Match is only used as `*` and without If-Match",
        )),
    }
}

fn text_header<'a>(req: &'a HttpRequest, name: &str) -> Result<Option<&'a str>, Problem> {
    let mut values = req.headers().get_all(name);
    let value = values.next().map(|v| v.to_str());
    match (value, values.next()) {
        (None, _) => Ok(None),
        (Some(Ok(text)), None) => Ok(Some(text)),
        _ => {
            let detail = format!("the header {name} is repeated or not visible ASCII");
            Err(Problem::new(ErrorKind::BadRequest, detail))
        }
    }
}
