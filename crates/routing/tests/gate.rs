//! The gate against a naive version that remembers everything.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use model::{AttemptId, GateState, Incarnation, ResultCode, VersionDigest};
use routing::{AdmissionGate, AdmissionRequest, CallKind, RevokeReply};
use support::{attempt, on_fixed_seeds};

fn request(attempt: AttemptId, kind: CallKind) -> AdmissionRequest {
    AdmissionRequest {
        attempt,
        kind,
        incarnation: Some(Incarnation(1)),
        version: None,
        time_remaining: Duration::from_secs(10),
    }
}

fn open_gate(limit: u32) -> AdmissionGate {
    let mut book = AdmissionGate::new(Incarnation(1), limit);
    book.set_state(GateState::Open, Some(digest(1)));
    book
}

fn digest(byte: u8) -> VersionDigest {
    VersionDigest::from_bytes([byte; 32])
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Fate {
    Running,
    Finished,
    Revoked,
}

#[test]
fn agrees_with_a_naive_gate() {
    on_fixed_seeds(|u| {
        let mut now_ms = 1_000_000u64;
        let mut book = open_gate(3);
        let mut fates: BTreeMap<AttemptId, Fate> = BTreeMap::new();
        let mut is_leaving = false;
        while !u.is_empty() {
            let id = attempt(
                1_000_000 + 40_000 * u.int_in_range(0..=20u64)?,
                u.int_in_range(0..=3u128)?,
            );
            let now = Duration::from_millis(now_ms);
            let running = fates.values().filter(|it| **it == Fate::Running).count();
            let in_window = id.created() + Duration::from_secs(300) >= now
                && id.created() <= now + Duration::from_secs(60);
            match u.int_in_range(0..=7u8)? {
                0..=2 => {
                    let is_admitted = book.admit(now, &request(id, CallKind::Order)).is_ok();
                    let expect =
                        in_window && !is_leaving && running < 3 && !fates.contains_key(&id);
                    assert_eq!(is_admitted, expect);
                    if is_admitted {
                        fates.insert(id, Fate::Running);
                    }
                }
                3 | 4 => {
                    book.finish(id, CallKind::Order);
                    if let Some(fate) = fates.get_mut(&id).filter(|it| **it == Fate::Running) {
                        *fate = Fate::Finished;
                    }
                }
                5 => {
                    let reply = book.revoke(now, id, Incarnation(1));
                    let fate = *fates.entry(id).or_insert(Fate::Revoked);
                    let expect = match fate {
                        Fate::Running => RevokeReply::Running,
                        Fate::Finished => RevokeReply::Finished,
                        Fate::Revoked => RevokeReply::Revoked,
                    };
                    assert!(reply == expect || reply == RevokeReply::Unproven && !in_window);
                }
                6 => now_ms += u.int_in_range(0..=30_000u64)?,
                _ if u.ratio(1, 30)? => {
                    is_leaving = true;
                    book.set_state(GateState::Leaving, None);
                    book.set_state(GateState::Open, None);
                }
                _ => {}
            }
            let running = fates.values().filter(|it| **it == Fate::Running).count();
            assert_eq!(book.in_flight() as usize, running);
            assert_eq!(book.is_drained(), is_leaving && running == 0);
        }
        Ok(())
    });
}

#[test]
fn refuses_with_the_reason() {
    let now = Duration::from_secs(1_000);
    let base = request(attempt(1_000_000, 1), CallKind::Completion);
    let check = |state: GateState, request: AdmissionRequest, expect: Option<ResultCode>| {
        let mut book = open_gate(1);
        book.set_state(state, Some(digest(1)));
        let code = book.admit(now, &request).err().map(|it| it.code);
        assert_eq!(code, expect);
    };
    let other_process = AdmissionRequest {
        incarnation: Some(Incarnation(2)),
        ..base
    };
    let no_time = AdmissionRequest {
        time_remaining: Duration::ZERO,
        ..base
    };
    let this_version = AdmissionRequest {
        version: Some(digest(1)),
        ..base
    };
    let other_version = AdmissionRequest {
        version: Some(digest(2)),
        ..base
    };
    let too_old = AdmissionRequest {
        attempt: attempt(600_000, 1),
        ..base
    };
    check(GateState::Open, base, None);
    check(GateState::Open, this_version, None);
    check(
        GateState::Open,
        other_version,
        Some(ResultCode::VersionMismatch),
    );
    check(GateState::Open, other_process, Some(ResultCode::NotReady));
    check(GateState::Open, no_time, Some(ResultCode::DeadlineNotRun));
    check(GateState::Open, too_old, Some(ResultCode::DeadlineNotRun));
    check(GateState::Starting, base, Some(ResultCode::NotReady));
    check(GateState::Switching, base, Some(ResultCode::NotReady));
    check(GateState::Leaving, base, Some(ResultCode::Leaving));
}

#[test]
fn a_restarted_gate_promises_and_runs_nothing_of_its_predecessor() {
    let now = Duration::from_secs(1_000);
    let id = attempt(1_000_000, 1);
    let mut before = open_gate(1);
    assert_eq!(before.revoke(now, id, Incarnation(1)), RevokeReply::Revoked);

    let mut after = AdmissionGate::new(Incarnation(2), 1);
    after.set_state(GateState::Open, None);
    assert_eq!(after.revoke(now, id, Incarnation(1)), RevokeReply::Unproven);
    let code = after
        .admit(now, &request(id, CallKind::Order))
        .err()
        .map(|it| it.code);
    assert_eq!(code, Some(ResultCode::NotReady));
}

#[test]
fn the_memory_is_bounded_and_never_forgets_early() {
    let mut book = open_gate(u32::MAX);
    let now = Duration::from_secs(1_000);
    let id = |it: u128| attempt(1_000_000, it);
    for it in 0..70_000 {
        if book.admit(now, &request(id(it), CallKind::Order)).is_ok() {
            book.finish(id(it), CallKind::Order);
        }
    }
    assert_eq!(book.tracked_attempts(), 65_536);
    assert_eq!(
        book.revoke(now, id(0), Incarnation(1)),
        RevokeReply::Finished
    );
    assert_eq!(
        book.revoke(now, id(69_999), Incarnation(1)),
        RevokeReply::Unproven
    );

    let later = Duration::from_secs(1_301);
    assert!(
        book.admit(later, &request(attempt(1_301_000, 1), CallKind::Order))
            .is_ok()
    );
    assert_eq!(book.tracked_attempts(), 1);
}
