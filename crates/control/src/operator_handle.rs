use crate::admin::{AdminBackend, AdminContext, Tokens};
use crate::backend::ReplicaBackend;
use crate::order_origin::OrderOrigin;
use mangospindle_fleet::{CallerLocation, EntryLookup, Fleet};
use mangospindle_http::{CallerConnection, Problem};
use mangospindle_model::{Clock, ErrorKind, RouteTable};
use mangospindle_state::{Actor, Command, CommandKind, Outcome, RequestId};
use mangospindle_telemetry::event;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Longest time for which a lookup waits for the first entries. Callers turn to another replica after a
/// second.
const MAX_LOOKUP_WAIT: Duration = Duration::from_millis(500);

/// Interval between checks of the view while a lookup waits.
const LOOKUP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Handle for requests of operators and callers to a control replica. Can be used on any thread.
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

    /// Returns the context of a listener that serves operations of the administration API.
    pub fn admin_context(&self, tokens: Tokens) -> AdminContext {
        AdminContext::new(Arc::clone(&self.backend) as Arc<dyn AdminBackend>, tokens)
    }

    /// Replaces the route table. Completes once a majority has synced the change.
    ///
    /// Returns an error if the change was rejected, or if its outcome is not known.
    pub async fn put_routes(&self, mut table: RouteTable, document: String) -> Result<(), Problem> {
        let subject = format!("routes-{}", table.number);
        let workspaces = Box::new(std::mem::take(&mut table.workspaces));
        let table = Box::new(table);
        let kind = match workspaces.is_empty() {
            // Only a first table can have this number; later ones are acknowledged without effect.
            _ if table.number == 0 => CommandKind::PutFirstRoutes {
                table,
                workspaces,
                document,
            },
            true => CommandKind::PutRoutes { table, document },
            false => CommandKind::PutRoutesAndWorkspaces {
                table,
                workspaces,
                document,
            },
        };
        let origin = self.order_origin(None);
        self.propose_change(subject, kind, origin).await
    }

    /// Returns the origin of an order that arrives now on this connection.
    pub fn order_origin(&self, caller: Option<CallerConnection>) -> OrderOrigin {
        OrderOrigin::new(self.backend.applied_index(), caller)
    }

    /// Starts or ends the evacuation of a failure domain, unless a newer order for it has been accepted
    /// since the order arrived.
    ///
    /// Returns an error if the change was rejected, or if its outcome is not known.
    pub async fn set_evacuation(
        &self,
        failure_domain: String,
        evacuate: bool,
        origin: OrderOrigin,
    ) -> Result<(), Problem> {
        let subject = format!("evacuation-{failure_domain}-{evacuate}");
        let kind = CommandKind::SetEvacuation {
            failure_domain,
            evacuate,
        };
        self.propose_change(subject, kind, origin).await
    }

    /// Returns the route table as the operator submitted it, after a majority confirmed that it is
    /// current.
    pub async fn route_document(&self) -> Result<String, Problem> {
        self.backend.route_document().await
    }

    /// Returns the entries that a caller should connect to, valid for at most `max_time_to_live`. Waits
    /// for a short time while this replica has just started and is still learning them.
    pub async fn entries_for_caller(
        &self,
        caller: &CallerLocation,
        max_time_to_live: Duration,
    ) -> EntryLookup {
        let wait_until = self.clock.now() + MAX_LOOKUP_WAIT;
        while self.clock.now() < wait_until && self.fleet().is_settling(self.clock.now()) {
            tokio::time::sleep(LOOKUP_CHECK_INTERVAL).await;
        }
        self.fleet()
            .lookup_entries(self.clock.now(), caller, max_time_to_live)
    }

    fn fleet(&self) -> MutexGuard<'_, Fleet> {
        // A panic while the lock is held leaves the view consistent, so poisoning is ignored.
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the metrics of the replica in the Prometheus text format.
    pub fn metrics(&self) -> String {
        self.backend.metrics()
    }

    async fn propose_change(
        &self,
        subject: String,
        kind: CommandKind,
        origin: OrderOrigin,
    ) -> Result<(), Problem> {
        let command = Command {
            request: RequestId(format!("{subject}-{:016x}", rand::random::<u64>())),
            actor: Actor::Operator("operator".to_string()),
            // The leader sets the time.
            leader_time_ms: 0,
            kind,
        };
        let outcome = self.backend.propose(command, origin).await;
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
