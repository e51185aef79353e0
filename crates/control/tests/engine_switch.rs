//! Tests of when an engine has to load a version, and of the gate's state meanwhile.

use std::time::{Duration, Instant};

use control::{EngineStatus, EngineSwitch, SwitchInput};
use expect_test::{Expect, expect};
use model::{FencingNumber, HostName, SwitchPermit, VersionDigest};

const OLD: VersionDigest = VersionDigest::from_bytes([1; 32]);
const NEW: VersionDigest = VersionDigest::from_bytes([2; 32]);
const PERMIT_TTL: Duration = Duration::from_secs(3);

const SERVING_OLD: EngineStatus = EngineStatus::Serving {
    version: OLD,
    loading: false,
};

fn input(engine: EngineStatus) -> SwitchInput {
    SwitchInput {
        engine,
        wanted: Some(NEW),
        complete: Some(NEW),
        in_flight: 0,
        leaving: false,
    }
}

fn permit(version: VersionDigest, fencing: u64) -> SwitchPermit {
    SwitchPermit {
        host: HostName::new("h1").unwrap(),
        version,
        fencing: FencingNumber(fencing),
    }
}

/// Accepts `initial_permit` at the start, then compares the result of a step after the time `after` with
/// `expected`.
fn check(
    beside: bool,
    initial_permit: Option<SwitchPermit>,
    after: Duration,
    input: SwitchInput,
    expected: Expect,
) {
    let start = Instant::now();
    let mut switch = EngineSwitch::new(beside, PERMIT_TTL);
    if let Some(permit) = initial_permit {
        assert!(switch.accept_permit(permit, start));
    }
    let step = switch.step(start + after, &input);
    let load = step
        .load
        .map(|it| (it.version == NEW, it.fencing.0, it.beside));
    let serving = step.serving.map(|it| if it == NEW { "new" } else { "old" });
    let load = load.map_or("no load".to_string(), |(new, fencing, beside)| {
        format!("load new={new} fencing={fencing} beside={beside}")
    });
    let text = format!("{:?} {} {load}", step.gate, serving.unwrap_or("nothing"));
    expected.assert_eq(&text);
}

#[test]
fn loading_requires_a_permit_a_complete_version_and_no_requests() {
    let soon = Duration::from_secs(1);
    check(
        false,
        None,
        soon,
        input(SERVING_OLD),
        expect!["Open old no load"],
    );
    let new_permit = || Some(permit(NEW, 7));
    check(
        false,
        new_permit(),
        soon,
        input(SERVING_OLD),
        expect!["Switching old load new=true fencing=7 beside=false"],
    );
    let with_requests = SwitchInput {
        in_flight: 2,
        ..input(SERVING_OLD)
    };
    check(
        false,
        new_permit(),
        soon,
        with_requests,
        expect!["Switching old no load"],
    );
    let incomplete = SwitchInput {
        complete: None,
        ..input(SERVING_OLD)
    };
    check(
        false,
        new_permit(),
        soon,
        incomplete,
        expect!["Open old no load"],
    );
    check(
        false,
        new_permit(),
        soon,
        input(EngineStatus::Loading),
        expect!["Switching nothing no load"],
    );
    check(
        false,
        new_permit(),
        soon,
        input(EngineStatus::Idle),
        expect!["Switching nothing load new=true fencing=7 beside=false"],
    );
    check(
        false,
        new_permit(),
        soon,
        input(EngineStatus::Unreachable),
        expect!["Starting nothing no load"],
    );
}

#[test]
fn stale_permits_are_ignored() {
    // The process was paused after it received the permit; another driver may hold the lease now.
    let late = PERMIT_TTL + Duration::from_millis(1);
    check(
        false,
        Some(permit(NEW, 7)),
        late,
        input(SERVING_OLD),
        expect!["Open old no load"],
    );
    // A permit for a superseded version.
    check(
        false,
        Some(permit(OLD, 7)),
        Duration::ZERO,
        input(EngineStatus::Idle),
        expect!["Starting nothing no load"],
    );
    let start = Instant::now();
    let mut switch = EngineSwitch::new(false, PERMIT_TTL);
    assert!(switch.accept_permit(permit(NEW, 7), start));
    assert!(!switch.accept_permit(permit(NEW, 6), start));
    // The engine has seen a newer driver's fencing number, which invalidates the permit.
    assert!(switch.observe_fencing(FencingNumber(8)));
    assert_eq!(switch.step(start, &input(SERVING_OLD)).load, None);
}

#[test]
fn an_engine_that_loads_beside_keeps_serving() {
    let with_requests = SwitchInput {
        in_flight: 3,
        ..input(SERVING_OLD)
    };
    check(
        true,
        Some(permit(NEW, 7)),
        Duration::ZERO,
        with_requests,
        expect!["Open old load new=true fencing=7 beside=true"],
    );
    let loading = EngineStatus::Serving {
        version: OLD,
        loading: true,
    };
    check(
        true,
        Some(permit(NEW, 7)),
        Duration::ZERO,
        input(loading),
        expect!["Open old no load"],
    );
    check(
        true,
        Some(permit(NEW, 7)),
        Duration::ZERO,
        input(EngineStatus::Idle),
        expect!["Switching nothing load new=true fencing=7 beside=false"],
    );
}

#[test]
fn a_leaving_host_admits_no_requests_and_loads_nothing() {
    let leaving = SwitchInput {
        leaving: true,
        ..input(SERVING_OLD)
    };
    check(
        false,
        Some(permit(NEW, 7)),
        Duration::ZERO,
        leaving,
        expect!["Leaving old no load"],
    );
}

#[test]
fn a_failed_load_is_retried_after_a_delay() {
    let start = Instant::now();
    let mut switch = EngineSwitch::new(false, PERMIT_TTL);
    let mut load_steps = Vec::new();
    for step in 0..30 {
        let now = start + Duration::from_millis(100) * step;
        assert!(switch.accept_permit(permit(NEW, 7), now));
        if switch.step(now, &input(EngineStatus::Idle)).load.is_some() {
            load_steps.push(step);
        }
    }
    expect!["[0, 10, 20]"].assert_eq(&format!("{load_steps:?}"));
}
