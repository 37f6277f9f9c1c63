//! Tests of a replica that cannot apply the difference that it got.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use mangospindle_fleet::{EndpointList, EndpointRecord, EndpointState, Fleet, PeerKey};
use std::time::Duration;

const PEER: PeerKey = PeerKey(1);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn endpoints(count: u8) -> Vec<EndpointRecord> {
    let endpoint = |n: u8| EndpointRecord {
        instance: format!("i-{n}"),
        service: "views".to_string(),
        address: ([10, 0, 0, n], 80).into(),
        failure_domain: "a".to_string(),
        slots: 3,
        state: EndpointState::Ready,
        cold_for: Duration::ZERO,
    };
    (0..count).map(endpoint).collect()
}

/// Guards against a replica that asks again and again for a difference which does not lead to the list of
/// its sender, and keeps an old list meanwhile.
#[test]
fn whole_list_is_requested_after_a_difference_that_does_not_fit() {
    let (mut sender, mut replica) = (Fleet::new(1), Fleet::new(2));
    sender.set_endpoint_list(EndpointList::new(endpoints(40), ms(1_000)));
    let reply = sender.respond(ms(1_100), replica.request_to(PEER, true), Vec::new());
    replica.merge(ms(1_100), ms(1_100), PEER, reply);

    sender.set_endpoint_list(EndpointList::new(endpoints(41), ms(2_000)));
    let mut reply = sender.respond(ms(2_100), replica.request_to(PEER, true), Vec::new());
    let differences = reply.differences.as_mut().unwrap();
    assert!(differences.endpoints.is_some(), "the difference is sent");
    differences.list_checksum ^= 1;
    replica.merge(ms(2_100), ms(2_100), PEER, reply);
    assert_eq!(replica.endpoint_list().unwrap().endpoints.len(), 40);

    let request = replica.request_to(PEER, true);
    let reply = sender.respond(ms(2_200), request, Vec::new());
    assert!(reply.list.is_some(), "the whole list is sent");
    replica.merge(ms(2_200), ms(2_200), PEER, reply);
    assert_eq!(replica.endpoint_list().unwrap().endpoints.len(), 41);

    // From then on differences are of use again.
    sender.set_endpoint_list(EndpointList::new(endpoints(42), ms(3_000)));
    let reply = sender.respond(ms(3_100), replica.request_to(PEER, true), Vec::new());
    assert!(reply.list.is_none(), "a difference is sent");
    replica.merge(ms(3_100), ms(3_100), PEER, reply);
    assert_eq!(replica.endpoint_list().unwrap().endpoints.len(), 42);
}
