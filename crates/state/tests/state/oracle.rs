use crate::support::{ENTRY_DOMAINS, ENTRY_NAMES, MAX_DEADLINE_MS};
use mangospindle_model::WorkspaceTable;
use mangospindle_state::{
    Attempt, ChangesSince, ClaimKey, ClaimOutcome, Command, CommandKind, Config, EntryStatus,
    Outcome, State, Takeover,
};
use std::collections::{BTreeMap, BTreeSet};

const HOUR_MS: u64 = 3_600_000;
/// Total retention of responses and digests.
const RETENTION_MS: u64 = 91 * 24 * HOUR_MS;

/// The attempt that holds the claim of a key, derived from the outcomes alone.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ClaimHolder {
    attempt: Attempt,
    since_ms: u64,
    /// Completed or marked as unknown.
    settled: bool,
}

/// Incarnation of the current process of an entry with this status.
pub fn incarnation_of(status: &EntryStatus) -> Option<u64> {
    match status {
        EntryStatus::Active { incarnation } | EntryStatus::Leaving { incarnation } => {
            Some(*incarnation)
        }
        EntryStatus::Absent | EntryStatus::Fenced => None,
    }
}

/// Checks the guarantees against facts that the state machine does not use: which process owned
/// an endpoint, when its requests end, and which attempt was granted a claim.
#[derive(Default)]
pub struct Oracle {
    config: Config,
    /// Time at which the last request of a lost owner of each endpoint ends.
    busy_until_ms: BTreeMap<usize, u64>,
    profile_versions: BTreeMap<String, u64>,
    /// Number and workspaces of the accepted table with the highest number.
    workspaces: Option<(u64, WorkspaceTable)>,
    holders: BTreeMap<ClaimKey, ClaimHolder>,
    released: BTreeSet<Attempt>,
    /// Entries and incarnations of processes that were replaced or fenced.
    retired: BTreeSet<(usize, u64)>,
    pub grants: usize,
}

impl Oracle {
    pub fn check(&mut self, state: &State, command: &Command, outcome: &Outcome, now_ms: u64) {
        self.check_ownership(state.config(), command, now_ms);
        self.check_versions(state, outcome);
        self.check_workspaces(state, command, outcome);
        self.check_claim(state, command, outcome, now_ms);
        self.config = state.config().clone();
    }

    fn check_ownership(&mut self, config: &Config, command: &Command, now_ms: u64) {
        for (i, next) in config.ownership.iter().enumerate() {
            let Some(previous) = self.config.ownership.get(i).copied() else {
                continue;
            };
            if previous == *next {
                continue;
            }
            assert!(
                next.epoch > previous.epoch,
                "the epoch of endpoint {i} does not increase"
            );
            let lost = match (previous.owner, &command.kind) {
                (None, _) => false,
                (
                    Some(owner),
                    CommandKind::ReleaseEndpoint {
                        endpoint,
                        entry,
                        epoch,
                    },
                ) => {
                    assert_eq!(
                        (endpoint.index(), *entry, *epoch),
                        (i, owner, previous.epoch)
                    );
                    false
                }
                (Some(owner), CommandKind::FenceVm { name, .. }) => {
                    assert_eq!(name, ENTRY_NAMES[owner.index()]);
                    true
                }
                (Some(owner), CommandKind::EntryJoin { entry, .. }) => {
                    assert_eq!((owner, next.owner), (*entry, Some(owner)));
                    true
                }
                (_, kind) => panic!("{kind:?} took endpoint {i} from {previous:?}"),
            };
            if lost {
                self.busy_until_ms.insert(i, now_ms + MAX_DEADLINE_MS);
            }
            let busy = self.busy_until_ms.get(&i).is_some_and(|t| now_ms < *t);
            assert!(
                !busy || next.takeover == Takeover::Quarantine,
                "endpoint {i} left quarantine while requests of a lost owner can still run"
            );
            // After a join, the entry keeps its endpoints even if it is not their preferred owner.
            let keeps_owner = matches!(command.kind, CommandKind::EntryJoin { .. })
                && previous.owner == next.owner;
            if let Some(owner) = next.owner.filter(|_| !keeps_owner) {
                let domain = config.topology.endpoints[i].failure_domain;
                let in_same_domain = ENTRY_DOMAINS[owner.index()] == domain.0;
                let domain_has_active_entry = (config.topology.entry_ids())
                    .any(|e| ENTRY_DOMAINS[e.index()] == domain.0 && config.is_active(e));
                assert!(config.is_active(owner) && (in_same_domain || !domain_has_active_entry));
            }
        }
        let statuses = self.config.entry_status.iter().zip(&config.entry_status);
        for (entry, (old, new)) in statuses.enumerate() {
            if incarnation_of(old) != incarnation_of(new) {
                self.retired.extend(incarnation_of(old).map(|p| (entry, p)));
                let rejoined = incarnation_of(new).filter(|p| self.retired.contains(&(entry, *p)));
                assert_eq!(
                    rejoined, None,
                    "a retired process of entry {entry} joined again"
                );
            }
        }
    }

    fn check_versions(&mut self, state: &State, outcome: &Outcome) {
        let config = state.config();
        assert!(config.version >= self.config.version);
        if let Outcome::Done { version } = outcome {
            assert!(*version <= config.version);
        }
        let changed = config.version - self.config.version;
        if let Outcome::Refused { .. } | Outcome::Claim(_) = outcome {
            assert_eq!(changed, 0, "a refused command changed the configuration");
        }
        // A restored state has no change history, so it returns the full configuration.
        if self.config.version > 0
            && let ChangesSince::Changes(changes) = state.changes_since(self.config.version)
        {
            assert_eq!(changes.len() as u64, changed);
            changes.iter().for_each(|c| self.config.apply(c));
            assert_eq!(
                &self.config, config,
                "the changes do not lead to the current configuration"
            );
        }
        for (name, profile) in &config.profiles {
            let previous = self.profile_versions.entry(name.clone()).or_default();
            assert!(
                profile.version >= *previous,
                "the version of {name} decreased"
            );
            *previous = profile.version;
        }
        let audit_page = state.audit(u64::MAX, 0);
        assert_eq!(
            audit_page.last, config.version,
            "a change has no audit record"
        );
    }

    fn check_workspaces(&mut self, state: &State, command: &Command, outcome: &Outcome) {
        let put = match &command.kind {
            CommandKind::PutRoutes { table, .. } => Some((table.number, WorkspaceTable::default())),
            CommandKind::PutRoutesAndWorkspaces {
                table, workspaces, ..
            }
            | CommandKind::PutFirstRoutes {
                table, workspaces, ..
            } => Some((table.number, WorkspaceTable::clone(workspaces))),
            _ => None,
        };
        if let Some((number, workspaces)) = put {
            let is_valid = workspaces.validate().is_ok();
            let is_accepted = matches!(outcome, Outcome::Done { .. });
            assert_eq!(is_accepted, is_valid, "table {number}: {outcome:?}");
            let replaces = match (&command.kind, &self.workspaces) {
                (CommandKind::PutFirstRoutes { .. }, current) => current.is_none(),
                (_, current) => number > current.as_ref().map_or(0, |(number, _)| *number),
            };
            if is_accepted && replaces {
                self.workspaces = Some((number, workspaces));
            }
        }
        let routes = &state.config().routes;
        let (number, workspaces) = self.workspaces.clone().unwrap_or_default();
        assert_eq!((routes.number, &routes.workspaces), (number, &workspaces));
        let document = (self.workspaces.is_some()).then(|| format!("document {number}"));
        assert_eq!(state.route_document(), document.unwrap_or_default());
    }

    fn check_claim(&mut self, state: &State, command: &Command, outcome: &Outcome, now_ms: u64) {
        match (&command.kind, outcome) {
            (CommandKind::Claim { key, attempt, .. }, Outcome::Claim(ClaimOutcome::Granted)) => {
                assert!(!self.released.contains(attempt), "{attempt:?} was released");
                match self.holders.get(key) {
                    Some(h) if h.attempt == *attempt => return,
                    Some(h) => assert!(
                        now_ms >= h.since_ms + RETENTION_MS,
                        "{key:?} was granted to {attempt:?} and {:?}",
                        h.attempt
                    ),
                    None => {}
                }
                self.grants += 1;
                let holder = ClaimHolder {
                    attempt: *attempt,
                    since_ms: now_ms,
                    settled: false,
                };
                self.holders.insert(key.clone(), holder);
            }
            (
                CommandKind::CompleteClaim { key, attempt, .. }
                | CommandKind::MarkClaimUnknown { key, attempt },
                Outcome::Done { .. },
            ) => match self.holders.get_mut(key) {
                Some(h) if h.attempt == *attempt => h.settled = true,
                holder => panic!("{attempt:?} settled {key:?} of {holder:?}"),
            },
            (CommandKind::ReleaseClaim { key, attempt }, _) => {
                self.released.insert(*attempt);
                let is_free = state.lookup_claim(key) == ClaimOutcome::NotFound;
                match self.holders.get(key) {
                    Some(h) if h.attempt == *attempt && !h.settled && is_free => {
                        self.holders.remove(key);
                    }
                    Some(h) if now_ms < h.since_ms + RETENTION_MS => {
                        assert!(!is_free, "{attempt:?} released {key:?} of {h:?}");
                    }
                    _ => {}
                }
            }
            _ => {}
        }
    }
}
