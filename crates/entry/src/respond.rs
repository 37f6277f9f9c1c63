use crate::answer::Answer;
use crate::explain::Step;
use crate::in_progress::{CountedBody, InProgress};
use crate::problem::problem;
use crate::refusal::Refusal;
use crate::shared::Shared;
use actix_web::HttpResponse;

/// Turns the result of a request into its answer and notes it for `/v1/explain`. The request counts
/// as in progress until the end of the body.
pub(crate) fn respond(
    shared: &Shared,
    id: &str,
    count: InProgress,
    result: Result<Answer, Refusal>,
) -> HttpResponse {
    let step = match &result {
        Ok(answer) => Step::Answered(answer.status.as_u16()),
        Err(refusal) => Step::Refused(refusal.kind),
    };
    shared.explain.step(id, shared.now(), step);
    match result {
        Ok(mut answer) => {
            answer.body = Box::pin(CountedBody::new(answer.body, count));
            answer.into_response()
        }
        Err(refusal) => problem(&refusal, id),
    }
}
