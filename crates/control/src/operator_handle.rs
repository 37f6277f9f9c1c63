use crate::admin::AdminBackend;
use crate::backend::ReplicaBackend;
use mangospindle_fleet::{CallerLocation, EntryLookup, Fleet};
use mangospindle_http::Problem;
use mangospindle_model::{Clock, ErrorKind, RouteTable};
use mangospindle_state::{Actor, Command, CommandKind, Outcome, RequestId};
use mangospindle_telemetry::event;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// What operators and callers may ask of a control replica. Can be used on any thread.
#[derive(Clone)]
pub struct OperatorHandle {
    backend: Arc<ReplicaBackend>,
    fleet: Arc<Mutex<Fleet>>,
    clock: Arc<dyn Clock>,
}

impl OperatorHandle {
    pub(crate) fn new(
        backend: Arc<ReplicaBackend>,
        fleet: Arc<Mutex<Fleet>>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        OperatorHandle {
            backend,
            fleet,
            clock,
        }
    }

    /// Puts a table of routes; done once a majority has synced it.
    pub async fn put_routes(&self, table: RouteTable, document: String) -> Result<(), Problem> {
        let subject = format!("routes-{}", table.number);
        let table = Box::new(table);
        let kind = CommandKind::PutRoutes { table, document };
        self.change(subject, kind).await
    }

    /// Starts or ends the evacuation of a failure domain.
    pub async fn set_evacuation(
        &self,
        failure_domain: String,
        evacuate: bool,
    ) -> Result<(), Problem> {
        let subject = format!("evacuation-{failure_domain}-{evacuate}");
        let kind = CommandKind::SetEvacuation {
            failure_domain,
            evacuate,
        };
        self.change(subject, kind).await
    }

    /// The table of routes as an operator sent it, confirmed by a majority.
    pub async fn route_document(&self) -> Result<String, Problem> {
        self.backend.route_document().await
    }

    /// Entries that a caller should connect to.
    pub fn entries_for_caller(&self, caller: &CallerLocation, longest: Duration) -> EntryLookup {
        let fleet = self.fleet.lock().unwrap_or_else(PoisonError::into_inner);
        fleet.lookup_entries(self.clock.now(), caller, longest)
    }

    /// The metrics of the replica as text.
    pub fn metrics(&self) -> String {
        self.backend.metrics()
    }

    async fn change(&self, subject: String, kind: CommandKind) -> Result<(), Problem> {
        let command = Command {
            request: RequestId(format!("{subject}-{:016x}", rand::random::<u64>())),
            actor: Actor::Operator("operator".to_string()),
            // Set by the leader.
            leader_time_ms: 0,
            kind,
        };
        let outcome = self.backend.propose(command).await;
        let result = match outcome {
            Ok(Outcome::Refused { kind, detail, .. }) => Err(Problem::new(kind, detail)),
            Ok(Outcome::Done { .. }) => Ok(()),
            Ok(Outcome::Claim(_)) => Err(Problem::new(
                ErrorKind::Internal,
                "not the outcome of a change",
            )),
            Err(problem) => Err(problem),
        };
        let text = match &result {
            Ok(()) => "accepted".to_string(),
            Err(problem) => problem.to_string(),
        };
        event!(Info, "operator_change", "subject" => subject, "outcome" => text);
        result
    }
}
