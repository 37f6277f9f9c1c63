use crate::server_state::ServerState;
use mangospindle_model::EndpointId;
use mangospindle_quota::{Permit, RequestResult};
use std::sync::Arc;
use std::time::Duration;

/// A permit that is given back when it is dropped, so that no slot is lost.
pub(crate) struct PermitGuard {
    shared: Arc<ServerState>,
    permit: Option<Permit>,
    endpoint: EndpointId,
    deadline: Duration,
    result: RequestResult,
}

impl PermitGuard {
    /// Guards a permit. Until another result is set, its end counts as cancelled.
    pub(crate) fn new(shared: Arc<ServerState>, permit: Permit) -> Self {
        PermitGuard {
            endpoint: permit.endpoint(),
            deadline: permit.deadline(),
            shared,
            permit: Some(permit),
            result: RequestResult::Cancelled,
        }
    }

    /// The endpoint to send the request to.
    pub(crate) fn endpoint(&self) -> EndpointId {
        self.endpoint
    }

    /// When the endpoint must give up, on the local clock.
    pub(crate) fn deadline(&self) -> Duration {
        self.deadline
    }

    /// Time until the endpoint must have given up.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.shared.now())
    }

    /// Sets the result that is reported at the end.
    pub(crate) fn set_result(&mut self, result: RequestResult) {
        self.result = result;
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.shared.release_permit(permit, self.result);
        }
    }
}
