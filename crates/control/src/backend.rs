use crate::admin::{AdminBackend, StatusReport};
use crate::drain_progress;
use crate::order_origin::OrderOrigin;
use crate::proposer::Proposer;
use crate::replica::Replica;
use crate::replica::messages::{GetAudit, GetStatus, SubmitQuery};
use crate::replica::pending_queries::ConfirmedQuery;
use crate::usage_reader::UsageReader;
use actix::Addr;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use mangospindle_allowance::WorkspaceUsage;
use mangospindle_http::Problem;
use mangospindle_model::ErrorKind;
use mangospindle_rpc::{ProposeResult, QueryResult};
use mangospindle_state::{AuditPage, ClaimKey, ClaimOutcome, Command, Config, Outcome};
use mangospindle_telemetry::metrics_text;
use prometheus::Registry;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Forwards calls of the administration API, which runs on its own thread, to the replica actor.
pub(crate) struct ReplicaBackend {
    pub(crate) replica: Addr<Replica>,
    pub(crate) proposer: Proposer,
    pub(crate) registry: Registry,
    pub(crate) usage: UsageReader,
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
    fn applied_index(&self) -> u64 {
        self.proposer.applied_index()
    }

    fn propose(
        &self,
        command: Command,
        origin: OrderOrigin,
    ) -> LocalBoxFuture<'static, Result<Outcome, Problem>> {
        let proposal = self.proposer.clone().propose(command, origin);
        async move {
            let no_quorum = |detail: &str| Err(Problem::new(ErrorKind::NoQuorum, detail));
            match proposal.await {
                Ok(ProposeResult::Outcome(outcome)) => Ok(outcome),
                Ok(ProposeResult::NotAccepted) => no_quorum("the change is in no log"),
                Ok(ProposeResult::Outdated) => {
                    no_quorum("another order may be newer; the change is in no log")
                }
                Ok(ProposeResult::Unknown) => Err(Problem::new(
                    ErrorKind::OutcomeUnknown,
                    "the change may have been accepted",
                )),
                Err(e) => Err(Problem::new(ErrorKind::InvalidChange, e.to_string())),
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

    fn workspace_usage(&self) -> Vec<WorkspaceUsage> {
        self.usage.status()
    }

    fn metrics(&self) -> String {
        metrics_text(&self.registry).unwrap_or_default()
    }
}
