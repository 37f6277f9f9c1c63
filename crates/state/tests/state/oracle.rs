use crate::support::{DOMAIN_OF_ENTRY, ENTRY_NAMES, MAX_DEADLINE_MS};
use mangospindle_state::{
    Attempt, ChangesSince, ClaimKey, ClaimOutcome, Command, CommandKind, Config, EntryStatus,
    Outcome, State, Takeover,
};
use std::collections::{BTreeMap, BTreeSet};

const HOUR_MS: u64 = 3_600_000;
/// Retention of answers and digests together.
const RETENTION_MS: u64 = 91 * 24 * HOUR_MS;

/// What is known about a key from the outcomes alone.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Holder {
    attempt: Attempt,
    since_ms: u64,
    /// Completed or marked as unknown.
    settled: bool,
}

/// The process of an entry with this status.
pub fn process(status: &EntryStatus) -> Option<u64> {
    match status {
        EntryStatus::Active { incarnation } | EntryStatus::Leaving { incarnation } => {
            Some(*incarnation)
        }
        EntryStatus::Absent | EntryStatus::Fenced => None,
    }
}

/// Checks the guarantees against facts that the state machine does not use: which process had
/// an endpoint, when its requests end, which attempt was told that it may run.
#[derive(Default)]
pub struct Oracle {
    config: Config,
    /// Time at which the last request of a lost owner of each endpoint ends.
    busy_until_ms: BTreeMap<usize, u64>,
    profile_versions: BTreeMap<String, u64>,
    holders: BTreeMap<ClaimKey, Holder>,
    released: BTreeSet<Attempt>,
    /// Processes that were replaced or fenced, by entry.
    past: BTreeSet<(usize, u64)>,
    pub grants: usize,
}

impl Oracle {
    pub fn check(&mut self, state: &State, command: &Command, outcome: &Outcome, now_ms: u64) {
        self.check_ownership(state.config(), command, now_ms);
        self.check_versions(state, outcome);
        self.check_claim(state, command, outcome, now_ms);
        self.config = state.config().clone();
    }

    fn check_ownership(&mut self, config: &Config, command: &Command, now_ms: u64) {
        for (i, next) in config.ownership.iter().enumerate() {
            let Some(last) = self.config.ownership.get(i).copied() else {
                continue;
            };
            if last == *next {
                continue;
            }
            assert!(next.epoch > last.epoch, "the epoch of {i} does not grow");
            let lost = match (last.owner, &command.kind) {
                (None, _) => false,
                (
                    Some(owner),
                    CommandKind::ReleaseEndpoint {
                        endpoint,
                        entry,
                        epoch,
                    },
                ) => {
                    assert_eq!((endpoint.index(), *entry, *epoch), (i, owner, last.epoch));
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
                (_, kind) => panic!("{kind:?} took endpoint {i} from {last:?}"),
            };
            if lost {
                self.busy_until_ms.insert(i, now_ms + MAX_DEADLINE_MS);
            }
            let busy = self.busy_until_ms.get(&i).is_some_and(|t| now_ms < *t);
            assert!(
                !busy || next.takeover == Takeover::Quarantine,
                "endpoint {i} became clean while requests of a lost owner may run"
            );
            // A join leaves the endpoints that the entry had with it, home or not.
            let kept =
                matches!(command.kind, CommandKind::EntryJoin { .. }) && last.owner == next.owner;
            if let Some(owner) = next.owner.filter(|_| !kept) {
                let domain = config.topology.endpoints[i].failure_domain;
                let same = DOMAIN_OF_ENTRY[owner.index()] == domain.0;
                let home_active = (config.topology.entry_ids())
                    .any(|e| DOMAIN_OF_ENTRY[e.index()] == domain.0 && config.is_active(e));
                assert!(config.is_active(owner) && (same || !home_active));
            }
        }
        let statuses = self.config.entry_status.iter().zip(&config.entry_status);
        for (entry, (old, new)) in statuses.enumerate() {
            if process(old) != process(new) {
                self.past.extend(process(old).map(|p| (entry, p)));
                let back = process(new).filter(|p| self.past.contains(&(entry, *p)));
                assert_eq!(back, None, "a past process of entry {entry} is back");
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
        // A restored state has no history; it sends the whole configuration.
        if self.config.version > 0
            && let ChangesSince::Changes(changes) = state.changes_since(self.config.version)
        {
            assert_eq!(changes.len() as u64, changed);
            changes.into_iter().for_each(|c| self.config.apply(c));
            assert_eq!(&self.config, config, "the changes do not lead to the state");
        }
        for (name, profile) in &config.profiles {
            let last = self.profile_versions.entry(name.clone()).or_default();
            assert!(profile.version >= *last, "the version of {name} went back");
            *last = profile.version;
        }
        let audited = state.audit(u64::MAX, 0);
        assert_eq!(audited.last, config.version, "a change without a record");
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
                let holder = Holder {
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
                let free = state.lookup_claim(key) == ClaimOutcome::NotFound;
                match self.holders.get(key) {
                    Some(h) if h.attempt == *attempt && !h.settled && free => {
                        self.holders.remove(key);
                    }
                    Some(h) if now_ms < h.since_ms + RETENTION_MS => {
                        assert!(!free, "{attempt:?} released {key:?} of {h:?}");
                    }
                    _ => {}
                }
            }
            _ => {}
        }
    }
}
