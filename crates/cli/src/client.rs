use crate::{Exit, Failure, Options};
use awc::error::{ConnectError, SendRequestError};
use awc::http::Method;
use awc::http::header::{AUTHORIZATION, RETRY_AFTER};
use mangospindle_http::{ProblemBody, checked_connector};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::time::Duration;

/// Times that a request is sent. The election of a new leader takes less than two seconds; the
/// pauses between so many attempts are longer than that.
const MAX_ATTEMPTS: u32 = 6;

/// Range of the pause before a repetition, in milliseconds, unless the answer names one.
const PAUSE_MS: std::ops::Range<u64> = 300..900;

/// Longest pause that an answer can ask for.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Largest answer: a page of 1,000 audit records has about 1 MiB.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Characters that stand in a path segment as they are.
const SEGMENT: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'~');

/// A change of the configuration.
pub(crate) struct Change<'a> {
    pub(crate) method: Method,
    pub(crate) path: String,
    /// Name and value of the header that names the version.
    pub(crate) precondition: Option<(&'a str, String)>,
    pub(crate) body: Option<Value>,
}

/// Result of one attempt that did not succeed.
struct Attempt {
    failure: Failure,
    /// Whether another attempt may help.
    retry: bool,
    pause: Option<Duration>,
}

/// Sends requests to the first replica that answers.
pub(crate) struct Client {
    http: awc::Client,
    servers: Vec<String>,
    token: Option<String>,
    request_id: String,
}

impl Client {
    pub(crate) fn new(options: &Options) -> Result<Self, Failure> {
        let token = match &options.token_file {
            None => options.token.clone(),
            Some(file) => {
                let unreadable = |e| Failure::new(Exit::Usage, format!("{}: {e}", file.display()));
                let text = std::fs::read_to_string(file).map_err(unreadable)?;
                Some(text.trim().to_string())
            }
        };
        let new_id = || uuid::Uuid::new_v4().to_string();
        Ok(Client {
            http: awc::Client::builder()
                .connector(checked_connector())
                .timeout(options.timeout)
                .disable_redirects()
                .finish(),
            servers: options.servers.clone(),
            token,
            request_id: options.request_id.clone().unwrap_or_else(new_id),
        })
    }

    /// The replicas that the options name.
    pub(crate) fn servers(&self) -> &[String] {
        &self.servers
    }

    /// Reads from the first replica that answers.
    pub(crate) async fn get<T>(&self, path: &str) -> Result<T, Failure>
    where
        T: DeserializeOwned,
    {
        let value = self.retry(&Method::GET, path, None, None).await?;
        parse(value)
    }

    /// Reads from one replica, without a repetition.
    pub(crate) async fn get_from<T>(&self, server: &str, path: &str) -> Result<T, Failure>
    where
        T: DeserializeOwned,
    {
        match self.attempt(server, &Method::GET, path, None, None).await {
            Ok(value) => parse(value),
            Err(attempt) => Err(attempt.failure),
        }
    }

    /// Makes a change; every attempt carries the same request identifier.
    pub(crate) async fn change(&self, change: Change<'_>) -> Result<Value, Failure> {
        let precondition = change.precondition.as_ref().map(|(n, v)| (*n, v.as_str()));
        let body = change.body.as_ref();
        let result = self
            .retry(&change.method, &change.path, precondition, body)
            .await;
        result.map_err(|mut failure| {
            if failure.exit == Exit::Unknown {
                let id = &self.request_id;
                failure.message += &format!("; repeat the command with --request-id {id}");
            }
            failure
        })
    }

    async fn retry(
        &self,
        method: &Method,
        path: &str,
        precondition: Option<(&str, &str)>,
        body: Option<&Value>,
    ) -> Result<Value, Failure> {
        let mut unknown = false;
        let mut last = Failure::new(Exit::Usage, "no server is named; use --server");
        let servers = self.servers.iter().cycle();
        for (i, server) in servers.take(MAX_ATTEMPTS as usize).enumerate() {
            let attempt = self.attempt(server, method, path, precondition, body).await;
            let failed = match attempt {
                Ok(value) => return Ok(value),
                Err(failed) => failed,
            };
            unknown |= failed.failure.exit == Exit::Unknown;
            last = failed.failure;
            if !failed.retry {
                return Err(last);
            }
            if i + 1 < MAX_ATTEMPTS as usize {
                let jittered = Duration::from_millis(rand::random_range(PAUSE_MS));
                actix_rt::time::sleep(failed.pause.unwrap_or(jittered)).await;
            }
        }
        // One attempt that may have been accepted makes the result unknown, whatever the last one
        // said: it can only have said that it did not get through.
        if unknown && *method != Method::GET {
            last.exit = Exit::Unknown;
        }
        Err(last)
    }

    async fn attempt(
        &self,
        server: &str,
        method: &Method,
        path: &str,
        precondition: Option<(&str, &str)>,
        body: Option<&Value>,
    ) -> Result<Value, Attempt> {
        let url = format!("{}{path}", server.trim_end_matches('/'));
        let mut request = self.http.request(method.clone(), &url);
        if let Some(token) = &self.token {
            request = request.insert_header((AUTHORIZATION, format!("Bearer {token}")));
        }
        if let Some(header) = precondition {
            request = request.insert_header(header);
        }
        if *method != Method::GET {
            request = request.insert_header(("Idempotency-Key", self.request_id.as_str()));
        }
        let sent = match body {
            Some(body) => request.send_json(body).await,
            None => request.send().await,
        };
        let mut response = sent.map_err(|e| not_answered(server, &e))?;
        let lost = |e: &dyn std::fmt::Display| Attempt {
            failure: Failure::new(Exit::Unknown, format!("{server}: {e}")),
            retry: true,
            pause: None,
        };
        let status = response.status();
        let retry_after = response.headers().get(RETRY_AFTER);
        let seconds = retry_after.and_then(|v| v.to_str().ok()?.parse().ok());
        let bytes = response.body().limit(MAX_ANSWER_BYTES).await;
        let bytes = bytes.map_err(|e| lost(&e))?;
        if status.is_success() {
            return serde_json::from_slice(&bytes).map_err(|e| lost(&e));
        }
        let failure = match serde_json::from_slice::<ProblemBody>(&bytes) {
            Ok(problem) => Failure::from_problem(&problem),
            Err(_) => Failure::new(Exit::Unknown, format!("{server} answered {status}")),
        };
        Err(Attempt {
            retry: matches!(failure.exit, Exit::Unavailable | Exit::Unknown),
            pause: seconds.map(|s| Duration::from_secs(s).min(MAX_RETRY_AFTER)),
            failure,
        })
    }
}

/// A request without an answer has not been accepted only if there was no connection. The library
/// also reports a connection that ends before the answer as a connect error, `Disconnected`.
fn not_answered(server: &str, error: &SendRequestError) -> Attempt {
    let (exit, retry) = match error {
        SendRequestError::Url(_) | SendRequestError::Connect(ConnectError::SslIsNotSupported) => {
            (Exit::Usage, false)
        }
        SendRequestError::Connect(
            ConnectError::Resolver(_)
            | ConnectError::NoRecords
            | ConnectError::Unresolved
            | ConnectError::Timeout
            | ConnectError::Io(_),
        ) => (Exit::Unavailable, true),
        _ => (Exit::Unknown, true),
    };
    Attempt {
        failure: Failure::new(exit, format!("{server}: {error}")),
        retry,
        pause: None,
    }
}

fn parse<T>(value: Value) -> Result<T, Failure>
where
    T: DeserializeOwned,
{
    let unexpected = |e| Failure::new(Exit::Refused, format!("unexpected answer: {e}"));
    serde_json::from_value(value).map_err(unexpected)
}

/// A name or key as a path segment.
pub(crate) fn segment(text: &str) -> String {
    utf8_percent_encode(text, SEGMENT).to_string()
}
