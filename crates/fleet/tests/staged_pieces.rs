//! When a load may be ordered, by what is known of the staged pieces.

use std::sync::Arc;
use std::time::Duration;

use expect_test::{Expect, expect};
use fleet::{LoadDenial, MAX_VERIFICATION_AGE, PieceManifest, PieceVerification, StagedPieces};

/// What an agent learns of the pieces.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// It begins to stage a version whose pieces after the first ones have digests of their own.
    Reset(u64, usize),
    /// The replica serves the version already.
    Served,
    /// A read or write of a piece that was sent at this time in ms shows it to be valid.
    Valid(usize, u64),
    /// A read that was sent at this time shows a piece to be missing or corrupt.
    Missing(usize, u64),
    /// It returns to the version before.
    Return(u64),
}

use Event::{Missing, Reset, Return, Served, Valid};

const PIECES: usize = 4;

fn manifest(version: u64, shared: usize) -> Arc<PieceManifest> {
    let digest = |index: usize| {
        let version = if index < shared { 0 } else { version };
        [u8::try_from(version).unwrap(); 32]
    };
    Arc::new(PieceManifest {
        model: "m".to_owned(),
        version,
        piece_bytes: 1000,
        digests: (0..PIECES).map(digest).collect(),
    })
}

/// Checks whether a load of `version` that is sent at `at_ms` is permitted after `events`.
fn check(events: &[Event], version: u64, at_ms: u64, expected: &Expect) {
    let mut pieces = StagedPieces::default();
    for event in events {
        match *event {
            Reset(version, shared) => pieces.reset(manifest(version, shared)),
            Served => pieces.mark_all_staged(),
            Valid(index, ms) => pieces.record_valid(index, Duration::from_millis(ms)),
            Missing(index, ms) => pieces.record_missing(index, Duration::from_millis(ms)),
            Return(version) => pieces.return_to("m", version),
        }
    }
    let permit = pieces.permit_load("m", version, Duration::from_millis(at_ms));
    expected.assert_eq(&format!("{permit:?}"));
}

fn valid(ms: u64) -> [Event; PIECES] {
    std::array::from_fn(|it| Valid(it, ms))
}

/// Guards against WHOLE by pieces that count as verified without a read.
#[test]
fn pieces_in_service_are_not_verified() {
    let served = [Reset(1, PIECES), Served];
    check(&served, 1, 10, &expect!["Err(Outdated([0, 1, 2, 3]))"]);
    let next = [&served[..], &[Reset(2, 3), Valid(3, 5000)]].concat();
    check(&next, 2, 5000, &expect!["Err(Outdated([0, 1, 2]))"]);
    let returned = [&next[..], &[Return(1)]].concat();
    check(&returned, 1, 5000, &expect!["Err(Missing(1))"]);
    check(&returned, 2, 5000, &expect!["Err(OtherVersion)"]);
}

/// Guards against WHOLE by verifications that were recent when the first piece was read.
#[test]
fn the_oldest_verification_counts_at_the_time_of_the_order() {
    let staged = [&[Reset(1, PIECES)][..], &valid(1000)].concat();
    check(
        &staged,
        1,
        2500,
        &expect!["Ok(LoadPermit { oldest_age: 1.5s, expires_at: 2.5s })"],
    );
    check(&staged, 1, 2501, &expect!["Err(Outdated([0, 1, 2, 3]))"]);
    let read_again = [&staged[..], &[Valid(2, 1900), Valid(1, 1800)]].concat();
    check(&read_again, 1, 2501, &expect!["Err(Outdated([0, 3]))"]);
    check(&read_again, 1, 3400, &expect!["Err(Outdated([0, 3, 1]))"]);
    let inherited = [&staged[..], &[Reset(2, 2), Valid(2, 2400), Valid(3, 2400)]].concat();
    check(&inherited, 2, 2600, &expect!["Err(Outdated([0, 1]))"]);
}

/// Guards against a read that returns late and says what was true before another one.
#[test]
fn late_reads_do_not_replace_newer_ones() {
    let staged = [&[Reset(1, PIECES)][..], &valid(1000)].concat();
    let late_valid = [&staged[..], &[Missing(2, 1500), Valid(2, 1400)]].concat();
    check(&late_valid, 1, 1600, &expect!["Err(Missing(1))"]);
    let late_missing = [&staged[..], &[Missing(2, 900)]].concat();
    check(
        &late_missing,
        1,
        1600,
        &expect!["Ok(LoadPermit { oldest_age: 600ms, expires_at: 2.5s })"],
    );
    let written = [&staged[..], &[Missing(2, 1500), Valid(2, 1500)]].concat();
    check(
        &written,
        1,
        1600,
        &expect!["Ok(LoadPermit { oldest_age: 600ms, expires_at: 2.5s })"],
    );
}

/// Reads `count` pieces back from a replica that takes `read_ms` for each, until a load is permitted. Returns the time
/// that took and the age of the oldest verification then, in ms, or `None` after five seconds.
fn simulate(count: usize, read_ms: u64) -> Option<(u64, u64)> {
    let mut pieces = StagedPieces::default();
    pieces.reset(Arc::new(PieceManifest {
        model: "m".to_owned(),
        version: 1,
        piece_bytes: 24_576,
        digests: vec![[0; 32]; count],
    }));
    pieces.mark_all_staged();
    let mut now_ms = 0;
    while now_ms < 5000 {
        let now = Duration::from_millis(now_ms);
        let outdated = match pieces.permit_load("m", 1, now) {
            Ok(permit) => return Some((now_ms, permit.oldest_age.as_millis() as u64)),
            Err(LoadDenial::Outdated(it)) => it,
            Err(denial) => panic!("{denial:?}"),
        };
        let mut verification = PieceVerification::new(outdated, 24_576);
        let mut reads = Vec::new();
        loop {
            while let Some(index) = verification.next_read() {
                reads.push((now_ms, index));
            }
            let Some((sent_ms, index)) = reads.first().copied() else {
                break;
            };
            reads.remove(0);
            now_ms = now_ms.max(sent_ms + read_ms);
            verification.record_read(Duration::from_millis(now_ms - sent_ms));
            pieces.record_valid(index, Duration::from_millis(sent_ms));
        }
    }
    None
}

/// Guards against a verification that takes longer than it is valid, and against one that keeps a replica from its load.
#[test]
fn verifications_are_recent_at_replicas_of_any_speed() {
    for (count, read_ms) in [
        (96, 2),
        (96, 10),
        (96, 50),
        (96, 200),
        (1000, 10),
        (1000, 50),
    ] {
        let (time_ms, age_ms) = simulate(count, read_ms).expect("a load is permitted");
        assert!(
            Duration::from_millis(age_ms) <= MAX_VERIFICATION_AGE,
            "{count} pieces, {read_ms} ms: {age_ms} ms"
        );
        let sequential_ms = count as u64 * read_ms;
        assert!(
            time_ms <= sequential_ms + 100,
            "{count} pieces, {read_ms} ms: {time_ms} ms"
        );
    }
    // A replica that takes longer for one read than a verification is valid is never ordered to load.
    assert_eq!(simulate(96, 1600), None);
}

/// Guards against a wrong manifest that is kept, and against one that is fetched again for each corrupted piece.
#[test]
fn a_manifest_is_in_doubt_once_a_piece_has_the_same_other_digest_again() {
    let digest = |it: u8| [it; 32];
    let mut pieces = StagedPieces::default();
    pieces.reset(manifest(2, 0));
    valid(0).into_iter().take(3).for_each(|it| {
        if let Valid(index, ms) = it {
            pieces.record_valid(index, Duration::from_millis(ms));
        }
    });
    let check = |pieces: &mut StagedPieces, index, byte, expected| {
        pieces.record_mismatch(index, digest(byte));
        assert_eq!(pieces.is_manifest_doubted(), expected, "{index} {byte}");
    };
    check(&mut pieces, 3, 90, false);
    check(&mut pieces, 1, 90, false);
    check(&mut pieces, 3, 91, false);
    check(&mut pieces, 3, 91, true);
    // The same manifest again: twice as many equal mismatches are necessary.
    assert!(!pieces.replace_manifest(manifest(2, 0)));
    pieces.record_confirmation();
    for expected in [false, false, false, true] {
        check(&mut pieces, 3, 91, expected);
    }
    // Another manifest of the version names other digests for the first two pieces, which are missing then.
    assert!(!pieces.replace_manifest(manifest(3, 0)));
    assert!(pieces.replace_manifest(manifest(2, 2)));
    assert!(!pieces.is_manifest_doubted());
    assert_eq!(pieces.missing_count(), 3);
    pieces.return_to("m", 2);
    assert_eq!(pieces.current_manifest("m", 2), Some(&manifest(2, 2)));
}
