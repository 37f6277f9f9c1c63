use crate::fixture::*;
use crate::owner::{Got, Owner};
use mangospindle_model::*;
use mangospindle_quota::*;
use mangospindle_state::{ConfigChange, EntryStatus, Ownership, Takeover};

const FULL: Got = Got::Queue;
const NONE: Got = Got::No(ErrorKind::NoEndpoint);
const CROSS: Got = Got::No(ErrorKind::CrossRegionLimit);

fn drain_all_but(owner: &mut Owner, kept: u32) {
    (0..8)
        .filter(|e| *e != kept)
        .for_each(|e| owner.change(ConfigChange::SetEndpointDrain(EndpointId(e), true)));
}

/// Guards against a decision that ignores one of the limits or states; each case ends with one
/// read.
#[test]
fn decision_after_events() {
    struct Case {
        name: &'static str,
        events: fn(&mut Owner),
        home: RegionId,
        got: Got,
    }
    let case = |name, home, got, events| Case {
        name,
        events,
        home,
        got,
    };
    let cases = [
        case("idle", HOME, Got::Slot, |_| {}),
        case("all slots in use", HOME, FULL, |o| assert_eq!(o.fill(), 12)),
        case("queue full", HOME, Got::No(ErrorKind::NoCapacity), |o| {
            o.fill();
            (0..47).for_each(|_| assert_eq!(o.read(HOME), Got::Queue));
        }),
        case("writes wait", HOME, Got::No(ErrorKind::Shed), |o| {
            o.fill();
            (0..47).for_each(|_| assert_eq!(o.read(HOME), Got::Queue));
            assert_eq!(
                o.request(0, RequestClass::AtMostOnce, HOME, 1_000),
                Got::Queue
            );
        }),
        case("region limit lowered", HOME, FULL, |o| {
            assert_eq!(o.fill(), 12);
            o.change(ConfigChange::SetRegionLimit(HOME, 4));
            (0..8).for_each(|_| o.finish(RequestResult::Cancelled));
        }),
        case(
            "region limit lowered and slots freed",
            HOME,
            Got::Slot,
            |o| {
                o.fill_other();
                o.change(ConfigChange::SetRegionLimit(HOME, 4));
                (0..10).for_each(|_| o.finish(RequestResult::Cancelled));
            },
        ),
        case("region limit raised", HOME, Got::Slot, |o| {
            o.change(ConfigChange::SetRegionLimit(HOME, 4));
            assert_eq!(o.fill(), 4);
            o.change(ConfigChange::SetRegionLimit(HOME, 6));
            o.advance(10_000);
        }),
        case("all leave", HOME, NONE, |o| {
            (0..8).for_each(|e| o.observe(e, EndpointReading::Leaving))
        }),
        case("one stays", HOME, Got::Slot, |o| drain_all_but(o, 2)),
        case("VM list", HOME, NONE, |o| {
            drain_all_but(o, 2);
            o.observe(2, EndpointReading::VmList { leaving: true });
        }),
        case("all suspect", HOME, Got::Slot, |o| {
            (0..24).for_each(|i| o.observe(i / 3, EndpointReading::Unanswered));
        }),
        case("fenced", HOME, NONE, |o| {
            o.change(ConfigChange::SetEntryStatus(
                EntryId(0),
                EntryStatus::Fenced,
            ));
        }),
        case("lost owner", HOME, NONE, |o| {
            drain_all_but(o, 2);
            let ownership = Ownership {
                owner: Some(EntryId(0)),
                epoch: 9,
                takeover: Takeover::Quarantine,
            };
            o.change(ConfigChange::SetOwnership(EndpointId(2), ownership));
            o.advance(999);
        }),
        case("quarantine over", HOME, Got::Slot, |o| {
            drain_all_but(o, 2);
            let ownership = Ownership {
                owner: Some(EntryId(0)),
                epoch: 9,
                takeover: Takeover::Quarantine,
            };
            o.change(ConfigChange::SetOwnership(EndpointId(2), ownership));
            o.advance(1_000);
        }),
        case("cross-region, confirmed", AWAY, Got::Slot, |o| {
            o.confirm(1_900)
        }),
        case("cross-region, old confirmation", AWAY, CROSS, |o| {
            o.confirm(2_000)
        }),
        case("cross-region, other version confirmed", AWAY, CROSS, |o| {
            o.admission.confirm(o.now, o.config.version - 1, ms(0));
        }),
        case("cross-region, pace at the start", AWAY, CROSS, |o| {
            o.confirm(0);
            assert_eq!((o.read(AWAY), o.read(AWAY)), (Got::Slot, Got::Slot));
        }),
        case("cross-region, limit", AWAY, CROSS, |o| {
            for _ in 0..50 {
                o.advance(250);
                o.confirm(0);
                while o.read(AWAY) == Got::Slot {}
                while !o.permits.is_empty() {
                    o.finish(RequestResult::Answered { first_byte: ms(5) });
                }
            }
            o.advance(1_010);
            (0..8).for_each(|_| assert_eq!(o.read(AWAY), Got::Slot));
        }),
        case("cross-region, limit lowered to zero", AWAY, CROSS, |o| {
            o.confirm(0);
            o.change(put_profile(profile(0, 1.0)));
        }),
        case("cross-region, home requests go on", HOME, Got::Slot, |o| {
            o.confirm(0);
            while o.read(AWAY) == Got::Slot {}
        }),
    ];
    for Case {
        name,
        events,
        home,
        got,
    } in cases
    {
        let mut owner = Owner::new(100, profile(8, 0.25));
        events(&mut owner);
        assert_eq!(owner.read(home), got, "{name}");
    }
}

/// Guards against dispatches by a process that does not know yet whether it is the owner, or whose
/// predecessor's requests may run.
#[test]
fn restart_waits() {
    let mut owner = Owner::restarted(100, profile(8, 1.0));
    owner.advance(20_000);
    assert_eq!(owner.read(HOME), NONE);
    owner.confirm(30_000);
    assert_eq!(
        owner.read(HOME),
        NONE,
        "confirmed before the start of the process"
    );
    owner.confirm(0);
    assert_eq!((owner.read(HOME), owner.read(AWAY)), (Got::Slot, CROSS));
    for (limit, wait, slots) in [
        (100, 999, 0),
        (100, 1_000, 12),
        (12, 6_599, 0),
        (12, 6_600, 12),
    ] {
        let mut owner = Owner::restarted(limit, profile(8, 1.0));
        owner.confirm(0);
        owner.advance(wait);
        assert_eq!(owner.fill(), slots, "limit {limit}, {wait} ms");
    }
}

/// Guards against requests that are started late, in the wrong order, or forgotten.
#[test]
fn queue_order_and_expiry() {
    use RequestClass::*;
    let mut owner = Owner::new(100, profile(8, 1.0));
    assert_eq!(
        owner.request(0, Read, HOME, 0),
        Got::No(ErrorKind::DeadlineBeforeDispatch)
    );
    owner.fill();
    owner.advance(400);
    assert_eq!(owner.take_actions(), ["no-capacity"]);
    for (class, remaining) in [
        (Read, 1_000),
        (Upload, 50),
        (AtMostOnce, 1_000),
        (Upload, 1_000),
    ] {
        assert_eq!(owner.request(0, class, HOME, remaining), Got::Queue);
    }
    assert_eq!(owner.admission.next_expiry(), Some(owner.now + ms(50)));
    owner.advance(50);
    assert_eq!(owner.take_actions(), ["deadline-before-dispatch"]);
    owner.finish(RequestResult::Cancelled);
    assert_eq!(owner.take_actions(), ["dispatch"]);
    owner.advance(350);
    // The at-most-once action got the slot; the read and the upload expired.
    assert_eq!(owner.take_actions(), ["no-capacity", "no-capacity"]);
}

/// Guards against a release while requests run or connections are open, against drains that are not
/// reported, and against the use of a released endpoint.
#[test]
fn drain_and_release() {
    let mut owner = Owner::new(100, profile(8, 1.0));
    drain_all_but(&mut owner, 2);
    owner.take_actions();
    assert_eq!(owner.fill(), 3);
    let id = EndpointId(2);
    assert!((0..5).all(|_| owner.admission.open_connection(owner.now, id)));
    assert!(
        !owner.admission.open_connection(owner.now, id),
        "above max_connections"
    );
    owner.observe(2, EndpointReading::Leaving);
    owner.advance(400);
    (0..3).for_each(|_| owner.finish(RequestResult::Cancelled));
    let drained = owner.take_actions();
    assert_eq!(
        drained.iter().filter(|a| *a == "drained 2 400ms").count(),
        1,
        "{drained:?}"
    );
    let second = Entry {
        name: "n9".into(),
        failure_domain: FailureDomainId(0),
        public_address: ([127, 0, 0, 1], 1).into(),
        internal_address: ([127, 0, 0, 1], 2).into(),
    };
    owner.change(ConfigChange::AddEntry(second));
    owner.change(ConfigChange::SetEntryStatus(
        EntryId(0),
        EntryStatus::Leaving { incarnation: 1 },
    ));
    assert!(owner.take_actions().is_empty(), "no other active entry");
    owner.observe(2, EndpointReading::Healthy { load: 0.0 });
    (0..3).for_each(|_| assert_eq!(owner.read(HOME), Got::Slot));
    owner.change(active(EntryId(1), 1));
    (0..3).for_each(|_| owner.finish(RequestResult::Cancelled));
    let mut actions = owner.take_actions();
    // One endpoint at a time per service: the service's other endpoints are drained by the operator.
    for _ in 0..5 {
        for id in (0..8).map(EndpointId) {
            if actions.contains(&format!("close {id}")) {
                (0..5).for_each(|_| {
                    owner
                        .actions
                        .extend(owner.admission.connection_closed(owner.now, id))
                });
            }
            if actions.contains(&format!("release {id} 1")) {
                assert!(!owner.admission.open_connection(owner.now, id));
                let change = next_owner(&owner.config, id, Takeover::Clean);
                owner.change(change);
            }
        }
        actions.extend(owner.take_actions());
    }
    let released = |i: usize| {
        actions
            .iter()
            .filter(|a| **a == format!("release {i} 1"))
            .count()
    };
    assert!((0..8).all(|i| released(i) == 1), "{actions:?}");
    assert_eq!(owner.read(HOME), NONE);
}

/// Guards against endpoints that attract traffic although they fail or are slow, and against
/// ejection of more than half.
#[test]
fn bad_endpoints_get_less() {
    struct Case {
        name: &'static str,
        results: [RequestResult; 4],
        most: f64,
    }
    let good = RequestResult::Answered { first_byte: ms(5) };
    let slow = RequestResult::Answered {
        first_byte: ms(100),
    };
    let (failed, shed) = (RequestResult::Failed, RequestResult::Shed);
    let cases = [
        Case {
            name: "equal",
            results: [good; 4],
            most: 0.3,
        },
        Case {
            name: "fails fast",
            results: [failed, good, good, good],
            most: 0.07,
        },
        Case {
            name: "sheds",
            results: [shed, good, good, good],
            most: 0.07,
        },
        Case {
            name: "slow",
            results: [slow, good, good, good],
            most: 0.1,
        },
        Case {
            name: "all fail",
            results: [failed; 4],
            most: 0.7,
        },
    ];
    for Case {
        name,
        results,
        most,
    } in cases
    {
        let mut owner = Owner::new(100, profile(8, 1.0));
        let mut first = 0.0;
        for _ in 0..2_000 {
            owner.advance(10);
            while owner.permits.len() < 3 {
                assert_eq!(owner.read(HOME), Got::Slot, "{name}");
                first += f64::from(u8::from(
                    owner.permits.last().expect("a permit").endpoint().0 == 0,
                ));
            }
            let result = results[owner.permits[0].endpoint().index() / 2];
            owner.finish(result);
        }
        assert!(first / 2_003.0 < most, "{name}: {first}");
    }
}
