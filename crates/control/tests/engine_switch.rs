//! When an engine is told to load, and what the gate shows meanwhile.

use std::time::{Duration, Instant};

use control::{EngineStatus, EngineSwitch, SwitchInput};
use expect_test::{Expect, expect};
use model::{FencingNumber, HostName, SwitchPermit, VersionDigest};

const OLD: VersionDigest = VersionDigest::from_bytes([1; 32]);
const NEW: VersionDigest = VersionDigest::from_bytes([2; 32]);
const PERMIT_TIME: Duration = Duration::from_secs(3);

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

/// Gives a permit at time zero, then shows the step at `after`.
fn check(
    beside: bool,
    given: Option<SwitchPermit>,
    after: Duration,
    input: SwitchInput,
    expected: Expect,
) {
    let start = Instant::now();
    let mut switch = EngineSwitch::new(beside, PERMIT_TIME);
    if let Some(permit) = given {
        assert!(switch.accept_permit(permit, start));
    }
    let step = switch.step(start + after, &input);
    let order = step
        .load
        .map(|it| (it.version == NEW, it.fencing.0, it.beside));
    let serving = step.serving.map(|it| if it == NEW { "new" } else { "old" });
    let order = order.map_or("no order".to_string(), |(new, fencing, beside)| {
        format!("order new={new} fencing={fencing} beside={beside}")
    });
    let text = format!("{:?} {} {order}", step.gate, serving.unwrap_or("nothing"));
    expected.assert_eq(&text);
}

#[test]
fn orders_need_a_permit_a_complete_version_and_a_drained_gate() {
    let soon = Duration::from_secs(1);
    check(
        false,
        None,
        soon,
        input(SERVING_OLD),
        expect!["Open old no order"],
    );
    let given = || Some(permit(NEW, 7));
    check(
        false,
        given(),
        soon,
        input(SERVING_OLD),
        expect!["Switching old order new=true fencing=7 beside=false"],
    );
    let busy = SwitchInput {
        in_flight: 2,
        ..input(SERVING_OLD)
    };
    check(
        false,
        given(),
        soon,
        busy,
        expect!["Switching old no order"],
    );
    let partial = SwitchInput {
        complete: None,
        ..input(SERVING_OLD)
    };
    check(false, given(), soon, partial, expect!["Open old no order"]);
    check(
        false,
        given(),
        soon,
        input(EngineStatus::Loading),
        expect!["Switching nothing no order"],
    );
    check(
        false,
        given(),
        soon,
        input(EngineStatus::Idle),
        expect!["Switching nothing order new=true fencing=7 beside=false"],
    );
    check(
        false,
        given(),
        soon,
        input(EngineStatus::Unreachable),
        expect!["Starting nothing no order"],
    );
}

#[test]
fn an_old_permit_is_not_acted_on() {
    // The process was paused after it had the permit; meanwhile another driver may hold the lease.
    let late = PERMIT_TIME + Duration::from_millis(1);
    check(
        false,
        Some(permit(NEW, 7)),
        late,
        input(SERVING_OLD),
        expect!["Open old no order"],
    );
    // A permit for a version that was superseded.
    check(
        false,
        Some(permit(OLD, 7)),
        Duration::ZERO,
        input(EngineStatus::Idle),
        expect!["Starting nothing no order"],
    );
    let start = Instant::now();
    let mut switch = EngineSwitch::new(false, PERMIT_TIME);
    assert!(switch.accept_permit(permit(NEW, 7), start));
    assert!(!switch.accept_permit(permit(NEW, 6), start));
    // The engine has seen a newer driver, so the permit in hand is void.
    assert!(switch.observe_fencing(FencingNumber(8)));
    assert_eq!(switch.step(start, &input(SERVING_OLD)).load, None);
}

#[test]
fn an_engine_that_loads_beside_keeps_serving() {
    let busy = SwitchInput {
        in_flight: 3,
        ..input(SERVING_OLD)
    };
    check(
        true,
        Some(permit(NEW, 7)),
        Duration::ZERO,
        busy,
        expect!["Open old order new=true fencing=7 beside=true"],
    );
    let loads = EngineStatus::Serving {
        version: OLD,
        loading: true,
    };
    check(
        true,
        Some(permit(NEW, 7)),
        Duration::ZERO,
        input(loads),
        expect!["Open old no order"],
    );
    check(
        true,
        Some(permit(NEW, 7)),
        Duration::ZERO,
        input(EngineStatus::Idle),
        expect!["Switching nothing order new=true fencing=7 beside=false"],
    );
}

#[test]
fn a_leaving_host_takes_no_work_and_loads_nothing() {
    let leaving = SwitchInput {
        leaving: true,
        ..input(SERVING_OLD)
    };
    check(
        false,
        Some(permit(NEW, 7)),
        Duration::ZERO,
        leaving,
        expect!["Leaving old no order"],
    );
}

#[test]
fn a_load_that_failed_is_ordered_again_after_a_pause() {
    let start = Instant::now();
    let mut switch = EngineSwitch::new(false, PERMIT_TIME);
    let mut orders = Vec::new();
    for step in 0..30 {
        let now = start + Duration::from_millis(100) * step;
        assert!(switch.accept_permit(permit(NEW, 7), now));
        if switch.step(now, &input(EngineStatus::Idle)).load.is_some() {
            orders.push(step);
        }
    }
    expect!["[0, 10, 20]"].assert_eq(&format!("{orders:?}"));
}
