use crate::fixture::*;
use crate::test_owner::{Got, Owner};
use mangospindle_model::RequestClass::{AtMostOnce, Read, Upload};
use mangospindle_model::*;
use mangospindle_quota::*;
use mangospindle_state::{ConfigChange, Takeover};

const FULL: Got = Got::Queue;
const NONE: Got = Got::No(ErrorKind::NoEndpoint);
const CROSS: Got = Got::No(ErrorKind::CrossRegionLimit);

fn drain_all_but(owner: &mut Owner, kept: u32) {
    (0..8)
        .filter(|e| *e != kept)
        .for_each(|e| owner.change(set_drain(e, true)));
}

fn lose_and_wait(owner: &mut Owner, wait: u64) {
    drain_all_but(owner, 2);
    owner.change(set_owner(
        EndpointId(2),
        Some(EntryId(0)),
        9,
        Takeover::Quarantine,
    ));
    owner.advance(wait);
}

fn finish(owner: &mut Owner, count: usize) {
    (0..count).for_each(|_| owner.finish(RequestResult::Cancelled));
}

/// Guards against a decision that ignores one of the limits or states; each case ends with one
/// read.
#[test]
fn decision_after_events() {
    struct Case(&'static str, RegionId, Got, fn(&mut Owner));
    let cases = [
        Case("idle", HOME, Got::Slot, |_| {}),
        Case("all slots in use", HOME, FULL, |o| {
            assert_eq!(o.fill(0), 12)
        }),
        Case("queue full", HOME, Got::No(ErrorKind::NoCapacity), |o| {
            o.fill(0);
            (0..47).for_each(|_| assert_eq!(o.read(HOME), FULL));
        }),
        Case("writes wait", HOME, Got::No(ErrorKind::Shed), |o| {
            o.fill(0);
            (0..47).for_each(|_| assert_eq!(o.read(HOME), FULL));
            assert_eq!(o.request(0, AtMostOnce, HOME, 1_000), FULL);
        }),
        Case("region limit lowered", HOME, FULL, |o| {
            o.fill(0);
            o.change(ConfigChange::SetRegionLimit(HOME, 4));
            finish(o, 8);
        }),
        Case(
            "region limit lowered and slots freed",
            HOME,
            Got::Slot,
            |o| {
                o.fill(1);
                o.change(ConfigChange::SetRegionLimit(HOME, 4));
                finish(o, 10);
            },
        ),
        Case("region limit raised", HOME, Got::Slot, |o| {
            o.change(ConfigChange::SetRegionLimit(HOME, 4));
            assert_eq!(o.fill(0), 4);
            o.change(ConfigChange::SetRegionLimit(HOME, 6));
            o.advance(10_000);
        }),
        Case("all leave", HOME, NONE, |o| {
            (0..8).for_each(|e| o.observe(e, EndpointObservation::Leaving));
        }),
        Case("one stays", HOME, Got::Slot, |o| drain_all_but(o, 2)),
        Case("VM list", HOME, NONE, |o| {
            drain_all_but(o, 2);
            o.observe(2, EndpointObservation::VmList { leaving: true });
        }),
        Case("all suspect", HOME, Got::Slot, |o| {
            (0..24).for_each(|i| o.observe(i / 3, EndpointObservation::Unresponsive));
        }),
        Case("fenced", HOME, NONE, |o| o.change(set_fenced(0))),
        Case("lost owner", HOME, NONE, |o| lose_and_wait(o, 1_509)),
        Case("quarantine over", HOME, Got::Slot, |o| {
            lose_and_wait(o, 1_510)
        }),
        Case("cross-region, confirmed", REMOTE, Got::Slot, |o| {
            o.confirm_config(1_900)
        }),
        Case("cross-region, old confirmation", REMOTE, CROSS, |o| {
            o.confirm_config(2_000)
        }),
        Case(
            "cross-region, other version confirmed",
            REMOTE,
            CROSS,
            |o| {
                o.admission
                    .confirm_config(o.now, o.config.version - 1, ms(0));
            },
        ),
        Case("cross-region, pace at the start", REMOTE, CROSS, |o| {
            o.confirm_config(0);
            assert_eq!((o.read(REMOTE), o.read(REMOTE)), (Got::Slot, Got::Slot));
        }),
        Case("cross-region, limit", REMOTE, CROSS, |o| {
            for _ in 0..50 {
                o.advance(250);
                o.confirm_config(0);
                while o.read(REMOTE) == Got::Slot {}
                while !o.permits.is_empty() {
                    o.finish(RequestResult::Answered { first_byte: ms(5) });
                }
            }
            o.advance(1_010);
            (0..8).for_each(|_| assert_eq!(o.read(REMOTE), Got::Slot));
        }),
        Case("cross-region, limit lowered to zero", REMOTE, CROSS, |o| {
            o.confirm_config(0);
            o.change(put_profile(profile(0, 1.0)));
        }),
        Case("cross-region, home requests go on", HOME, Got::Slot, |o| {
            o.confirm_config(0);
            while o.read(REMOTE) == Got::Slot {}
        }),
    ];
    for Case(name, home, got, events) in cases {
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
    owner.confirm_config(30_000);
    assert_eq!(
        owner.read(HOME),
        NONE,
        "confirmed before the start of the process"
    );
    owner.confirm_config(0);
    assert_eq!((owner.read(HOME), owner.read(REMOTE)), (Got::Slot, CROSS));
    // The lost owner may use the endpoint's share elsewhere after the endpoint's quarantine.
    for (wait, all) in [(1_000, false), (6_599, false), (6_600, true)] {
        let mut owner = Owner::new(12, profile(8, 1.0));
        owner.change(set_owner(
            EndpointId(2),
            Some(EntryId(0)),
            9,
            Takeover::Quarantine,
        ));
        owner.advance(wait);
        assert_eq!(
            owner.fill(0) + owner.fill(1) == 12,
            all,
            "{wait} ms after the takeover"
        );
    }
    for (limit, wait, slots) in [
        (100, 1_509, 0),
        (100, 1_510, 12),
        (12, 6_599, 0),
        (12, 6_600, 12),
    ] {
        let mut owner = Owner::restarted(limit, profile(8, 1.0));
        owner.confirm_config(0);
        owner.advance(wait);
        assert_eq!(owner.fill(0), slots, "limit {limit}, {wait} ms");
    }
}

/// Guards against requests that are started late, in the wrong order, or forgotten.
#[test]
fn queue_order_and_expiry() {
    let mut owner = Owner::new(100, profile(8, 1.0));
    let late = Got::No(ErrorKind::DeadlineBeforeDispatch);
    assert_eq!(owner.request(0, Read, HOME, 0), late);
    owner.fill(0);
    owner.advance(400);
    assert_eq!(owner.take_actions(), ["no-capacity"]);
    for (class, left) in [
        (Read, 1_000),
        (Upload, 50),
        (AtMostOnce, 1_000),
        (Upload, 1_000),
    ] {
        assert_eq!(owner.request(0, class, HOME, left), Got::Queue);
    }
    assert_eq!(owner.admission.next_expiry(), Some(owner.now + ms(50)));
    owner.advance(50);
    assert_eq!(owner.take_actions(), ["deadline-before-dispatch"]);
    finish(&mut owner, 1);
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
    assert_eq!(owner.fill(0), 3);
    let id = EndpointId(2);
    assert!((0..5).all(|_| owner.admission.reserve_connection(owner.now, id)));
    assert!(
        !owner.admission.reserve_connection(owner.now, id),
        "above max_connections"
    );
    owner.observe(2, EndpointObservation::Leaving);
    owner.advance(400);
    finish(&mut owner, 3);
    assert_eq!(owner.take_actions(), ["no-capacity", "drained 2 400ms"]);
    owner.change(ConfigChange::AddEntry(entry(9, FailureDomainId(0))));
    owner.change(set_leaving(0));
    assert!(owner.take_actions().is_empty(), "no other active entry");
    owner.observe(2, EndpointObservation::Healthy { load: 0.0 });
    (0..3).for_each(|_| assert_eq!(owner.read(HOME), Got::Slot));
    owner.change(set_active(EntryId(1), 1));
    finish(&mut owner, 3);
    let mut actions = owner.take_actions();
    // The service's other endpoints follow one at a time, after the release is in force.
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
        actions.extend(owner.take_actions());
    }
    let released = |i| {
        actions
            .iter()
            .filter(|a| **a == format!("release {i} 1"))
            .count()
    };
    assert!((0..8).all(|i| released(i) == 1), "{actions:?}");
    assert_eq!(owner.read(HOME), NONE);
}

/// Guards against the use of a cross-region share that another owner may still use under the
/// configuration before: the share that moves to an added endpoint counts 5.11 s later.
#[test]
fn moved_cross_region_share_waits() {
    // Of five equal endpoints, three have a share of 2, among them the added one.
    for (wait, admitted) in [(1_010, 6), (5_109, 6), (5_110, 8)] {
        let mut owner = Owner::new(100, profile(8, 1.0));
        let added = endpoint(8, 0, FailureDomainId(0));
        owner.change(ConfigChange::AddEndpoint(added));
        owner.change(set_owner(
            EndpointId(8),
            Some(EntryId(0)),
            1,
            Takeover::Clean,
        ));
        owner.advance(wait);
        owner.confirm_config(0);
        let count = (0..10).filter(|_| owner.read(REMOTE) == Got::Slot).count();
        assert_eq!(count, admitted, "{wait} ms after the change");
    }
}

/// Guards against passing on an endpoint in quarantine to an owner that does not wait.
#[test]
fn quarantine_is_not_released() {
    let mut owner = Owner::new(100, profile(8, 1.0));
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
    let released = |o: &mut Owner| o.take_actions().contains(&"release 2 9".to_string());
    assert!(!released(&mut owner));
    owner.advance(1);
    assert!(released(&mut owner));
}

/// Guards against endpoints that attract traffic although they fail or are slow.
#[test]
fn bad_endpoints_get_less() {
    struct Case(&'static str, [RequestResult; 4], f64);
    let good = RequestResult::Answered { first_byte: ms(5) };
    let slow = RequestResult::Answered {
        first_byte: ms(100),
    };
    let (failed, shed) = (RequestResult::Failed, RequestResult::Shed);
    // The last number is the largest share of the first endpoint.
    let cases = [
        Case("equal", [good; 4], 0.3),
        Case("fails fast", [failed, good, good, good], 0.07),
        Case("sheds", [shed, good, good, good], 0.07),
        Case("slow", [slow, good, good, good], 0.1),
        Case("all fail", [failed; 4], 0.7),
    ];
    for Case(name, results, most) in cases {
        let mut owner = Owner::new(100, profile(8, 1.0));
        let mut first = 0.0;
        for _ in 0..2_000 {
            owner.advance(10);
            while owner.permits.len() < 3 {
                assert_eq!(owner.read(HOME), Got::Slot, "{name}");
                let permit = owner.permits.last().expect("a permit");
                first += f64::from(u8::from(permit.endpoint().0 == 0));
            }
            owner.finish(results[owner.permits[0].endpoint().index() / 2]);
        }
        assert!(first / 2_003.0 < most, "{name}: {first}");
    }
}

/// Guards against the use of a raised limit while another owner may still use a share of a
/// configuration that this owner never saw.
#[test]
fn raised_limit_waits_after_skipped_versions() {
    for (skipped, wait, raised) in [
        (0, 0, true),
        (1, 0, false),
        (1, 6_599, false),
        (1, 6_600, true),
    ] {
        let mut owner = Owner::new(12, profile(8, 1.0));
        owner.config.version += skipped;
        owner.change(ConfigChange::SetRegionLimit(HOME, 100));
        owner.advance(wait);
        let used = owner.fill(0) + owner.fill(1);
        assert_eq!(used > 12, raised, "{skipped} skipped, {wait} ms: {used}");
    }
}
