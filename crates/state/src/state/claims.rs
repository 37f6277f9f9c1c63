use super::State;
use super::apply::refused;
use crate::key_digest::KeyDigest;
use crate::live_claim::{ClaimState, LiveClaim};
use crate::{Attempt, ClaimKey, ClaimOutcome, Outcome, RecordedResponse};
use mangospindle_model::ErrorKind;

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Maximum length of a content type that is recorded with a response, in bytes.
const MAX_CONTENT_TYPE_BYTES: usize = 255;

impl State {
    pub(super) fn claim_outcome(&self, key: &ClaimKey) -> ClaimOutcome {
        let digest = KeyDigest::of(key);
        match self.claims.get(digest) {
            Some(claim) => self.outcome_of(claim),
            None if self.claims.has_digest_only(digest) => ClaimOutcome::Unknown,
            None => ClaimOutcome::NotFound,
        }
    }

    fn outcome_of(&self, claim: &LiveClaim) -> ClaimOutcome {
        match &claim.state {
            ClaimState::Completed(response) => ClaimOutcome::Completed((**response).clone()),
            ClaimState::InProgress if self.is_current(claim.attempt) => ClaimOutcome::InProgress,
            ClaimState::InProgress | ClaimState::Unknown => ClaimOutcome::Unknown,
        }
    }

    /// Whether the process of the attempt has joined and was not replaced or fenced.
    fn is_current(&self, attempt: Attempt) -> bool {
        self.current_process(attempt.entry) == Some(attempt.incarnation)
    }

    pub(super) fn grant_claim(
        &mut self,
        key: &ClaimKey,
        digest: &[u8; 32],
        attempt: Attempt,
    ) -> Outcome {
        if key.service.index() >= self.config.topology.services.len() {
            return refused(ErrorKind::UnknownService, "there is no such service");
        }
        if !(1..=MAX_KEY_BYTES).contains(&key.key.len()) {
            return refused(ErrorKind::BadRequest, "the key is empty or too long");
        }
        let key_digest = KeyDigest::of(key);
        if let Some(claim) = self.claims.get(key_digest) {
            return Outcome::Claim(match self.outcome_of(claim) {
                _ if claim.digest != *digest => ClaimOutcome::BodyMismatch,
                ClaimOutcome::InProgress if claim.attempt == attempt => ClaimOutcome::Granted,
                outcome => outcome,
            });
        }
        if self.claims.has_digest_only(key_digest) {
            return Outcome::Claim(ClaimOutcome::Unknown);
        }
        if !self.is_current(attempt) {
            let reason = "the claimant has not joined, was replaced or was fenced";
            return refused(ErrorKind::Draining, reason);
        }
        if self.released.must_refuse(attempt) {
            let reason = "the claimant has already given up this attempt";
            return refused(ErrorKind::DeadlineBeforeDispatch, reason);
        }
        if self.claims.is_full() {
            return refused(ErrorKind::NoCapacity, "there are too many claims");
        }
        self.claims
            .grant(self.clock.elapsed_ms, key_digest, *digest, attempt);
        Outcome::Claim(ClaimOutcome::Granted)
    }

    pub(super) fn complete_claim(
        &mut self,
        key: &ClaimKey,
        attempt: Attempt,
        response: &RecordedResponse,
    ) -> Outcome {
        let mut response = response.clone();
        let within_limit = |t: &String| t.len() <= MAX_CONTENT_TYPE_BYTES;
        response.content_type = response.content_type.filter(within_limit);
        let now_ms = self.clock.elapsed_ms;
        let held = self
            .claims
            .complete(now_ms, KeyDigest::of(key), attempt, response);
        self.done_if_held(held)
    }

    pub(super) fn mark_claim_unknown(&mut self, key: &ClaimKey, attempt: Attempt) -> Outcome {
        let now_ms = self.clock.elapsed_ms;
        let held = self
            .claims
            .mark_unknown(now_ms, KeyDigest::of(key), attempt);
        self.done_if_held(held)
    }

    fn done_if_held(&self, held: bool) -> Outcome {
        match held {
            true => self.done(),
            false => refused(
                ErrorKind::NotFound,
                "the attempt does not hold a claim of this key",
            ),
        }
    }

    /// Releases a claim, including one that has not arrived yet.
    pub(super) fn release_claim(&mut self, key: &ClaimKey, attempt: Attempt) -> Outcome {
        let now_ms = self.clock.elapsed_ms;
        self.claims.release(KeyDigest::of(key), attempt);
        if self.is_current(attempt) {
            self.released.record(now_ms, attempt);
        }
        self.done()
    }
}
