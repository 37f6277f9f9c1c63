use crate::limits::{MAX_PENDING_QUERIES, QUERY_TIMEOUT};
use mangospindle_rpc::QueryResult;
use mangospindle_state::{ClaimKey, State};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::oneshot;

/// Questions about claims that wait until the state is confirmed as current.
///
/// A question is answered once a majority has confirmed the state after the question arrived, so
/// that the answer includes every claim that was accepted before.
#[derive(Debug, Default)]
pub(crate) struct Queries {
    waiting: VecDeque<Query>,
}

#[derive(Debug)]
struct Query {
    arrived: Duration,
    key: ClaimKey,
    reply: oneshot::Sender<QueryResult>,
}

impl Queries {
    pub(crate) fn add(
        &mut self,
        now: Duration,
        key: ClaimKey,
        reply: oneshot::Sender<QueryResult>,
    ) {
        match self.waiting.len() < MAX_PENDING_QUERIES {
            true => self.waiting.push_back(Query {
                arrived: now,
                key,
                reply,
            }),
            // The caller may be gone.
            false => drop(reply.send(QueryResult::Unconfirmed)),
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
                let result = match confirmed {
                    true => QueryResult::Answer(state.claim(&query.key)),
                    false => QueryResult::Unconfirmed,
                };
                // The caller may be gone.
                let _ = query.reply.send(result);
            }
        }
    }

    /// Refuses all questions.
    pub(crate) fn abandon(&mut self) {
        for query in self.waiting.drain(..) {
            // The caller may be gone.
            let _ = query.reply.send(QueryResult::Unconfirmed);
        }
    }
}
