//! Stream failover with replicas that may be lost at any token.

mod support;

use model::{AttemptId, ResultCode, VersionDigest};
use routing::{RecoveryAction, ResumableStream, TokenAction};
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
            let replica = &mut replicas[idx];
            if !is_lost && replica.next < TOKENS {
                replica.next += u64::from(u.ratio(1, 20)?);
                let index = replica.next - u64::from(replica.next > 0 && u.ratio(1, 10)?);
                replica.next = index + 1;
                let last = index + 1 == TOKENS;
                match stream.on_token(replica.id, index, replica.version, last) {
                    TokenAction::Deliver => delivered.push((replica.version, index)),
                    TokenAction::Drop => {}
                    TokenAction::Reject => is_lost = true,
                }
            }
            // The loss of an abandoned replica has no effect.
            if is_lost && idx + 1 == replicas.len() {
                let has_replica = u.ratio(9, 10)?;
                let id = AttemptId(replicas.len() as u128);
                match stream.on_replica_lost(|_| has_replica, true) {
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
            assert_eq!(
                stream.on_replica_lost(|_| false, false),
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
        assert_eq!(stream.on_replica_lost(|_| has_replica, in_time), expect);
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
