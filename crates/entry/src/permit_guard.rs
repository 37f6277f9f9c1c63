use crate::server_state::ServerState;
use mangospindle_model::EndpointId;
use mangospindle_quota::{Permit, RequestResult};
use std::sync::Arc;
use std::time::Duration;

/// A permit that is returned when this guard is dropped, so that no slot leaks.
pub(crate) struct PermitGuard {
    shared: Arc<ServerState>,
    permit: Option<Permit>,
    endpoint: EndpointId,
    deadline: Duration,
    result: RequestResult,
}

impl PermitGuard {
    /// Guards a permit. Reports the request as cancelled unless another result is set.
    pub(crate) fn new(shared: Arc<ServerState>, permit: Permit) -> Self {
        PermitGuard {
            endpoint: permit.endpoint(),
            deadline: permit.deadline(),
            shared,
            permit: Some(permit),
            result: RequestResult::Cancelled,
        }
    }

    /// The endpoint to which the request is sent.
    pub(crate) fn endpoint(&self) -> EndpointId {
        self.endpoint
    }

    /// Time on the local clock at which the endpoint must stop working on the request.
    pub(crate) fn deadline(&self) -> Duration {
        self.deadline
    }

    /// Time until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.shared.now())
    }

    /// Sets the result that is reported when the guard is dropped.
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
