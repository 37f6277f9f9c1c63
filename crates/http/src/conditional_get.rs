use crate::checked_connector;
use awc::Client;
use awc::http::StatusCode;
use awc::http::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Polls a JSON document with conditional requests, so that it is only transferred after a change.
///
/// Each request sends the entity tag of the cached document in `If-None-Match`. After a response
/// `304 Not Modified`, the cached document is returned. A server without entity tags sends the
/// document each time.
pub struct ConditionalGet<T> {
    client: Client,
    url: String,
    max_bytes: usize,
    cached: Option<(Option<HeaderValue>, T)>,
}

impl<T> ConditionalGet<T>
where
    T: DeserializeOwned,
{
    /// Creates a client for the document at `url`.
    ///
    /// Each request has the timeout `timeout`. Documents of more than `max_bytes` bytes are
    /// rejected.
    pub fn new(url: String, timeout: Duration, max_bytes: usize) -> Self {
        ConditionalGet {
            client: Client::builder()
                .connector(checked_connector())
                .timeout(timeout)
                .finish(),
            url,
            max_bytes,
            cached: None,
        }
    }

    /// Returns the current document.
    ///
    /// # Errors
    ///
    /// Returns a human-readable message if the request fails, if the response has an unexpected
    /// status, or if the body is too long or cannot be decoded.
    pub async fn read(&mut self) -> Result<&T, String> {
        let mut req = self.client.get(&self.url);
        if let Some((Some(tag), _)) = &self.cached {
            req = req.insert_header((IF_NONE_MATCH, tag.clone()));
        }
        let mut response = req.send().await.map_err(|e| e.to_string())?;
        match response.status() {
            StatusCode::NOT_MODIFIED => {}
            StatusCode::OK => {
                let tag = response.headers().get(ETAG).cloned();
                let body = response.body().limit(self.max_bytes).await;
                let body = body.map_err(|e| e.to_string())?;
                let document = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
                self.cached = Some((tag, document));
            }
            status => return Err(format!("unexpected status {status}")),
        }
        match &self.cached {
            Some((_, document)) => Ok(document),
            None => Err("304 Not Modified without a cached document".to_string()),
        }
    }
}
