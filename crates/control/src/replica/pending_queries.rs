use crate::limits::{MAX_PENDING_QUERIES, QUERY_TIMEOUT};
use mangospindle_rpc::QueryResult;
use mangospindle_state::{ClaimKey, Config, State};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Questions that wait until the state is confirmed as current.
///
/// A question is answered once a majority has confirmed the state after the question arrived, so
/// that the answer includes everything that was accepted before.
#[derive(Debug, Default)]
pub(crate) struct PendingQueries {
    waiting: VecDeque<PendingQuery>,
}

#[derive(Debug)]
struct PendingQuery {
    arrived: Duration,
    question: ConfirmedQuery,
}

/// What is asked, and where the answer goes. The caller may be gone by then.
#[derive(Debug)]
pub(crate) enum ConfirmedQuery {
    /// The state of an at-most-once action.
    Claim(ClaimKey, oneshot::Sender<QueryResult>),
    /// The configuration; `None` if it could not be confirmed.
    Config(oneshot::Sender<Option<Arc<Config>>>),
    /// The table of routes as the operator sent it; `None` if it could not be confirmed.
    RouteDocument(oneshot::Sender<Option<String>>),
}

impl ConfirmedQuery {
    fn answer(self, state: &State) {
        match self {
            ConfirmedQuery::Claim(key, reply) => {
                let _ = reply.send(QueryResult::Answer(state.claim(&key)));
            }
            ConfirmedQuery::Config(reply) => {
                let _ = reply.send(Some(Arc::new(state.config().clone())));
            }
            ConfirmedQuery::RouteDocument(reply) => {
                let _ = reply.send(Some(state.route_document().to_string()));
            }
        }
    }

    fn refuse(self) {
        match self {
            ConfirmedQuery::Claim(_, reply) => {
                let _ = reply.send(QueryResult::Unconfirmed);
            }
            ConfirmedQuery::Config(reply) => {
                let _ = reply.send(None);
            }
            ConfirmedQuery::RouteDocument(reply) => {
                let _ = reply.send(None);
            }
        }
    }
}

impl PendingQueries {
    pub(crate) fn add(&mut self, now: Duration, question: ConfirmedQuery) {
        match self.waiting.len() < MAX_PENDING_QUERIES {
            true => self.waiting.push_back(PendingQuery {
                arrived: now,
                question,
            }),
            false => question.refuse(),
        }
    }

    /// Answers what is confirmed and refuses what has waited too long.
    pub(crate) fn answer(&mut self, state: &State, confirmed_at: Option<Duration>, now: Duration) {
        while let Some(query) = self.waiting.front() {
            let confirmed = confirmed_at.is_some_and(|at| at >= query.arrived);
            if !confirmed && now < query.arrived + QUERY_TIMEOUT {
                return;
            }
            if let Some(query) = self.waiting.pop_front() {
                match confirmed {
                    true => query.question.answer(state),
                    false => query.question.refuse(),
                }
            }
        }
    }

    /// Refuses all questions.
    pub(crate) fn abandon(&mut self) {
        for query in self.waiting.drain(..) {
            query.question.refuse();
        }
    }
}
