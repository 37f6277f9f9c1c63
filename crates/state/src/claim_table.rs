use crate::key_digest::KeyDigest;
use crate::live_claim::{ClaimState, LiveClaim};
use crate::{Attempt, RecordedResponse};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time for which a claim and its response are kept after the last change of the claim.
pub(crate) const RESPONSE_RETENTION_MS: u64 = 24 * 3600 * 1000;

/// Time after [`RESPONSE_RETENTION_MS`] for which only the digest of the key is kept.
pub(crate) const DIGEST_RETENTION_MS: u64 = 90 * 24 * 3600 * 1000;

/// Maximum number of claims that are kept with their responses. Further claims are refused before
/// their action runs, because evicting an older claim could let its action run twice. A claim with
/// a small response takes about 360 bytes, so this many take 690 MiB. They allow 23 claims per
/// second throughout a day.
pub(crate) const MAX_LIVE_CLAIMS: usize = 2_000_000;

/// Maximum number of digests, limited for the same reason. They take 17 bytes each and 320 MiB in
/// total, and allow 2.5 claims per second throughout the 90 days.
pub(crate) const MAX_DIGESTS: usize = 20_000_000;

/// Maximum total size of response bodies, in bytes. Further responses are kept without their body.
pub(crate) const MAX_BODY_BYTES_TOTAL: u64 = 256 * 1024 * 1024;

/// Time that a group of digests covers. With groups, a digest needs neither a time nor a tree node
/// of its own. A lookup searches each of the 91 groups.
const GROUP_MS: u64 = 24 * 3600 * 1000;

/// Digests whose retention started on the same day. Sorted, except in the newest group.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DigestGroup {
    /// Elapsed leader time of the newest digest.
    pub(crate) newest_ms: u64,
    pub(crate) digests: Vec<KeyDigest>,
}

/// All claims, indexed by the digest of their key.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClaimTable {
    live: BTreeMap<KeyDigest, LiveClaim>,
    by_change_time: BTreeSet<(u64, KeyDigest)>,
    /// The digests of the newest group.
    newest: BTreeSet<KeyDigest>,
    digest_count: usize,
    groups: VecDeque<DigestGroup>,
    body_bytes: u64,
}

impl ClaimTable {
    /// Rebuilds the table from the parts of a snapshot.
    pub(crate) fn from_parts(
        live: Vec<(KeyDigest, LiveClaim)>,
        mut groups: VecDeque<DigestGroup>,
    ) -> Self {
        let newest = groups.pop_back();
        // Groups of an undamaged snapshot are already sorted. In an unsorted group, a lookup could
        // miss a digest, and the key would be granted twice.
        groups.iter_mut().for_each(|g| g.digests.sort_unstable());
        let in_newest = newest.iter().flat_map(|g| &g.digests).copied();
        let newest_digests = in_newest.collect();
        groups.extend(newest);
        ClaimTable {
            by_change_time: live.iter().map(|(k, c)| (c.changed_ms, *k)).collect(),
            body_bytes: live.iter().map(|(_, c)| c.body_bytes()).sum(),
            live: live.into_iter().collect(),
            newest: newest_digests,
            digest_count: groups.iter().map(|g| g.digests.len()).sum(),
            groups,
        }
    }

    pub(crate) fn live(&self) -> &BTreeMap<KeyDigest, LiveClaim> {
        &self.live
    }

    pub(crate) fn groups(&self) -> &VecDeque<DigestGroup> {
        &self.groups
    }

    pub(crate) fn get(&self, key: KeyDigest) -> Option<&LiveClaim> {
        self.live.get(&key)
    }

    /// Whether only the digest of the key is left. The key must not be granted again.
    pub(crate) fn has_digest_only(&self, key: KeyDigest) -> bool {
        let closed = self.groups.len().saturating_sub(1);
        let in_group = |g: &DigestGroup| g.digests.binary_search(&key).is_ok();
        self.newest.contains(&key) || self.groups.iter().take(closed).any(in_group)
    }

    pub(crate) fn is_full(&self) -> bool {
        self.live.len() >= MAX_LIVE_CLAIMS || self.digest_count >= MAX_DIGESTS
    }

    /// Inserts a claim in progress for a key that has no claim.
    pub(crate) fn grant(
        &mut self,
        now_ms: u64,
        key: KeyDigest,
        digest: [u8; 32],
        attempt: Attempt,
    ) {
        let claim = LiveClaim {
            digest,
            attempt,
            changed_ms: now_ms,
            state: ClaimState::InProgress,
        };
        self.live.insert(key, claim);
        self.by_change_time.insert((now_ms, key));
    }

    /// Removes a claim in progress whose action did not run. Returns `false` if the attempt does
    /// not hold it.
    pub(crate) fn release(&mut self, key: KeyDigest, attempt: Attempt) -> bool {
        match self.live.get(&key) {
            Some(c) if c.attempt == attempt && c.state == ClaimState::InProgress => {
                self.by_change_time.remove(&(c.changed_ms, key));
                self.live.remove(&key);
                true
            }
            _ => false,
        }
    }

    /// Records the response unless one is already recorded. Returns `false` if the attempt does not
    /// hold the claim.
    pub(crate) fn complete(
        &mut self,
        now_ms: u64,
        key: KeyDigest,
        attempt: Attempt,
        mut response: RecordedResponse,
    ) -> bool {
        match self.live.get(&key) {
            Some(c) if c.attempt == attempt => {
                if matches!(c.state, ClaimState::Completed(_)) {
                    return true;
                }
            }
            _ => return false,
        }
        let remaining_bytes = MAX_BODY_BYTES_TOTAL.saturating_sub(self.body_bytes);
        let limit = remaining_bytes.min(RecordedResponse::MAX_BODY_BYTES as u64);
        response.body = response.body.filter(|b| b.len() as u64 <= limit);
        self.body_bytes += response.body.as_ref().map_or(0, |b| b.len() as u64);
        self.set_state(now_ms, key, ClaimState::Completed(Box::new(response)));
        true
    }

    /// Marks a claim in progress as unknown. A recorded response is kept. Returns `false` if the
    /// attempt does not hold the claim.
    pub(crate) fn mark_unknown(&mut self, now_ms: u64, key: KeyDigest, attempt: Attempt) -> bool {
        match self.live.get(&key) {
            Some(c) if c.attempt == attempt => {
                if c.state == ClaimState::InProgress {
                    self.set_state(now_ms, key, ClaimState::Unknown);
                }
                true
            }
            _ => false,
        }
    }

    fn set_state(&mut self, now_ms: u64, key: KeyDigest, state: ClaimState) {
        if let Some(claim) = self.live.get_mut(&key) {
            self.by_change_time.remove(&(claim.changed_ms, key));
            self.by_change_time.insert((now_ms, key));
            claim.changed_ms = now_ms;
            claim.state = state;
        }
    }

    /// Whether [`ClaimTable::expire`] would remove anything.
    pub(crate) fn has_expired_items(&self, now_ms: u64) -> bool {
        let claim_expired = |(last_change_ms, _): &(u64, KeyDigest)| {
            last_change_ms + RESPONSE_RETENTION_MS <= now_ms
        };
        let group_expired = |g: &DigestGroup| g.newest_ms + DIGEST_RETENTION_MS <= now_ms;
        self.by_change_time.first().is_some_and(claim_expired)
            || self.groups.front().is_some_and(group_expired)
    }

    /// Reduces claims past [`RESPONSE_RETENTION_MS`] to digests and removes digests past
    /// [`DIGEST_RETENTION_MS`], at most `budget` claims and digests in total.
    pub(crate) fn expire(&mut self, now_ms: u64, mut budget: usize) {
        while budget > 0 {
            match self.by_change_time.first().copied() {
                Some((last_change_ms, key)) if last_change_ms + RESPONSE_RETENTION_MS <= now_ms => {
                    self.by_change_time.pop_first();
                    let bytes = self.live.remove(&key).map_or(0, |c| c.body_bytes());
                    self.body_bytes -= bytes;
                    self.insert_digest(now_ms, key);
                }
                _ => break,
            }
            budget -= 1;
        }
        while let Some(group) = self.groups.front_mut()
            && group.newest_ms + DIGEST_RETENTION_MS <= now_ms
            && budget > 0
        {
            match group.digests.pop() {
                Some(key) => {
                    self.newest.remove(&key);
                    self.digest_count -= 1;
                    budget -= 1;
                }
                None => {
                    self.groups.pop_front();
                }
            }
        }
    }

    fn insert_digest(&mut self, now_ms: u64, key: KeyDigest) {
        let same_day = |g: &&mut DigestGroup| g.newest_ms / GROUP_MS == now_ms / GROUP_MS;
        match self.groups.back_mut().filter(same_day) {
            Some(group) => {
                group.newest_ms = now_ms;
                group.digests.push(key);
            }
            None => {
                if let Some(closed) = self.groups.back_mut() {
                    closed.digests.sort_unstable();
                    closed.digests.shrink_to_fit();
                }
                self.newest.clear();
                self.groups.push_back(DigestGroup {
                    newest_ms: now_ms,
                    digests: vec![key],
                });
            }
        }
        self.newest.insert(key);
        self.digest_count += 1;
    }
}
