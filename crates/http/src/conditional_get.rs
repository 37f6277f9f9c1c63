use awc::Client;
use awc::http::StatusCode;
use awc::http::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Reads a JSON document again and again, and only transfers it when it has changed.
///
/// The server's entity tag is sent back; an answer `304 Not Modified` stands for the last document.
/// A server without entity tags sends the document each time.
pub struct ConditionalGet<T> {
    client: Client,
    url: String,
    limit: usize,
    last: Option<(Option<HeaderValue>, T)>,
}

impl<T> ConditionalGet<T>
where
    T: DeserializeOwned,
{
    /// A reader of the document at `url`, of at most `limit` bytes. Each read takes at most
    /// `timeout`.
    pub fn new(url: String, timeout: Duration, limit: usize) -> Self {
        ConditionalGet {
            client: Client::builder().timeout(timeout).finish(),
            url,
            limit,
            last: None,
        }
    }

    /// Reads the document; the error says for people why it could not be read.
    pub async fn read(&mut self) -> Result<&T, String> {
        let mut req = self.client.get(&self.url);
        if let Some((Some(tag), _)) = &self.last {
            req = req.insert_header((IF_NONE_MATCH, tag.clone()));
        }
        let mut answer = req.send().await.map_err(|e| e.to_string())?;
        match answer.status() {
            StatusCode::NOT_MODIFIED => {}
            StatusCode::OK => {
                let tag = answer.headers().get(ETAG).cloned();
                let body = answer.body().limit(self.limit).await;
                let body = body.map_err(|e| e.to_string())?;
                let document = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
                self.last = Some((tag, document));
            }
            status => return Err(format!("status {status}")),
        }
        match &self.last {
            Some((_, document)) => Ok(document),
            None => Err("not modified, but never read".to_string()),
        }
    }
}
