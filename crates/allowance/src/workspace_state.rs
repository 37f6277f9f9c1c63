use crate::deployment_limit::{capacity, is_short};
use crate::offered_rate::OfferedRate;
use crate::usage_table::Peer;
use crate::{EntryUsage, PeerWorkspace};
use mangospindle_model::Allowance;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which the demand at the entries of another replica counts in full after its last message.
const PEER_RETENTION: Duration = Duration::from_secs(3);

/// Time constant with which it decays afterwards.
const PEER_DECAY: Duration = Duration::from_secs(3);

/// Time without a message of another replica after which its entries are assumed to use their part of the
/// allowance, with a demand that grows like the own one. Otherwise both halves of a partition would give most of
/// the allowance to a rise that both see.
const PEER_SILENCE: Duration = Duration::from_millis(600);

/// Offered rate below which a workspace is not in use.
const MIN_OFFERED_RATE: f64 = 0.001;

/// Usage that one entry reported.
#[derive(Clone, Copy, Debug)]
struct KnownEntry {
    incarnation: u64,
    admitted: i64,
    rejected: u64,
    offered: OfferedRate,
}

/// Usage that another replica told.
#[derive(Clone, Copy, Debug)]
struct KnownPeer {
    admitted: i64,
    offered_rate: f64,
    /// Requests per second at the entries of this replica at that time.
    own_offered_rate: f64,
    told_at: Duration,
}

impl KnownPeer {
    fn is_silent(&self, now: Duration) -> bool {
        now > self.told_at + PEER_SILENCE
    }

    /// Requests per second that are assumed at the entries of the other replica, if this one has `own`.
    fn assumed_rate(&self, now: Duration, own: f64) -> f64 {
        let growth = match self.is_silent(now) {
            // Estimates below one request per second vary too much for a ratio.
            true => (own / self.own_offered_rate.max(1.0)).max(1.0),
            false => 1.0,
        };
        let age = now.saturating_sub(self.told_at);
        let overdue = age.saturating_sub(PEER_RETENTION).as_secs_f64();
        let weight = (-overdue / PEER_DECAY.as_secs_f64()).exp();
        self.offered_rate * growth * weight
    }
}

/// Usage of one workspace in the whole deployment, as far as a replica knows.
#[derive(Clone, Debug)]
pub(crate) struct WorkspaceState {
    limit: Allowance,
    /// Requests that can be admitted at once by all entries together; negative if too many were.
    level: f64,
    level_at: Duration,
    /// Part of the rate that refills the level; the rest is assumed to be used at replicas that are silent.
    refill_fraction: f64,
    /// Requests that entries reported to this replica as admitted.
    admitted: i64,
    rejected: u64,
    entries: BTreeMap<String, KnownEntry>,
    peers: BTreeMap<u64, KnownPeer>,
}

impl WorkspaceState {
    pub(crate) fn new(now: Duration, limit: Allowance) -> Self {
        WorkspaceState {
            limit,
            level: capacity(limit),
            level_at: now,
            refill_fraction: 1.0,
            admitted: 0,
            rejected: 0,
            entries: BTreeMap::new(),
            peers: BTreeMap::new(),
        }
    }

    pub(crate) fn set_limit(&mut self, now: Duration, limit: Allowance) {
        self.charge(now, 0.0);
        self.limit = limit;
        self.level = self.level.min(capacity(limit));
    }

    pub(crate) fn limit(&self) -> Allowance {
        self.limit
    }

    pub(crate) fn admitted(&self) -> i64 {
        self.admitted
    }

    pub(crate) fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Records the report of an entry. Counts what this replica does not know yet, or what no replica has
    /// acknowledged if it does not know the entry.
    pub(crate) fn record_entry(
        &mut self,
        now: Duration,
        entry: &str,
        incarnation: u64,
        usage: &EntryUsage,
    ) {
        let known = self.entries.get(entry);
        let known = known.filter(|k| k.incarnation == incarnation);
        // Rejections are never taken back, so that a report with fewer of them was delayed.
        if known.is_some_and(|k| usage.rejected < k.rejected) {
            return;
        }
        let counted = known.map_or(usage.acknowledged, |k| k.admitted.max(usage.acknowledged));
        let counted_rejected = known.map_or(usage.rejected, |k| k.rejected);
        let admitted = usage.admitted.saturating_sub(counted);
        self.admitted = self.admitted.saturating_add(admitted);
        let rejected = usage.rejected.saturating_sub(counted_rejected);
        self.rejected = self.rejected.saturating_add(rejected);
        self.charge(now, admitted as f64);
        let known = KnownEntry {
            incarnation,
            admitted: usage.admitted,
            rejected: usage.rejected,
            offered: OfferedRate::new(valid_rate(usage.offered_rate), now),
        };
        self.entries.insert(entry.to_string(), known);
        self.entries
            .retain(|_, k| k.offered.per_second(now) >= MIN_OFFERED_RATE);
    }

    /// Records what another replica tells. `heard_at` is the time of its previous message. Without one, what
    /// its entries admitted so far is not charged.
    pub(crate) fn record_peer(
        &mut self,
        now: Duration,
        replica: u64,
        heard_at: Option<Duration>,
        row: &PeerWorkspace,
    ) {
        let known = self.peers.get(&replica).filter(|_| heard_at.is_some());
        let counted = match (known, heard_at) {
            (Some(known), _) => known.admitted,
            (None, Some(_)) => 0,
            (None, None) => row.admitted,
        };
        let gap = now.saturating_sub(heard_at.unwrap_or(now));
        // What was admitted later was assumed already.
        let fraction = PEER_SILENCE.div_duration_f64(gap.max(PEER_SILENCE));
        let admitted = row.admitted.saturating_sub(counted) as f64;
        // The count of a replica starts over if it lost and regained the allowance. Refunds alone take back
        // little.
        let is_new_count = admitted < -capacity(self.limit);
        if !is_new_count {
            self.charge(now, admitted * fraction);
        }
        let known = KnownPeer {
            admitted: row.admitted,
            offered_rate: valid_rate(row.offered_rate),
            own_offered_rate: self.own_offered_rate(now),
            told_at: now,
        };
        self.peers.insert(replica, known);
    }

    /// Level of the token bucket at `now`.
    pub(crate) fn level(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.level_at).as_secs_f64();
        (self.level + elapsed * self.limit.rate * self.refill_fraction).min(capacity(self.limit))
    }

    /// Requests per second at the entries that report to this replica.
    pub(crate) fn own_offered_rate(&self, now: Duration) -> f64 {
        let entries = self.entries.values();
        entries.map(|e| e.offered.per_second(now)).sum()
    }

    /// Requests per second at all entries.
    pub(crate) fn offered_rate(&self, now: Duration, peers: &BTreeMap<u64, Peer>) -> f64 {
        let own = self.own_offered_rate(now);
        let known = self.known_peers(peers);
        own + known.map(|k| k.assumed_rate(now, own)).sum::<f64>()
    }

    /// Reduces the refill by the part of the demand that is assumed at silent replicas.
    pub(crate) fn update_refill(&mut self, now: Duration, peers: &BTreeMap<u64, Peer>) {
        let own = self.own_offered_rate(now);
        let silent = self.known_peers(peers).filter(|k| k.is_silent(now));
        let assumed: f64 = silent.map(|k| k.assumed_rate(now, own)).sum();
        let total = self.offered_rate(now, peers);
        self.charge(now, 0.0);
        self.refill_fraction = match assumed > 0.0 {
            true => 1.0 - assumed / total,
            false => 1.0,
        };
    }

    /// What other replicas told in their last messages. A message without the workspace says that it is not in
    /// use there any more.
    fn known_peers(&self, peers: &BTreeMap<u64, Peer>) -> impl Iterator<Item = &KnownPeer> {
        let known = self.peers.iter();
        known.filter_map(|(replica, known)| {
            let peer = peers.get(replica)?;
            (known.told_at >= peer.heard_at).then_some(known)
        })
    }

    /// Whether entries should be told the totals even if they have no requests of the workspace.
    pub(crate) fn is_short(&self, now: Duration, peers: &BTreeMap<u64, Peer>) -> bool {
        is_short(self.limit, self.level(now), self.offered_rate(now, peers))
    }

    /// Whether other replicas should be told of the workspace.
    pub(crate) fn is_in_use(&self, now: Duration) -> bool {
        self.own_offered_rate(now) >= MIN_OFFERED_RATE
    }

    fn charge(&mut self, now: Duration, admitted: f64) {
        self.level = self.level(now) - admitted;
        self.level_at = self.level_at.max(now);
        // A debt of more than a second would block the workspace for long after an overshoot.
        self.level = self.level.max(-self.limit.rate - self.limit.burst);
    }
}

/// A rate of a message; zero if it is not a number that can be one.
fn valid_rate(rate: f32) -> f64 {
    match rate.is_finite() && rate > 0.0 {
        true => f64::from(rate),
        false => 0.0,
    }
}
