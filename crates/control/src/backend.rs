use crate::admin::{AdminBackend, StatusReport};
use crate::drain_progress;
use crate::replica::Replica;
use crate::replica::messages::{GetAudit, GetStatus, Propose, SubmitQuery};
use crate::replica::pending_queries::ConfirmedQuery;
use actix::Addr;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use mangospindle_http::Problem;
use mangospindle_model::ErrorKind;
use mangospindle_rpc::{MAX_COMMAND_BYTES, ProposeResult, QueryResult};
use mangospindle_state::{AuditPage, ClaimKey, ClaimOutcome, Command, Config, Outcome};
use mangospindle_telemetry::metrics_text;
use prometheus::Registry;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Timeout for the outcome of a change. It exceeds the time that a forwarded proposal takes.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Forwards calls of the administration API, which runs on its own thread, to the replica actor.
pub(crate) struct ReplicaBackend {
    pub(crate) replica: Addr<Replica>,
    pub(crate) registry: Registry,
}

fn unconfirmed_state() -> Problem {
    let detail = "this replica could not confirm its state with a majority";
    Problem::new(ErrorKind::NoQuorum, detail)
}

fn replica_stopped<E>(_: E) -> Problem {
    Problem::new(ErrorKind::NoQuorum, "this replica is stopping")
}

impl ReplicaBackend {
    /// Returns the route table as the operator submitted it, after a majority confirmed that it is
    /// current.
    pub(crate) fn route_document(&self) -> LocalBoxFuture<'static, Result<String, Problem>> {
        let (reply, document) = oneshot::channel();
        let question = ConfirmedQuery::RouteDocument(reply);
        self.replica.do_send(SubmitQuery(question));
        async move {
            document
                .await
                .map_err(replica_stopped)?
                .ok_or_else(unconfirmed_state)
        }
        .boxed_local()
    }
}

impl AdminBackend for ReplicaBackend {
    fn propose(&self, command: Command) -> LocalBoxFuture<'static, Result<Outcome, Problem>> {
        let no_quorum = |detail: &str| Err(Problem::new(ErrorKind::NoQuorum, detail));
        let command = match postcard::to_stdvec(&command) {
            Ok(command) if command.len() <= MAX_COMMAND_BYTES => command,
            Ok(_) | Err(_) => {
                let problem = Problem::new(ErrorKind::InvalidChange, "the change is too large");
                return futures::future::ready(Err(problem)).boxed_local();
            }
        };
        let (reply, result) = oneshot::channel();
        self.replica.do_send(Propose {
            command,
            forwarded: false,
            reply,
        });
        async move {
            match tokio::time::timeout(PROPOSE_TIMEOUT, result).await {
                Ok(Ok(ProposeResult::Outcome(outcome))) => Ok(outcome),
                Ok(Ok(ProposeResult::NotAccepted)) => no_quorum("the change is in no log"),
                Ok(Ok(ProposeResult::Unknown) | Err(_)) | Err(_) => Err(Problem::new(
                    ErrorKind::OutcomeUnknown,
                    "the change may have been accepted",
                )),
            }
        }
        .boxed_local()
    }

    fn config(&self) -> LocalBoxFuture<'static, Result<Arc<Config>, Problem>> {
        let (reply, config) = oneshot::channel();
        self.replica
            .do_send(SubmitQuery(ConfirmedQuery::Config(reply)));
        async move {
            config
                .await
                .map_err(replica_stopped)?
                .ok_or_else(unconfirmed_state)
        }
        .boxed_local()
    }

    fn audit(
        &self,
        after: u64,
        limit: usize,
    ) -> LocalBoxFuture<'static, Result<AuditPage, Problem>> {
        let page = self.replica.send(GetAudit { after, limit });
        page.map(|page| page.map_err(replica_stopped)).boxed_local()
    }

    fn status(&self) -> LocalBoxFuture<'static, Result<StatusReport, Problem>> {
        let status = self.replica.send(GetStatus);
        async move {
            let mut report = status.await.map_err(replica_stopped)?;
            drain_progress::query_owners(&mut report.drains).await;
            Ok(report)
        }
        .boxed_local()
    }

    fn claim(&self, key: ClaimKey) -> LocalBoxFuture<'static, Result<ClaimOutcome, Problem>> {
        let (reply, result) = oneshot::channel();
        self.replica
            .do_send(SubmitQuery(ConfirmedQuery::Claim(key, reply)));
        async move {
            match result.await.map_err(replica_stopped)? {
                QueryResult::Answer(outcome) => Ok(outcome),
                QueryResult::Unconfirmed => Err(unconfirmed_state()),
            }
        }
        .boxed_local()
    }

    fn metrics(&self) -> String {
        metrics_text(&self.registry).unwrap_or_default()
    }
}
