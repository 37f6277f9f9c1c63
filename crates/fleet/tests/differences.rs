//! Tests of lists and views that are sent as differences.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use mangospindle_fleet::{
    AnnouncedEntry, AnnouncementAge, EndpointCopy, EndpointDifference, EndpointList,
    EndpointRecord, EndpointState, EndpointUpdate, EntryAnnouncement, ExchangeReply,
    ExchangeRequest, Fleet, KnownVersions, PeerKey,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

const PEER: PeerKey = PeerKey(1);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn endpoint(n: usize, state: EndpointState) -> EndpointRecord {
    EndpointRecord {
        instance: format!("i-{n:04}"),
        service: "galeradas".to_string(),
        address: SocketAddr::from(([10, 0, (n / 256) as u8, n as u8], 8080)),
        failure_domain: "bilbao-a".to_string(),
        slots: 3,
        state,
        cold_for: Duration::ZERO,
    }
}

fn endpoints(count: usize) -> Vec<EndpointRecord> {
    let numbers = 0..count;
    numbers.map(|n| endpoint(n, EndpointState::Ready)).collect()
}

fn entry(n: usize, accepting: bool) -> EntryAnnouncement {
    EntryAnnouncement {
        name: format!("front-bilbao-a-{n}"),
        address: SocketAddr::from(([10, 1, (n / 256) as u8, n as u8], 8641)),
        failure_domain: "bilbao-a".to_string(),
        region: "vasco".to_string(),
        incarnation: 1,
        accepting,
    }
}

fn entry_request(copy: &EndpointCopy) -> ExchangeRequest {
    ExchangeRequest {
        entry: Some(entry(0, true)),
        wants_entries: false,
        known_list: copy.digest(),
        differences: Some(KnownVersions::default()),
    }
}

/// Passes a message through its encoding.
fn transmit(reply: &ExchangeReply) -> ExchangeReply {
    ExchangeReply::decode(&reply.encode()).unwrap()
}

fn exchange_views(now: Duration, from: &mut Fleet, to: &mut Fleet) -> usize {
    let request = to.request_to(PEER, true).encode();
    let request = ExchangeRequest::decode(&request).unwrap();
    let reply = from.respond(now, request, Vec::new()).encode();
    to.merge(now, now, PEER, ExchangeReply::decode(&reply).unwrap());
    reply.len()
}

/// Guards against traffic that grows with the size of the deployment while hardly anything changes:
/// whole lists and views took most of the bytes between regions at 300 machines.
#[test]
fn replies_grow_with_changes_rather_than_with_the_deployment() {
    struct Case {
        name: &'static str,
        endpoints: usize,
        entries: usize,
        draining: usize,
        /// Maximum size of a reply to an entry and to a replica, in bytes.
        max_to_entry: usize,
        max_to_replica: usize,
    }
    let cases = [
        Case {
            name: "nothing changes",
            endpoints: 1_212,
            entries: 273,
            draining: 0,
            max_to_entry: 100,
            max_to_replica: 400,
        },
        Case {
            name: "one endpoint drains",
            endpoints: 1_212,
            entries: 273,
            draining: 1,
            max_to_entry: 200,
            max_to_replica: 500,
        },
        Case {
            name: "target size, ten endpoints drain",
            endpoints: 9_680,
            entries: 880,
            draining: 10,
            max_to_entry: 1_000,
            max_to_replica: 2_000,
        },
    ];
    for case in cases {
        let (mut reader, mut follower) = (Fleet::new(1), Fleet::new(2));
        let mut copy = EndpointCopy::default();
        for n in 0..case.entries {
            reader.record_announcement(ms(1_000), entry(n, true), Duration::ZERO);
        }
        let mut list = endpoints(case.endpoints);
        reader.set_endpoint_list(EndpointList::new(list.clone(), ms(1_000)));
        exchange_views(ms(1_100), &mut reader, &mut follower);
        let mut reply = reader.respond(ms(1_100), entry_request(&copy), Vec::new());
        assert!(matches!(
            copy.apply(ms(1_100), &mut reply),
            Ok(EndpointUpdate::Whole(_))
        ));
        for endpoint in &mut list[..case.draining] {
            endpoint.state = EndpointState::Draining;
        }
        reader.set_endpoint_list(EndpointList::new(list, ms(1_700)));
        let to_replica = exchange_views(ms(1_800), &mut reader, &mut follower);
        assert!(
            to_replica <= case.max_to_replica,
            "{}: {to_replica} bytes to a replica",
            case.name
        );
        // The follower serves the same version, so an entry may ask any replica.
        for replica in [&mut reader, &mut follower] {
            let reply = replica.respond(ms(1_800), entry_request(&copy), Vec::new());
            let to_entry = reply.encode().len();
            assert!(
                to_entry <= case.max_to_entry,
                "{}: {to_entry} bytes to an entry",
                case.name
            );
            let mut own_copy = copy.clone();
            let update = own_copy.apply(ms(1_800), &mut transmit(&reply)).unwrap();
            let changed = match update {
                EndpointUpdate::Unchanged => 0,
                EndpointUpdate::Whole(list) => list.len(),
                EndpointUpdate::Difference(difference) => difference.changed.len(),
            };
            assert_eq!(changed, case.draining, "{}", case.name);
        }
    }
}

/// Guards against a draining endpoint that is used again, because the entry's new replica still has an
/// older list.
#[test]
fn replica_with_an_older_list_does_not_undo_changes() {
    let (mut current, mut late) = (Fleet::new(1), Fleet::new(2));
    let mut list = endpoints(40);
    for fleet in [&mut current, &mut late] {
        fleet.set_endpoint_list(EndpointList::new(list.clone(), ms(1_000)));
    }
    list[3].state = EndpointState::Draining;
    current.set_endpoint_list(EndpointList::new(list.clone(), ms(1_700)));
    let mut copy = EndpointCopy::default();
    let mut reply = current.respond(ms(1_800), entry_request(&copy), Vec::new());
    copy.apply(ms(1_800), &mut reply).unwrap();
    let held = copy.digest();
    let mut reply = late.respond(ms(2_500), entry_request(&copy), Vec::new());
    assert_eq!(
        copy.apply(ms(2_500), &mut reply),
        Ok(EndpointUpdate::Unchanged)
    );
    assert_eq!(copy.digest(), held);
    // Once the replica has caught up, it is used like the other.
    list[4].state = EndpointState::Draining;
    late.set_endpoint_list(EndpointList::new(list, ms(2_600)));
    let mut reply = late.respond(ms(2_700), entry_request(&copy), Vec::new());
    assert!(matches!(
        copy.apply(ms(2_700), &mut reply),
        Ok(EndpointUpdate::Whole(_))
    ));
}

/// Guards against a list that becomes wrong without notice, because a difference was applied to
/// another version than the sender's or arrived damaged.
#[test]
fn difference_that_does_not_lead_to_the_senders_list_is_rejected() {
    let mut fleet = Fleet::new(1);
    let mut list = endpoints(40);
    fleet.set_endpoint_list(EndpointList::new(list.clone(), ms(1_000)));
    let mut copy = EndpointCopy::default();
    let mut reply = fleet.respond(ms(1_000), entry_request(&copy), Vec::new());
    copy.apply(ms(1_000), &mut reply).unwrap();
    list[3].state = EndpointState::Draining;
    list.remove(7);
    fleet.set_endpoint_list(EndpointList::new(list, ms(1_700)));
    let reply = fleet.respond(ms(1_700), entry_request(&copy), Vec::new());
    let damages: [fn(&mut EndpointDifference); 3] = [
        |d| d.changed.clear(),
        |d| d.removed.clear(),
        |d| d.changed[0].slots += 1,
    ];
    for damage in damages {
        let (mut copy, mut damaged) = (copy.clone(), reply.clone());
        let differences = damaged.differences.as_mut().unwrap();
        damage(differences.endpoints.as_mut().unwrap());
        assert!(copy.apply(ms(1_700), &mut damaged).is_err());
        // The next request asks for the whole list.
        assert_eq!(copy.digest(), 0);
    }
    // A difference to another version is the reply to an earlier request, and changes nothing.
    let (held, mut late) = (copy.digest(), reply);
    let differences = late.differences.as_mut().unwrap();
    differences.endpoints.as_mut().unwrap().base += 1;
    assert_eq!(
        copy.apply(ms(1_700), &mut late),
        Ok(EndpointUpdate::Unchanged)
    );
    assert_eq!(copy.digest(), held);
}

/// Guards against a draining endpoint that is used again after a rejected difference, because the reply to
/// the next request comes from a replica with an older list.
#[test]
fn older_list_after_a_rejected_difference_does_not_undo_changes() {
    let (mut current, mut late) = (Fleet::new(1), Fleet::new(2));
    let mut list = endpoints(40);
    for fleet in [&mut current, &mut late] {
        fleet.set_endpoint_list(EndpointList::new(list.clone(), ms(1_000)));
    }
    list[3].state = EndpointState::Draining;
    current.set_endpoint_list(EndpointList::new(list.clone(), ms(1_700)));
    let mut copy = EndpointCopy::default();
    let mut reply = current.respond(ms(1_800), entry_request(&copy), Vec::new());
    copy.apply(ms(1_800), &mut reply).unwrap();
    list[4].state = EndpointState::Draining;
    current.set_endpoint_list(EndpointList::new(list, ms(2_400)));
    let mut damaged = current.respond(ms(2_500), entry_request(&copy), Vec::new());
    let differences = damaged.differences.as_mut().unwrap();
    differences.endpoints.as_mut().unwrap().changed.clear();
    assert!(copy.apply(ms(2_500), &mut damaged).is_err());

    let mut reply = late.respond(ms(2_600), entry_request(&copy), Vec::new());
    assert_eq!(
        copy.apply(ms(2_600), &mut reply),
        Ok(EndpointUpdate::Unchanged)
    );
    let mut reply = current.respond(ms(2_700), entry_request(&copy), Vec::new());
    assert!(matches!(
        copy.apply(ms(2_700), &mut reply),
        Ok(EndpointUpdate::Whole(_))
    ));
}

/// Guards against a list whose age is understated: an unchanged list that another replica confirms must
/// not make a different one seem newer.
#[test]
fn age_of_a_list_is_only_renewed_by_an_equal_list() {
    let (mut first, mut second) = (Fleet::new(1), Fleet::new(2));
    let list = endpoints(40);
    for fleet in [&mut first, &mut second] {
        fleet.set_endpoint_list(EndpointList::new(list.clone(), ms(1_000)));
    }
    first.set_endpoint_list(EndpointList::new(list.clone(), ms(3_000)));
    let request = second.request_to(PEER, true);
    let reply = first.respond(ms(3_000), request, Vec::new());
    // The second replica gets another list while the reply is on the way.
    second.set_endpoint_list(EndpointList::new(list[1..].to_vec(), ms(2_000)));
    second.merge(ms(3_000), ms(3_000), PEER, reply);
    assert_eq!(second.endpoint_list_age(ms(3_000)), Some(ms(1_000)));
}

/// Guards against announcements that seem newer with each exchange between replicas.
#[test]
fn rounded_ages_are_never_too_low() {
    let cases = [
        (0, Some(0)),
        (1, Some(50)),
        (50, Some(50)),
        (51, Some(100)),
        (12_700, Some(12_700)),
        (12_701, None),
        (60_000, None),
    ];
    for (age, expected) in cases {
        let rounded = AnnouncementAge::new(ms(age)).get();
        assert_eq!(rounded, expected.map(ms), "{age} ms");
    }
}

/// Guards against entries that remain in the view of a replica after they have left, and against
/// replicas that miss a change of an entry.
#[test]
fn entries_join_change_and_leave_by_differences() {
    let (mut first, mut second) = (Fleet::new(1), Fleet::new(2));
    let view = |fleet: &mut Fleet, now| {
        let request = ExchangeRequest {
            entry: None,
            wants_entries: true,
            known_list: 0,
            differences: None,
        };
        let entries = fleet.respond(now, request, Vec::new()).entries;
        let entries = entries
            .into_iter()
            .map(|a| (a.entry.name, a.entry.accepting));
        entries.collect::<Vec<_>>()
    };
    for n in 0..3 {
        first.record_announcement(ms(1_000), entry(n, true), Duration::ZERO);
    }
    exchange_views(ms(1_000), &mut first, &mut second);
    assert_eq!(view(&mut second, ms(1_000)), view(&mut first, ms(1_000)));
    // One entry stops accepting callers, and one is replaced by another at its address.
    first.record_announcement(ms(2_000), entry(1, false), Duration::ZERO);
    let mut successor = entry(2, true);
    successor.name = "front-bilbao-a-9".to_string();
    first.record_announcement(ms(2_000), successor, Duration::ZERO);
    exchange_views(ms(2_100), &mut first, &mut second);
    assert_eq!(view(&mut second, ms(2_100)), view(&mut first, ms(2_100)));
    // The other replica restarts, with a view of its own that counts from the beginning.
    let mut restarted = Fleet::new(3);
    restarted.record_announcement(ms(2_200), entry(5, true), Duration::ZERO);
    exchange_views(ms(2_300), &mut restarted, &mut second);
    assert!(view(&mut second, ms(2_300)).contains(&("front-bilbao-a-5".to_string(), true)));
    // Silent entries are forgotten by both.
    for fleet in [&mut first, &mut second] {
        fleet.record_announcement(ms(62_500), entry(7, true), Duration::ZERO);
        assert_eq!(view(fleet, ms(62_500)).len(), 1);
    }
}

/// Messages of the build before differences were introduced.
#[derive(Serialize, Deserialize)]
struct EarlierRequest {
    entry: Option<EntryAnnouncement>,
    wants_entries: bool,
    known_list: u64,
}

#[derive(Serialize, Deserialize)]
struct EarlierReply {
    entries: Vec<AnnouncedEntry>,
    replicas: Vec<SocketAddr>,
    region_entries: u32,
    list_digest: u64,
    list_age: Option<Duration>,
    list: Option<Vec<EndpointRecord>>,
}

/// Guards against an upgrade during which processes of two builds cannot read each other's messages.
#[test]
fn messages_work_beside_the_earlier_build() {
    let mut fleet = Fleet::new(1);
    fleet.record_announcement(ms(1_000), entry(1, true), Duration::ZERO);
    fleet.set_endpoint_list(EndpointList::new(endpoints(40), ms(1_000)));
    // A request of the earlier build gets whole copies, and nothing after the message.
    let request = EarlierRequest {
        entry: None,
        wants_entries: true,
        known_list: 5,
    };
    let request = ExchangeRequest::decode(&postcard::to_stdvec(&request).unwrap()).unwrap();
    assert_eq!(request.differences, None);
    let reply = fleet.respond(ms(1_100), request, Vec::new()).encode();
    let (reply, rest) = postcard::take_from_bytes::<EarlierReply>(&reply).unwrap();
    let list = reply.list.as_ref().unwrap();
    assert_eq!((reply.entries.len(), list.len(), rest.len()), (1, 40, 0));
    // The earlier build ignores what follows a request.
    let request = Fleet::new(2).request_to(PEER, true).encode();
    let earlier: EarlierRequest = postcard::from_bytes(&request).unwrap();
    assert!(earlier.wants_entries && earlier.known_list == 0);
    // Its reply is merged as before, also by an entry.
    let reply = ExchangeReply::decode(&postcard::to_stdvec(&reply).unwrap()).unwrap();
    let mut copy = EndpointCopy::default();
    let update = copy.apply(ms(1_100), &mut reply.clone()).unwrap();
    assert!(matches!(update, EndpointUpdate::Whole(list) if list.len() == 40));
    let mut second = Fleet::new(2);
    second.merge(ms(1_100), ms(1_100), PEER, reply);
    assert_eq!(second.endpoint_list().unwrap().endpoints.len(), 40);
}

/// Guards against a cold start without end that ends the process by an overflow.
#[test]
fn extreme_cold_starts_are_bounded() {
    let mut list = endpoints(2);
    list[0].cold_for = Duration::MAX;
    let (mut first, mut second) = (Fleet::new(1), Fleet::new(2));
    first.set_endpoint_list(EndpointList::new(list.clone(), ms(1_000)));
    exchange_views(ms(1_500), &mut first, &mut second);
    let mut copy = EndpointCopy::default();
    let mut reply = second.respond(ms(1_600), entry_request(&copy), Vec::new());
    reply.list.as_mut().unwrap()[1].cold_for = Duration::MAX;
    let update = copy.apply(ms(1_600), &mut reply).unwrap();
    let EndpointUpdate::Whole(list) = update else {
        panic!("{update:?}");
    };
    assert!(list.iter().all(|e| e.cold_for <= Duration::from_secs(3600)));
}

/// Guards against a malformed message that ends the process or claims much memory.
#[test]
fn malformed_messages_are_rejected() {
    let mut fleet = Fleet::new(1);
    for n in 0..5 {
        fleet.record_announcement(ms(1_000), entry(n, true), Duration::ZERO);
    }
    fleet.set_endpoint_list(EndpointList::new(endpoints(5), ms(1_000)));
    let request = Fleet::new(2).request_to(PEER, true);
    let bytes = fleet.respond(ms(1_000), request, Vec::new()).encode();
    for length in 0..bytes.len() {
        // Only a message without its extension is complete.
        let decoded = ExchangeReply::decode(&bytes[..length]);
        assert!(decoded.is_err() || decoded.unwrap().differences.is_none());
    }
    for position in 0..bytes.len() {
        for bit in 0..8 {
            let mut damaged = bytes.clone();
            damaged[position] ^= 1 << bit;
            if let Ok(reply) = ExchangeReply::decode(&damaged) {
                Fleet::new(3).merge(ms(1_000), ms(1_000), PEER, reply);
            }
        }
    }
}
