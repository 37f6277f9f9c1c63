use super::{Fleet, Peer, PeerKey};
use crate::{EndpointList, EndpointRecord, ExchangeReply, ExchangeRequest, KnownVersions};
use std::time::Duration;

/// Time after the last reply of a replica at which its view is forgotten.
const PEER_RETENTION: Duration = Duration::from_secs(60);

impl Fleet {
    /// Returns the request for the view of another replica, with or without its entries.
    pub fn request_to(&self, peer: PeerKey, wants_entries: bool) -> ExchangeRequest {
        let known = self.peers.get(&peer);
        ExchangeRequest {
            entry: None,
            wants_entries,
            known_list: self.known_list(),
            differences: Some(KnownVersions {
                entries: known.and_then(|p| p.entries.version()),
            }),
        }
    }

    /// Digest of the list to which a difference may apply; zero if the whole list is needed.
    fn known_list(&self) -> u64 {
        let known = self.list.as_ref().filter(|_| !self.whole_list_needed);
        known.map_or(0, |l| l.digest)
    }

    /// Merges the view of another replica. `asked_at` is a time before the request was sent, so
    /// that no information is treated as newer than it is.
    pub fn merge(
        &mut self,
        now: Duration,
        asked_at: Duration,
        peer: PeerKey,
        mut reply: ExchangeReply,
    ) {
        self.merge_entries(now, asked_at, peer, &mut reply);
        self.merge_list(asked_at, reply);
    }

    /// Replicas that have replied within `time`, in the order of their keys.
    pub fn reachable_peers(&self, now: Duration, time: Duration) -> Vec<PeerKey> {
        let reachable = self.peers.iter();
        let reachable = reachable.filter(|(_, p)| now.saturating_sub(p.replied_at) < time);
        reachable.map(|(key, _)| *key).collect()
    }

    fn merge_entries(
        &mut self,
        now: Duration,
        asked_at: Duration,
        peer: PeerKey,
        reply: &mut ExchangeReply,
    ) {
        self.peers
            .retain(|_, p| now.saturating_sub(p.replied_at) < PEER_RETENTION);
        let known: &mut Peer = self.peers.entry(peer).or_default();
        known.replied_at = now;
        let difference = (reply.differences.as_mut()).and_then(|d| d.entries.take());
        let announced = match difference {
            Some(difference) => known.entries.apply(difference),
            // A replica of an earlier build sends all entries.
            None => std::mem::take(&mut reply.entries),
        };
        if !announced.is_empty() {
            self.first_announcement_at.get_or_insert(now);
        }
        for announced in announced {
            let announced_at = asked_at.saturating_sub(announced.age);
            self.entries.record(announced.entry, announced_at);
        }
        self.entries.expire(now);
    }

    fn merge_list(&mut self, asked_at: Duration, reply: ExchangeReply) {
        let Some(age) = reply.list_age else {
            return;
        };
        let read_at = asked_at.saturating_sub(age);
        let differences = reply.differences;
        let checksum = differences.as_ref().map_or(0, |d| d.list_checksum);
        let difference = differences.and_then(|d| d.endpoints);
        match (reply.list, difference, &mut self.list) {
            (Some(endpoints), _, known) => {
                let mut list = rebase_list(endpoints, age, read_at);
                if let Some(known) = known {
                    list.inherit_cold_starts(known);
                }
                list.digest = reply.list_digest;
                self.replace_list(list);
            }
            (None, Some(difference), Some(known)) => {
                let version = (reply.list_digest, checksum);
                // A difference to a list that has been replaced meanwhile is of no use. The next
                // request names the present one.
                let applies = difference.base == known.digest;
                match known.with_difference(difference, read_at, age, version) {
                    Some(list) => self.replace_list(list),
                    None => self.whole_list_needed |= applies,
                }
            }
            (None, None, Some(known)) if known.digest == reply.list_digest => {
                known.read_at = known.read_at.max(read_at);
            }
            (None, _, _) => {}
        }
    }
}

/// Builds an endpoint list read at `read_at` from records whose `cold_for` counts from `age` later.
fn rebase_list(
    mut endpoints: Vec<EndpointRecord>,
    age: Duration,
    read_at: Duration,
) -> EndpointList {
    for endpoint in &mut endpoints {
        endpoint.cold_for = endpoint.cold_for_since_reading(age);
    }
    EndpointList::new(endpoints, read_at)
}
