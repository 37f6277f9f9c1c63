use crate::{EndpointDifference, EndpointRecord, ExchangeReply};
use std::collections::BTreeMap;
use std::time::Duration;

/// What an entry applies to its endpoints after an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The list has not changed, or the reply holds an older one than the copy.
    Unchanged,
    /// The whole list.
    Whole(Vec<EndpointRecord>),
    /// What has changed since the version that the copy held.
    Difference(EndpointDifference),
}

/// Error from applying a difference: the result would not be the sender's list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a difference to endpoint list {base:016x} does not yield list {digest:016x}")]
pub struct EndpointCopyError {
    base: u64,
    digest: u64,
}

/// Version of the endpoint list that an entry holds. It checks that differences lead to the sender's
/// list, and that a replica with an older list does not undo what a newer one has reported.
#[derive(Clone, Debug, Default)]
pub struct EndpointCopy {
    digest: u64,
    /// Local time at which the platform was queried, or earlier; `None` before the first list. It is kept
    /// when a difference is rejected, because the entry goes on using the endpoints of that version.
    read_at: Option<Duration>,
    /// Checksums of the records, by instance, and their sum.
    checksums: BTreeMap<String, u64>,
    sum: u64,
}

impl EndpointCopy {
    /// Digest of the version held; zero if none is.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Takes the list out of a reply to a request that was sent at `requested_at`. After an error
    /// the copy asks for the whole list.
    ///
    /// # Errors
    ///
    /// Fails if the list of the sender cannot be reproduced from a difference.
    pub fn apply(
        &mut self,
        requested_at: Duration,
        reply: &mut ExchangeReply,
    ) -> Result<EndpointUpdate, EndpointCopyError> {
        let Some(age) = reply.list_age else {
            return Ok(EndpointUpdate::Unchanged);
        };
        let read_at = requested_at.saturating_sub(age);
        if self.digest == reply.list_digest {
            self.read_at = self.read_at.max(Some(read_at));
            return Ok(EndpointUpdate::Unchanged);
        }
        if self.read_at.is_some_and(|held| read_at <= held) {
            return Ok(EndpointUpdate::Unchanged);
        }
        let difference = (reply.differences.as_mut()).and_then(|d| d.endpoints.take());
        let update = match (reply.list.take(), difference) {
            (Some(mut list), _) => {
                list.iter_mut().for_each(EndpointRecord::bound_cold_time);
                self.replace(&list);
                EndpointUpdate::Whole(list)
            }
            // The reply to an earlier request, which named another version.
            (None, Some(difference)) if difference.base != self.digest => {
                return Ok(EndpointUpdate::Unchanged);
            }
            (None, Some(mut difference)) => {
                let changed = difference.changed.iter_mut();
                changed.for_each(EndpointRecord::bound_cold_time);
                let checksum = reply.differences.as_ref().map_or(0, |d| d.list_checksum);
                self.change(&difference, checksum, reply.list_digest)?;
                EndpointUpdate::Difference(difference)
            }
            (None, None) => return Ok(EndpointUpdate::Unchanged),
        };
        self.digest = reply.list_digest;
        self.read_at = Some(read_at);
        Ok(update)
    }

    fn replace(&mut self, list: &[EndpointRecord]) {
        let checksums = list.iter().map(|e| (e.instance.clone(), e.checksum()));
        self.checksums = checksums.collect();
        self.sum = sum(self.checksums.values().copied());
    }

    fn change(
        &mut self,
        difference: &EndpointDifference,
        expected_sum: u64,
        digest: u64,
    ) -> Result<(), EndpointCopyError> {
        let changed = difference.changed.iter().map(|e| &e.instance);
        let replaced = changed.chain(&difference.removed);
        let before = sum(replaced.filter_map(|i| self.checksums.get(i).copied()));
        let after = sum(difference.changed.iter().map(EndpointRecord::checksum));
        let new_sum = self.sum.wrapping_sub(before).wrapping_add(after);
        if new_sum != expected_sum {
            let error = EndpointCopyError {
                base: difference.base,
                digest,
            };
            *self = EndpointCopy {
                read_at: self.read_at,
                ..EndpointCopy::default()
            };
            return Err(error);
        }
        for instance in &difference.removed {
            self.checksums.remove(instance);
        }
        for endpoint in &difference.changed {
            let checksum = endpoint.checksum();
            self.checksums.insert(endpoint.instance.clone(), checksum);
        }
        self.sum = new_sum;
        Ok(())
    }
}

/// Sum of checksums. Unlike a digest of the whole list, it follows from the records that changed.
pub(crate) fn sum<I>(checksums: I) -> u64
where
    I: Iterator<Item = u64>,
{
    checksums.fold(0, u64::wrapping_add)
}
