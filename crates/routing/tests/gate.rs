//! Compares the admission gate with a reference implementation that never drops records.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use model::{AttemptId, GateState, Incarnation, ResultCode, VersionDigest};
use routing::{AdmissionGate, AdmissionRequest, CallKind, RevokeReply};
use support::{attempt, with_fixed_seeds};

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
    let mut gate = AdmissionGate::new(Incarnation(1), limit);
    gate.set_state(GateState::Open, Some(digest(1)));
    gate
}

fn digest(byte: u8) -> VersionDigest {
    VersionDigest::from_bytes([byte; 32])
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum AttemptState {
    Running,
    Finished,
    Revoked,
}

#[test]
fn agrees_with_a_reference_gate() {
    with_fixed_seeds(|u| {
        let mut now_ms = 1_000_000u64;
        let mut gate = open_gate(3);
        let mut states: BTreeMap<AttemptId, AttemptState> = BTreeMap::new();
        let mut is_leaving = false;
        while !u.is_empty() {
            let id = attempt(
                1_000_000 + 40_000 * u.int_in_range(0..=20u64)?,
                u.int_in_range(0..=3u128)?,
            );
            let now = Duration::from_millis(now_ms);
            let running = states
                .values()
                .filter(|it| **it == AttemptState::Running)
                .count();
            let in_window = id.created() + Duration::from_secs(300) >= now
                && id.created() <= now + Duration::from_secs(60);
            match u.int_in_range(0..=7u8)? {
                0..=2 => {
                    let is_admitted = gate.admit(now, &request(id, CallKind::Order)).is_ok();
                    let expect =
                        in_window && !is_leaving && running < 3 && !states.contains_key(&id);
                    assert_eq!(is_admitted, expect);
                    if is_admitted {
                        states.insert(id, AttemptState::Running);
                    }
                }
                3 | 4 => {
                    gate.finish(id, CallKind::Order);
                    if let Some(state) = states
                        .get_mut(&id)
                        .filter(|it| **it == AttemptState::Running)
                    {
                        *state = AttemptState::Finished;
                    }
                }
                5 => {
                    let reply = gate.revoke(now, id, Incarnation(1));
                    let state = *states.entry(id).or_insert(AttemptState::Revoked);
                    let expect = match state {
                        AttemptState::Running => RevokeReply::Running,
                        AttemptState::Finished => RevokeReply::Finished,
                        AttemptState::Revoked => RevokeReply::Revoked,
                    };
                    assert!(reply == expect || reply == RevokeReply::Unproven && !in_window);
                }
                6 => now_ms += u.int_in_range(0..=30_000u64)?,
                _ if u.ratio(1, 30)? => {
                    is_leaving = true;
                    gate.set_state(GateState::Leaving, None);
                    gate.set_state(GateState::Open, None);
                }
                _ => {}
            }
            let running = states
                .values()
                .filter(|it| **it == AttemptState::Running)
                .count();
            assert_eq!(gate.in_flight() as usize, running);
            assert_eq!(gate.is_drained(), is_leaving && running == 0);
        }
        Ok(())
    });
}

#[test]
fn refuses_with_the_matching_code() {
    let now = Duration::from_secs(1_000);
    let base = request(attempt(1_000_000, 1), CallKind::Completion);
    let check = |state: GateState, request: AdmissionRequest, expect: Option<ResultCode>| {
        let mut gate = open_gate(1);
        gate.set_state(state, Some(digest(1)));
        let code = gate.admit(now, &request).err().map(|it| it.code);
        assert_eq!(code, expect);
    };
    let other_incarnation = AdmissionRequest {
        incarnation: Some(Incarnation(2)),
        ..base
    };
    let deadline_passed = AdmissionRequest {
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
    check(
        GateState::Open,
        other_incarnation,
        Some(ResultCode::NotReady),
    );
    check(
        GateState::Open,
        deadline_passed,
        Some(ResultCode::DeadlineNotRun),
    );
    check(GateState::Open, too_old, Some(ResultCode::DeadlineNotRun));
    check(GateState::Starting, base, Some(ResultCode::NotReady));
    check(GateState::Switching, base, Some(ResultCode::NotReady));
    check(GateState::Leaving, base, Some(ResultCode::Leaving));
}

#[test]
fn a_restarted_gate_neither_revokes_nor_admits_attempts_for_its_predecessor() {
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
fn the_attempt_table_is_bounded_and_never_evicts_early() {
    let mut gate = open_gate(u32::MAX);
    let now = Duration::from_secs(1_000);
    let id = |it: u128| attempt(1_000_000, it);
    for it in 0..70_000 {
        if gate.admit(now, &request(id(it), CallKind::Order)).is_ok() {
            gate.finish(id(it), CallKind::Order);
        }
    }
    assert_eq!(gate.tracked_attempts(), 65_536);
    assert_eq!(
        gate.revoke(now, id(0), Incarnation(1)),
        RevokeReply::Finished
    );
    assert_eq!(
        gate.revoke(now, id(69_999), Incarnation(1)),
        RevokeReply::Unproven
    );

    let later = Duration::from_secs(1_301);
    assert!(
        gate.admit(later, &request(attempt(1_301_000, 1), CallKind::Order))
            .is_ok()
    );
    assert_eq!(gate.tracked_attempts(), 1);
}

/// Guards against an order that runs although its revocation was confirmed: the gate forgets the attempt, and then the time of
/// day of its host is set back.
#[test]
fn a_forgotten_attempt_is_not_admitted_after_the_clock_is_set_back() {
    let mut gate = open_gate(1);
    let (revoked, finished) = (attempt(1_000_000, 1), attempt(1_000_000, 2));
    let now = Duration::from_secs(1_000);
    assert_eq!(
        gate.revoke(now, revoked, Incarnation(1)),
        RevokeReply::Revoked
    );
    assert!(gate.admit(now, &request(finished, CallKind::Order)).is_ok());
    gate.finish(finished, CallKind::Order);

    let forgotten_at = Duration::from_secs(1_301);
    let other = attempt(1_301_000, 3);
    assert!(
        gate.admit(forgotten_at, &request(other, CallKind::Order))
            .is_ok()
    );
    gate.finish(other, CallKind::Order);
    assert_eq!(gate.tracked_attempts(), 1);

    let set_back = Duration::from_secs(1_250);
    for id in [revoked, finished] {
        let refusal = gate.admit(set_back, &request(id, CallKind::Order)).err();
        assert_eq!(refusal.map(|it| it.code), Some(ResultCode::DeadlineNotRun));
        assert_eq!(
            gate.revoke(set_back, id, Incarnation(1)),
            RevokeReply::Unproven
        );
    }
    let new = attempt(1_250_000, 4);
    assert!(gate.admit(set_back, &request(new, CallKind::Order)).is_ok());
}
