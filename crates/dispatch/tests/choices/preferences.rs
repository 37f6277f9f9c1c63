//! Tests of the endpoints that the requests for an object prefer.

use crate::support::{NOW, dispatcher, record, request};
use mangospindle_dispatch::{Dispatcher, Outcome, Request};
use mangospindle_fleet::{EndpointDifference, EndpointRecord, EndpointState};
use std::collections::BTreeSet;

const OBJECTS: std::ops::Range<u64> = 0..200;

/// Number of endpoints that share the requests for one object.
const ENDPOINTS_PER_OBJECT: usize = 2;

/// Returns the instance that an object's request is sent to when all endpoints are idle.
fn chosen(dispatcher: &mut Dispatcher, object: u64) -> String {
    let request = Request {
        affinity: Some(object),
        ..request()
    };
    let choice = dispatcher.choose(NOW, &request).unwrap();
    dispatcher.record_outcome(NOW, choice.ticket, Outcome::Cancelled);
    choice.instance
}

/// Guards against an order of preference that outlives a change of the endpoints. Entries that heard of the
/// endpoints one after the other would then send the requests for an object elsewhere than the others do.
#[test]
fn preferences_depend_only_on_the_present_endpoints() {
    struct Case {
        name: &'static str,
        before: std::ops::Range<u8>,
        after: std::ops::Range<u8>,
    }
    let cases = [
        Case {
            name: "endpoints join",
            before: 1..20,
            after: 1..40,
        },
        Case {
            name: "endpoints leave",
            before: 1..40,
            after: 20..40,
        },
        Case {
            name: "most are replaced",
            before: 1..30,
            after: 25..60,
        },
        Case {
            name: "few are left",
            before: 1..30,
            after: 28..30,
        },
    ];
    for case in cases {
        let list = |range: std::ops::Range<u8>| -> Vec<EndpointRecord> {
            range.map(|n| record(n, "a")).collect()
        };
        let mut changed = dispatcher(&list(case.before.clone()));
        OBJECTS.for_each(|object| drop(chosen(&mut changed, object)));
        let removed = case.before.clone().filter(|n| !case.after.contains(n));
        let joined = case.after.clone().filter(|n| !case.before.contains(n));
        let difference = EndpointDifference {
            removed: removed.map(|n| record(n, "a").instance).collect(),
            changed: joined.map(|n| record(n, "a")).collect(),
            ..EndpointDifference::default()
        };
        changed.change_endpoints(NOW, &difference);
        let mut fresh = dispatcher(&list(case.after));
        for object in OBJECTS {
            let instances = (chosen(&mut changed, object), chosen(&mut fresh, object));
            assert_eq!(instances.0, instances.1, "{}: object {object}", case.name);
        }
    }
}

/// Guards against refusals although endpoints are free, when those that an object prefers are not usable.
#[test]
fn less_preferred_endpoints_are_used_when_the_others_leave() {
    let mut list: Vec<EndpointRecord> = (1..40).map(|n| record(n, "a")).collect();
    let mut dispatcher = dispatcher(&list);
    let mut used = BTreeSet::new();
    for _ in 0..list.len() {
        let instance = chosen(&mut dispatcher, 7);
        let leaving = list.iter_mut().find(|r| r.instance == instance).unwrap();
        leaving.state = EndpointState::Draining;
        dispatcher.update_endpoints(NOW, &list);
        assert!(used.insert(instance), "a draining endpoint is used again");
    }
    assert_eq!(used.len(), list.len());
}

/// Guards against the spread of an object over more endpoints than can keep it in their working sets.
#[test]
fn requests_for_an_object_share_two_endpoints() {
    let list: Vec<EndpointRecord> = (1..40).map(|n| record(n, "a")).collect();
    let mut dispatcher = dispatcher(&list);
    for object in OBJECTS {
        let request = Request {
            affinity: Some(object),
            ..request()
        };
        // More requests than the slots of the two endpoints.
        let choices: Vec<_> = (0..8)
            .filter_map(|_| dispatcher.choose(NOW, &request).ok())
            .collect();
        let instances: BTreeSet<&String> = choices.iter().map(|c| &c.instance).collect();
        assert!(instances.len() <= ENDPOINTS_PER_OBJECT, "{instances:?}");
        for choice in &choices {
            dispatcher.record_outcome(NOW, choice.ticket, Outcome::Cancelled);
        }
    }
}
