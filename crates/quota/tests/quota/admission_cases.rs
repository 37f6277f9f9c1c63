use crate::fixture::*;
use crate::test_owner::{Outcome, TestOwner};
use mangospindle_model::RequestClass::{AtMostOnce, Read, Upload};
use mangospindle_model::*;
use mangospindle_quota::*;
use mangospindle_state::{ConfigChange, Takeover};

const ENQUEUED: Outcome = Outcome::Enqueued;
const NO_ENDPOINT: Outcome = Outcome::Rejected(ErrorKind::NoEndpoint);
const CROSS_REGION_LIMIT: Outcome = Outcome::Rejected(ErrorKind::CrossRegionLimit);

fn drain_all_but(owner: &mut TestOwner, kept: u32) {
    (0..8)
        .filter(|e| *e != kept)
        .for_each(|e| owner.change(set_drain(e, true)));
}

fn take_over_lost_owner(owner: &mut TestOwner, wait_ms: u64) {
    drain_all_but(owner, 2);
    owner.change(set_owner(
        EndpointId(2),
        Some(EntryId(0)),
        9,
        Takeover::Quarantine,
    ));
    owner.advance(wait_ms);
}

fn cancel_oldest(owner: &mut TestOwner, count: usize) {
    (0..count).for_each(|_| owner.finish_oldest(RequestResult::Cancelled));
}

/// Guards against a decision that ignores a limit or a state. Each case ends with one read.
#[test]
fn decision_after_events() {
    /// Name, home region of the read, its expected outcome, events before it.
    struct Case(&'static str, RegionId, Outcome, fn(&mut TestOwner));
    let cases = [
        Case("idle", HOME, Outcome::SlotGranted, |_| {}),
        Case("all slots in use", HOME, ENQUEUED, |o| {
            assert_eq!(o.fill_slots(0), 12)
        }),
        Case(
            "queue full",
            HOME,
            Outcome::Rejected(ErrorKind::NoCapacity),
            |o| {
                o.fill_slots(0);
                (0..47).for_each(|_| assert_eq!(o.read(HOME), ENQUEUED));
            },
        ),
        Case(
            "writes are queued",
            HOME,
            Outcome::Rejected(ErrorKind::Shed),
            |o| {
                o.fill_slots(0);
                (0..47).for_each(|_| assert_eq!(o.read(HOME), ENQUEUED));
                assert_eq!(o.request(0, AtMostOnce, HOME, 1_000), ENQUEUED);
            },
        ),
        Case("region limit lowered", HOME, ENQUEUED, |o| {
            o.fill_slots(0);
            o.change(ConfigChange::SetRegionLimit(HOME, 4));
            cancel_oldest(o, 8);
        }),
        Case(
            "region limit lowered and slots freed",
            HOME,
            Outcome::SlotGranted,
            |o| {
                o.fill_slots(1);
                o.change(ConfigChange::SetRegionLimit(HOME, 4));
                cancel_oldest(o, 10);
            },
        ),
        Case("region limit raised", HOME, Outcome::SlotGranted, |o| {
            o.change(ConfigChange::SetRegionLimit(HOME, 4));
            assert_eq!(o.fill_slots(0), 4);
            o.change(ConfigChange::SetRegionLimit(HOME, 6));
            o.advance(10_000);
        }),
        Case("all endpoints leaving", HOME, NO_ENDPOINT, |o| {
            (0..8).for_each(|e| o.observe(e, EndpointObservation::Leaving));
        }),
        Case("one endpoint stays", HOME, Outcome::SlotGranted, |o| {
            drain_all_but(o, 2)
        }),
        Case("leaving by the VM list", HOME, NO_ENDPOINT, |o| {
            drain_all_but(o, 2);
            o.observe(2, EndpointObservation::VmList { leaving: true });
        }),
        Case("all endpoints suspect", HOME, Outcome::SlotGranted, |o| {
            (0..24).for_each(|i| o.observe(i / 3, EndpointObservation::Unresponsive));
        }),
        Case("entry fenced", HOME, NO_ENDPOINT, |o| {
            o.change(set_fenced(0))
        }),
        Case("owner lost, in quarantine", HOME, NO_ENDPOINT, |o| {
            take_over_lost_owner(o, 1_509)
        }),
        Case("quarantine over", HOME, Outcome::SlotGranted, |o| {
            take_over_lost_owner(o, 1_510)
        }),
        Case(
            "cross-region, confirmed",
            REMOTE,
            Outcome::SlotGranted,
            |o| o.confirm_config(1_900),
        ),
        Case(
            "cross-region, old confirmation",
            REMOTE,
            CROSS_REGION_LIMIT,
            |o| o.confirm_config(2_000),
        ),
        Case(
            "cross-region, other version confirmed",
            REMOTE,
            CROSS_REGION_LIMIT,
            |o| {
                o.admission
                    .confirm_config(o.now, o.config.version - 1, ms(0));
            },
        ),
        Case(
            "cross-region, start pace reached",
            REMOTE,
            CROSS_REGION_LIMIT,
            |o| {
                o.confirm_config(0);
                assert_eq!(
                    (o.read(REMOTE), o.read(REMOTE)),
                    (Outcome::SlotGranted, Outcome::SlotGranted)
                );
            },
        ),
        Case(
            "cross-region, limit reached",
            REMOTE,
            CROSS_REGION_LIMIT,
            |o| {
                for _ in 0..50 {
                    o.advance(250);
                    o.confirm_config(0);
                    while o.read(REMOTE) == Outcome::SlotGranted {}
                    while !o.permits.is_empty() {
                        o.finish_oldest(RequestResult::Answered { first_byte: ms(5) });
                    }
                }
                o.advance(1_010);
                (0..8).for_each(|_| assert_eq!(o.read(REMOTE), Outcome::SlotGranted));
            },
        ),
        Case(
            "cross-region, limit lowered to zero",
            REMOTE,
            CROSS_REGION_LIMIT,
            |o| {
                o.confirm_config(0);
                o.change(put_profile(profile(0, 1.0)));
            },
        ),
        Case(
            "cross-region limit does not apply to the home region",
            HOME,
            Outcome::SlotGranted,
            |o| {
                o.confirm_config(0);
                while o.read(REMOTE) == Outcome::SlotGranted {}
            },
        ),
    ];
    for Case(name, home, expected, events) in cases {
        let mut owner = TestOwner::new(100, profile(8, 0.25));
        events(&mut owner);
        assert_eq!(owner.read(home), expected, "{name}");
    }
}

/// Guards against dispatches by a process that does not know yet whether it is the owner, or while
/// requests of its predecessor may still run.
#[test]
fn restarted_owner_waits_before_dispatch() {
    let mut owner = TestOwner::new_restarted(100, profile(8, 1.0));
    owner.advance(20_000);
    assert_eq!(owner.read(HOME), NO_ENDPOINT);
    owner.confirm_config(30_000);
    assert_eq!(
        owner.read(HOME),
        NO_ENDPOINT,
        "the confirmation is older than the process"
    );
    owner.confirm_config(0);
    assert_eq!(
        (owner.read(HOME), owner.read(REMOTE)),
        (Outcome::SlotGranted, CROSS_REGION_LIMIT)
    );
    // After the endpoint's quarantine, the lost owner may still use its share at other endpoints.
    for (wait_ms, all) in [(1_000, false), (6_599, false), (6_600, true)] {
        let mut owner = TestOwner::new(12, profile(8, 1.0));
        owner.change(set_owner(
            EndpointId(2),
            Some(EntryId(0)),
            9,
            Takeover::Quarantine,
        ));
        owner.advance(wait_ms);
        assert_eq!(
            owner.fill_slots(0) + owner.fill_slots(1) == 12,
            all,
            "{wait_ms} ms after the takeover"
        );
    }
    for (limit, wait_ms, slots) in [
        (100, 1_509, 0),
        (100, 1_510, 12),
        (12, 6_599, 0),
        (12, 6_600, 12),
    ] {
        let mut owner = TestOwner::new_restarted(limit, profile(8, 1.0));
        owner.confirm_config(0);
        owner.advance(wait_ms);
        assert_eq!(owner.fill_slots(0), slots, "limit {limit}, {wait_ms} ms");
    }
}

/// Guards against queued requests that are dispatched after their expiry, dispatched in the wrong
/// order, or never answered.
#[test]
fn queue_order_and_expiry() {
    let mut owner = TestOwner::new(100, profile(8, 1.0));
    let expired = Outcome::Rejected(ErrorKind::DeadlineBeforeDispatch);
    assert_eq!(owner.request(0, Read, HOME, 0), expired);
    owner.fill_slots(0);
    owner.advance(400);
    assert_eq!(owner.take_action_names(), ["no-capacity"]);
    for (class, remaining_ms) in [
        (Read, 1_000),
        (Upload, 50),
        (AtMostOnce, 1_000),
        (Upload, 1_000),
    ] {
        assert_eq!(
            owner.request(0, class, HOME, remaining_ms),
            Outcome::Enqueued
        );
    }
    assert_eq!(owner.admission.next_expiry(), Some(owner.now + ms(50)));
    owner.advance(50);
    assert_eq!(owner.take_action_names(), ["deadline-before-dispatch"]);
    cancel_oldest(&mut owner, 1);
    assert_eq!(owner.take_action_names(), ["dispatch"]);
    owner.advance(350);
    // The at-most-once action got the slot. The read and the upload expired.
    assert_eq!(owner.take_action_names(), ["no-capacity", "no-capacity"]);
}

/// Guards against the release of an endpoint with running requests or open connections, against
/// drains that are not reported, and against the use of a released endpoint.
#[test]
fn drain_and_release() {
    let mut owner = TestOwner::new(100, profile(8, 1.0));
    drain_all_but(&mut owner, 2);
    owner.take_action_names();
    assert_eq!(owner.fill_slots(0), 3);
    let id = EndpointId(2);
    assert!((0..5).all(|_| owner.admission.reserve_connection(owner.now, id)));
    assert!(
        !owner.admission.reserve_connection(owner.now, id),
        "above max_connections"
    );
    owner.observe(2, EndpointObservation::Leaving);
    owner.advance(400);
    cancel_oldest(&mut owner, 3);
    assert_eq!(
        owner.take_action_names(),
        ["no-capacity", "drained 2 400ms"]
    );
    owner.change(ConfigChange::AddEntry(entry(9, FailureDomainId(0))));
    owner.change(set_leaving(0));
    assert!(
        owner.take_action_names().is_empty(),
        "no other active entry"
    );
    owner.observe(2, EndpointObservation::Healthy { load: 0.0 });
    (0..3).for_each(|_| assert_eq!(owner.read(HOME), Outcome::SlotGranted));
    owner.change(set_active(EntryId(1), 1));
    cancel_oldest(&mut owner, 3);
    let mut actions = owner.take_action_names();
    // The other endpoints of the service follow one at a time, each after the release of the
    // previous one has taken effect.
    for id in (0..5).flat_map(|_| (0..8).map(EndpointId)) {
        if actions.contains(&format!("close {id}")) {
            let close = |_| owner.admission.connection_closed(owner.now, id);
            owner.actions.extend((0..5).flat_map(close));
        }
        if actions.contains(&format!("release {id} 1")) {
            assert!(!owner.admission.reserve_connection(owner.now, id));
            let change = assign_preferred_owner(&owner.config, id, Takeover::Clean);
            owner.change(change);
        }
        actions.extend(owner.take_action_names());
    }
    let released = |i| {
        actions
            .iter()
            .filter(|a| **a == format!("release {i} 1"))
            .count()
    };
    assert!((0..8).all(|i| released(i) == 1), "{actions:?}");
    assert_eq!(owner.read(HOME), NO_ENDPOINT);
}

/// Guards against the use of a cross-region share that another owner may still use under the
/// previous configuration. The share that moves to an added endpoint takes effect after 5.11 s.
#[test]
fn moved_cross_region_share_waits() {
    // Of five equal endpoints, three have a share of 2. The added one is among them.
    for (wait_ms, admitted) in [(1_010, 6), (5_109, 6), (5_110, 8)] {
        let mut owner = TestOwner::new(100, profile(8, 1.0));
        let added = endpoint(8, 0, FailureDomainId(0));
        owner.change(ConfigChange::AddEndpoint(added));
        owner.change(set_owner(
            EndpointId(8),
            Some(EntryId(0)),
            1,
            Takeover::Clean,
        ));
        owner.advance(wait_ms);
        owner.confirm_config(0);
        let count = (0..10)
            .filter(|_| owner.read(REMOTE) == Outcome::SlotGranted)
            .count();
        assert_eq!(count, admitted, "{wait_ms} ms after the change");
    }
}

/// Guards against the release of an endpoint in quarantine, because the next owner does not wait.
#[test]
fn endpoint_is_not_released_during_quarantine() {
    let mut owner = TestOwner::new(100, profile(8, 1.0));
    owner.change(ConfigChange::AddEntry(entry(9, FailureDomainId(0))));
    for (id, entry, takeover) in [
        (0, 1, Takeover::Clean),
        (4, 1, Takeover::Clean),
        (6, 1, Takeover::Clean),
        (2, 0, Takeover::Quarantine),
    ] {
        owner.change(set_owner(EndpointId(id), Some(EntryId(entry)), 9, takeover));
    }
    owner.change(set_leaving(0));
    owner.change(set_active(EntryId(1), 1));
    owner.advance(1_509);
    let released = |o: &mut TestOwner| o.take_action_names().contains(&"release 2 9".to_string());
    assert!(!released(&mut owner));
    owner.advance(1);
    assert!(released(&mut owner));
}

/// Guards against endpoints that get their full fraction of the traffic although they fail or are
/// slow.
#[test]
fn failing_and_slow_endpoints_get_fewer_requests() {
    /// Name, results of the endpoints of service 0, maximum fraction of requests.
    struct Case(&'static str, [RequestResult; 4], f64);
    let good = RequestResult::Answered { first_byte: ms(5) };
    let slow = RequestResult::Answered {
        first_byte: ms(100),
    };
    let (failed, shed) = (RequestResult::Failed, RequestResult::Shed);
    // The last number is the maximum for the first endpoint.
    let cases = [
        Case("equal", [good; 4], 0.3),
        Case("fails fast", [failed, good, good, good], 0.07),
        Case("sheds", [shed, good, good, good], 0.07),
        Case("slow", [slow, good, good, good], 0.1),
        Case("all fail", [failed; 4], 0.7),
    ];
    for Case(name, results, max_fraction) in cases {
        let mut owner = TestOwner::new(100, profile(8, 1.0));
        let mut first_endpoint_requests = 0.0;
        for _ in 0..2_000 {
            owner.advance(10);
            while owner.permits.len() < 3 {
                assert_eq!(owner.read(HOME), Outcome::SlotGranted, "{name}");
                let permit = owner.permits.last().expect("a permit");
                first_endpoint_requests += f64::from(u8::from(permit.endpoint().0 == 0));
            }
            owner.finish_oldest(results[owner.permits[0].endpoint().index() / 2]);
        }
        assert!(
            first_endpoint_requests / 2_003.0 < max_fraction,
            "{name}: {first_endpoint_requests}"
        );
    }
}

/// Guards against the use of a raised limit while another owner may still use a share of a
/// configuration that this owner skipped.
#[test]
fn raised_limit_waits_after_skipped_versions() {
    for (skipped, wait_ms, raised) in [
        (0, 0, true),
        (1, 0, false),
        (1, 6_599, false),
        (1, 6_600, true),
    ] {
        let mut owner = TestOwner::new(12, profile(8, 1.0));
        owner.config.version += skipped;
        owner.change(ConfigChange::SetRegionLimit(HOME, 100));
        owner.advance(wait_ms);
        let used = owner.fill_slots(0) + owner.fill_slots(1);
        assert_eq!(used > 12, raised, "{skipped} skipped, {wait_ms} ms: {used}");
    }
}
