use crate::limits::{MAX_PENDING_QUERIES, QUERY_TIMEOUT};
use mangospindle_rpc::QueryResult;
use mangospindle_state::{ClaimKey, Config, State};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Queries that wait until the state is confirmed as current.
///
/// A query is answered once a majority has confirmed the state after the query was received, so
/// that the answer reflects everything that was accepted before.
#[derive(Debug, Default)]
pub(crate) struct PendingQueries {
    pending: VecDeque<PendingQuery>,
}

#[derive(Debug)]
struct PendingQuery {
    received_at: Duration,
    query: ConfirmedQuery,
}

/// A query and the channel for its answer. The caller may be gone when the answer is sent.
#[derive(Debug)]
pub(crate) enum ConfirmedQuery {
    /// The state of an at-most-once action.
    Claim(ClaimKey, oneshot::Sender<QueryResult>),
    /// The configuration; `None` if the state could not be confirmed.
    Config(oneshot::Sender<Option<Arc<Config>>>),
    /// The route table as the operator sent it; `None` if the state could not be confirmed.
    RouteDocument(oneshot::Sender<Option<String>>),
}

impl ConfirmedQuery {
    fn answer(self, state: &State) {
        match self {
            ConfirmedQuery::Claim(key, reply) => {
                let _ = reply.send(QueryResult::Answer(state.lookup_claim(&key)));
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
    pub(crate) fn add(&mut self, now: Duration, query: ConfirmedQuery) {
        match self.pending.len() < MAX_PENDING_QUERIES {
            true => self.pending.push_back(PendingQuery {
                received_at: now,
                query,
            }),
            false => query.refuse(),
        }
    }

    /// Answers queries for which the state is confirmed and refuses queries that have timed out.
    pub(crate) fn answer(&mut self, state: &State, confirmed_at: Option<Duration>, now: Duration) {
        while let Some(oldest) = self.pending.front() {
            let confirmed = confirmed_at.is_some_and(|at| at >= oldest.received_at);
            if !confirmed && now < oldest.received_at + QUERY_TIMEOUT {
                return;
            }
            if let Some(entry) = self.pending.pop_front() {
                match confirmed {
                    true => entry.query.answer(state),
                    false => entry.query.refuse(),
                }
            }
        }
    }

    /// Refuses all pending queries.
    pub(crate) fn refuse_all(&mut self) {
        for entry in self.pending.drain(..) {
            entry.query.refuse();
        }
    }
}
