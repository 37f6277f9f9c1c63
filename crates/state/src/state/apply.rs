use super::State;
use crate::request_outcomes::{RecordedOutcome, request_digest};
use crate::{Command, CommandKind, Outcome};
use mangospindle_model::{ErrorKind, WorkspaceTable};

/// Maximum length of a request identifier, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Maximum number of claims and digests that one `Expire` processes, to bound the time of the
/// command. The control process proposes another one while there are expired items left.
const EXPIRE_BUDGET: usize = 20_000;

impl State {
    /// Applies the command at a log index. Indexes increase; a command at or below
    /// [`State::applied_index`] is not applied again.
    ///
    /// - A refused command has no effect.
    /// - `ReleaseEndpoint` of a past epoch is refused with [`ErrorKind::VersionConflict`]. Its
    ///   sender can treat this as success, because it no longer owns the endpoint under that epoch.
    /// - `Claim` is refused with [`ErrorKind::Draining`] unless its process is the one that joined
    ///   last, and with [`ErrorKind::DeadlineBeforeDispatch`] after its own `ReleaseClaim`.
    pub fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        if index <= self.applied_index {
            return refused(ErrorKind::Internal, "the log entry is already applied");
        }
        self.applied_index = index;
        self.clock.advance(command.leader_time_ms);
        if !is_deduplicated(&command.kind) {
            return self.execute(command);
        }
        if !(1..=MAX_REQUEST_ID_BYTES).contains(&command.request.0.len()) {
            return refused(
                ErrorKind::BadRequest,
                "the request identifier is empty or too long",
            );
        }
        let digest = request_digest(command);
        match self.requests.get(&command.request) {
            Some(first) if first.digest == digest => first.outcome.clone(),
            Some(_) => refused(
                ErrorKind::IdempotencyKeyReused,
                "the request identifier was used for another change",
            ),
            None => {
                let outcome = self.execute(command);
                let recorded = RecordedOutcome {
                    digest,
                    at_ms: self.clock.elapsed_ms,
                    outcome: outcome.clone(),
                };
                self.requests.record(&command.request, recorded);
                outcome
            }
        }
    }

    fn execute(&mut self, command: &Command) -> Outcome {
        match &command.kind {
            CommandKind::Bootstrap { topology, profiles } => {
                self.bootstrap(command, topology, profiles)
            }
            CommandKind::Expire => self.expire(),
            // Temporary, unlike an invalid change: the sender can retry after the initial
            // configuration is set.
            CommandKind::PutRoutes { .. }
            | CommandKind::PutRoutesAndWorkspaces { .. }
            | CommandKind::PutFirstRoutes { .. }
            | CommandKind::SetEvacuation { .. }
                if self.config.version == 0 =>
            {
                refused(ErrorKind::NoQuorum, "there is no configuration yet")
            }
            _ if self.config.version == 0 => {
                refused(ErrorKind::InvalidChange, "there is no configuration yet")
            }
            CommandKind::PutProfile {
                profile,
                base_version,
            } => self.put_profile(command, profile, *base_version),
            CommandKind::DeleteProfile { name, base_version } => {
                self.delete_profile(command, name, *base_version)
            }
            CommandKind::AssignProfile {
                service,
                profile,
                base_profile,
            } => self.assign_profile(command, *service, profile, base_profile),
            CommandKind::SetRegionLimit {
                region,
                max_in_progress,
                base,
            } => self.set_region_limit(command, *region, *max_in_progress, *base),
            CommandKind::SetEndpointDrain { endpoint, drain } => {
                self.set_endpoint_drain(command, *endpoint, *drain)
            }
            CommandKind::PutRoutes { table, document } => {
                self.put_routes(command, table, &WorkspaceTable::default(), document)
            }
            CommandKind::PutRoutesAndWorkspaces {
                table,
                workspaces,
                document,
            } => self.put_routes(command, table, workspaces, document),
            CommandKind::PutFirstRoutes {
                table,
                workspaces,
                document,
            } => self.put_first_routes(command, table, workspaces, document),
            CommandKind::SetEvacuation {
                failure_domain,
                evacuate,
            } => self.set_evacuation(command, failure_domain, *evacuate),
            CommandKind::AddEntry { entry } => self.add_entry(command, entry),
            CommandKind::AddEndpoint { endpoint } => self.add_endpoint(command, endpoint),
            CommandKind::EntryJoin { entry, incarnation } => {
                self.entry_join(command, *entry, *incarnation)
            }
            CommandKind::EntryLeave { entry, incarnation } => {
                self.entry_leave(command, *entry, *incarnation)
            }
            CommandKind::ReleaseEndpoint {
                endpoint,
                entry,
                epoch,
            } => self.release_endpoint(command, *endpoint, *entry, *epoch),
            CommandKind::FenceVm { name, incarnation } => {
                self.fence_vm(command, name, *incarnation)
            }
            CommandKind::Claim {
                key,
                digest,
                attempt,
            } => self.grant_claim(key, digest, *attempt),
            CommandKind::CompleteClaim {
                key,
                attempt,
                response,
            } => self.complete_claim(key, *attempt, response),
            CommandKind::ReleaseClaim { key, attempt } => self.release_claim(key, *attempt),
            CommandKind::MarkClaimUnknown { key, attempt } => {
                self.mark_claim_unknown(key, *attempt)
            }
        }
    }

    fn expire(&mut self) -> Outcome {
        let now_ms = self.clock.elapsed_ms;
        self.claims.expire(now_ms, EXPIRE_BUDGET);
        self.requests.expire(now_ms);
        self.released.expire(now_ms);
        self.done()
    }

    pub(super) fn done(&self) -> Outcome {
        Outcome::Done {
            version: self.config.version,
        }
    }
}

/// Whether the outcome is recorded for resends. The other commands are idempotent, for example by
/// an incarnation, an epoch or an attempt, and there are too many of them to record.
fn is_deduplicated(kind: &CommandKind) -> bool {
    match kind {
        CommandKind::PutProfile { .. }
        | CommandKind::DeleteProfile { .. }
        | CommandKind::AssignProfile { .. }
        | CommandKind::SetRegionLimit { .. }
        | CommandKind::SetEndpointDrain { .. }
        | CommandKind::AddEntry { .. }
        | CommandKind::AddEndpoint { .. }
        | CommandKind::FenceVm { .. } => true,
        CommandKind::Bootstrap { .. }
        | CommandKind::PutRoutes { .. }
        | CommandKind::PutRoutesAndWorkspaces { .. }
        | CommandKind::PutFirstRoutes { .. }
        | CommandKind::SetEvacuation { .. }
        | CommandKind::EntryJoin { .. }
        | CommandKind::EntryLeave { .. }
        | CommandKind::ReleaseEndpoint { .. }
        | CommandKind::Claim { .. }
        | CommandKind::CompleteClaim { .. }
        | CommandKind::ReleaseClaim { .. }
        | CommandKind::MarkClaimUnknown { .. }
        | CommandKind::Expire => false,
    }
}

/// Returns a refusal without a version.
pub(super) fn refused(kind: ErrorKind, detail: &str) -> Outcome {
    Outcome::Refused {
        kind,
        detail: detail.to_string(),
        current_version: None,
    }
}

/// Returns a refusal because the item has changed since the sender read it.
pub(super) fn conflict(detail: String, current_version: Option<u64>) -> Outcome {
    Outcome::Refused {
        kind: ErrorKind::VersionConflict,
        detail,
        current_version,
    }
}
