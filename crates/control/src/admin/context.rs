use super::{AdminBackend, Tokens};
use std::sync::Arc;

/// State that all handlers of a listener share.
#[derive(Clone)]
pub struct AdminContext {
    pub(super) backend: Arc<dyn AdminBackend>,
    pub(super) tokens: Tokens,
}

impl AdminContext {
    /// Creates the context of a listener.
    pub fn new(backend: Arc<dyn AdminBackend>, tokens: Tokens) -> Self {
        AdminContext { backend, tokens }
    }
}
