//! Streams over replicas that die at any token, against the answer as the engine computes it.

mod support;

use model::{AttemptId, ResultCode, VersionDigest};
use routing::{RecoveryAction, ResumableStream, TokenAction};
use support::on_fixed_seeds;

fn version(byte: u8) -> VersionDigest {
    VersionDigest::from_bytes([byte; 32])
}

/// A replica that sends tokens `next..` of its version; it may double or skip one.
struct Replica {
    id: AttemptId,
    version: VersionDigest,
    next: u64,
}

const TOKENS: u64 = 12;

#[test]
fn the_caller_gets_each_token_once_and_of_one_version() {
    on_fixed_seeds(|u| {
        let mut resume = ResumableStream::default();
        let mut replicas = vec![Replica {
            id: AttemptId(0),
            version: version(1),
            next: 0,
        }];
        resume.on_attempt_started(AttemptId(0));
        let mut delivered: Vec<(VersionDigest, u64)> = Vec::new();
        let mut cut = None;
        while !u.is_empty() && cut.is_none() && !resume.is_finished() {
            let idx = u.choose_index(replicas.len())?;
            let mut is_lost = u.ratio(1, 6)?;
            let replica = &mut replicas[idx];
            if !is_lost && replica.next < TOKENS {
                replica.next += u64::from(u.ratio(1, 20)?);
                let index = replica.next - u64::from(replica.next > 0 && u.ratio(1, 10)?);
                replica.next = index + 1;
                let last = index + 1 == TOKENS;
                match resume.on_token(replica.id, index, replica.version, last) {
                    TokenAction::Deliver => delivered.push((replica.version, index)),
                    TokenAction::Drop => {}
                    TokenAction::Reject => is_lost = true,
                }
            }
            // The loss of a replica that was given up before means nothing.
            if is_lost && idx + 1 == replicas.len() {
                let has_replica = u.ratio(9, 10)?;
                let id = AttemptId(replicas.len() as u128);
                match resume.on_replica_lost(|_| has_replica, true) {
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
                    RecoveryAction::Abort(code) => cut = Some(code),
                }
                resume.on_attempt_started(id);
            }
        }
        let expect: Vec<_> = (0..delivered.len() as u64)
            .map(|it| (delivered[0].0, it))
            .collect();
        assert_eq!(delivered, expect);
        if resume.is_finished() {
            assert_eq!(delivered.len() as u64, TOKENS);
            assert_eq!(
                resume.on_replica_lost(|_| false, false),
                RecoveryAction::Finish
            );
        }
        Ok(())
    });
}

#[test]
fn each_loss_has_its_next_step() {
    let check = |tokens: u64, has_replica: bool, in_time: bool, expect: RecoveryAction| {
        let mut resume = ResumableStream::default();
        resume.on_attempt_started(AttemptId(1));
        for index in 0..tokens {
            resume.on_token(AttemptId(1), index, version(1), index == 2);
        }
        assert_eq!(resume.on_replica_lost(|_| has_replica, in_time), expect);
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
