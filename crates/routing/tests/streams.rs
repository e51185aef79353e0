//! Stream failover with replicas that may be lost or silent at any token.

mod support;

use model::{AttemptId, ResultCode, VersionDigest};
use routing::{RecoveryAction, ResumableStream, SilenceAction, TokenAction};
use support::with_fixed_seeds;

fn version(byte: u8) -> VersionDigest {
    VersionDigest::from_bytes([byte; 32])
}

/// Replica that sends the tokens of its version from `next` on, and may duplicate or skip one.
struct Replica {
    id: AttemptId,
    version: VersionDigest,
    next: u64,
}

const TOKENS: u64 = 12;

#[test]
fn each_token_is_delivered_once_and_of_one_version() {
    with_fixed_seeds(|u| {
        let mut stream = ResumableStream::default();
        let mut replicas = vec![Replica {
            id: AttemptId(0),
            version: version(1),
            next: 0,
        }];
        stream.on_attempt_started(AttemptId(0));
        let mut delivered: Vec<(VersionDigest, u64)> = Vec::new();
        let mut abort_code = None;
        while !u.is_empty() && abort_code.is_none() && !stream.is_finished() {
            let idx = u.choose_index(replicas.len())?;
            let mut is_lost = u.ratio(1, 6)?;
            // Abandoned replicas go on sending, but their loss has no effect.
            let was_accepted = stream.accepts(replicas[idx].id);
            let replica = &mut replicas[idx];
            if !is_lost && replica.next < TOKENS {
                replica.next += u64::from(u.ratio(1, 20)?);
                let index = replica.next - u64::from(replica.next > 0 && u.ratio(1, 10)?);
                replica.next = index + 1;
                let last = index + 1 == TOKENS;
                match stream.on_token(replica.id, index, replica.version, last) {
                    TokenAction::Deliver => {
                        delivered.push((replica.version, index));
                        let accepted = replicas.iter().filter(|it| stream.accepts(it.id));
                        assert!(accepted.map(|it| it.id).eq([replicas[idx].id]));
                    }
                    TokenAction::Drop => {}
                    TokenAction::Reject => is_lost = true,
                }
            }
            let id = AttemptId(replicas.len() as u128);
            if !is_lost && u.ratio(1, 6)? {
                if let SilenceAction::TakeOver { from, version } =
                    stream.on_silence(|_| true, || true)
                {
                    replicas.push(Replica {
                        id,
                        version,
                        next: from,
                    });
                    stream.on_attempt_started(id);
                }
            } else if is_lost && was_accepted {
                let has_replica = u.ratio(9, 10)?;
                let is_last = !replicas
                    .iter()
                    .any(|it| it.id != replicas[idx].id && stream.accepts(it.id));
                let action = stream.on_replica_lost(replicas[idx].id, |_| has_replica, true);
                assert_eq!(action == RecoveryAction::Wait, !is_last);
                match action {
                    RecoveryAction::Wait => continue,
                    RecoveryAction::Resume { from, version } => {
                        replicas.push(Replica {
                            id,
                            version,
                            next: from,
                        });
                    }
                    RecoveryAction::Restart => {
                        let version = version(u.int_in_range(1..=2)?);
                        replicas.push(Replica {
                            id,
                            version,
                            next: 0,
                        });
                    }
                    RecoveryAction::Finish => unreachable!("the loop ends with the last token"),
                    RecoveryAction::Abort(code) => abort_code = Some(code),
                }
                stream.on_attempt_started(id);
            }
        }
        let expect: Vec<_> = (0..delivered.len() as u64)
            .map(|it| (delivered[0].0, it))
            .collect();
        assert_eq!(delivered, expect);
        if stream.is_finished() {
            assert_eq!(delivered.len() as u64, TOKENS);
            let lost = replicas[0].id;
            assert_eq!(
                stream.on_replica_lost(lost, |_| false, false),
                RecoveryAction::Finish
            );
        }
        Ok(())
    });
}

#[test]
fn recovers_according_to_progress_deadline_and_replicas() {
    let check = |tokens: u64, has_replica: bool, in_time: bool, expect: RecoveryAction| {
        let mut stream = ResumableStream::default();
        stream.on_attempt_started(AttemptId(1));
        for index in 0..tokens {
            stream.on_token(AttemptId(1), index, version(1), index == 2);
        }
        let action = stream.on_replica_lost(AttemptId(1), |_| has_replica, in_time);
        assert_eq!(action, expect);
    };
    check(0, true, true, RecoveryAction::Restart);
    check(
        0,
        false,
        true,
        RecoveryAction::Abort(ResultCode::TargetLost),
    );
    check(
        0,
        true,
        false,
        RecoveryAction::Abort(ResultCode::DeadlineUnknown),
    );
    check(
        2,
        true,
        true,
        RecoveryAction::Resume {
            from: 2,
            version: version(1),
        },
    );
    check(2, false, true, RecoveryAction::Abort(ResultCode::StreamCut));
    check(
        2,
        true,
        false,
        RecoveryAction::Abort(ResultCode::DeadlineCut),
    );
    check(3, false, false, RecoveryAction::Finish);
}

/// Guards against streams that are given up because all of their replicas are silent, and against retries that are taken
/// from the budget although no attempt starts.
#[test]
fn silence_starts_a_takeover_or_waits() {
    let check = |attempts: u128, tokens: u64, has_replica: bool, retries: u32, expect| {
        let mut stream = ResumableStream::default();
        stream.pin_version(version(1));
        stream.on_attempt_started(AttemptId(0));
        for index in 0..tokens {
            stream.on_token(AttemptId(0), index, version(1), index == 2);
        }
        (1..attempts).for_each(|it| stream.on_attempt_started(AttemptId(it)));
        let mut retries_left = retries;
        let try_acquire_retry = || {
            let is_acquired = retries_left > 0;
            retries_left = retries_left.saturating_sub(1);
            is_acquired
        };
        let action = stream.on_silence(|_| has_replica, try_acquire_retry);
        assert_eq!((action, retries - retries_left), expect);
        assert!((0..attempts).all(|it| stream.accepts(AttemptId(it))));
    };
    let take_over = |from| SilenceAction::TakeOver {
        from,
        version: version(1),
    };
    check(1, 0, true, 1, (take_over(0), 0));
    check(1, 2, true, 0, (take_over(2), 0));
    check(1, 2, false, 1, (SilenceAction::Wait, 0));
    check(2, 2, true, 1, (take_over(2), 1));
    check(2, 2, true, 0, (SilenceAction::Wait, 0));
    check(2, 2, false, 1, (SilenceAction::Wait, 0));
    check(3, 2, true, 1, (SilenceAction::Wait, 0));
    check(1, 3, true, 1, (SilenceAction::Finish, 0));
    check(1, 3, false, 0, (SilenceAction::Finish, 0));
}

/// Guards against tokens of two attempts in one stream, and against streams that end with one of their attempts.
#[test]
fn the_first_attempt_to_send_the_next_token_is_kept() {
    let check = |events: &[(u128, u64, TokenAction)]| {
        let mut stream = ResumableStream::default();
        stream.pin_version(version(1));
        stream.on_attempt_started(AttemptId(1));
        let first = stream.on_token(AttemptId(1), 0, version(1), false);
        assert_eq!(first, TokenAction::Deliver);
        stream.on_attempt_started(AttemptId(2));
        for (attempt, index, expect) in events {
            let action = stream.on_token(AttemptId(*attempt), *index, version(1), false);
            assert_eq!(action, *expect, "{events:?}");
        }
    };
    let (deliver, drop, reject) = (TokenAction::Deliver, TokenAction::Drop, TokenAction::Reject);
    check(&[(1, 1, deliver), (2, 1, drop), (2, 2, drop), (1, 2, deliver)]);
    check(&[(2, 1, deliver), (1, 1, drop), (1, 2, drop), (2, 2, deliver)]);
    check(&[(2, 0, drop), (1, 1, deliver), (2, 1, drop)]);
    check(&[(2, 2, reject), (2, 1, drop), (1, 1, deliver)]);

    let mut stream = ResumableStream::default();
    stream.pin_version(version(1));
    stream.on_attempt_started(AttemptId(1));
    stream.on_attempt_started(AttemptId(2));
    let resume = RecoveryAction::Resume {
        from: 0,
        version: version(1),
    };
    let action = stream.on_replica_lost(AttemptId(1), |_| true, true);
    assert_eq!(action, RecoveryAction::Wait);
    let action = stream.on_replica_lost(AttemptId(2), |_| true, true);
    assert_eq!(action, resume);
}
