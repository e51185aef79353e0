//! What the staged pieces show of orders of an earlier process.

use std::collections::BTreeMap;
use std::sync::Arc;

use expect_test::{Expect, expect};
use fleet::{OrderCandidates, PieceManifest, prior_order};

/// Returns the digest that the letter of a piece stands for: a digit is the version that the piece belongs to, `s` a piece that all
/// versions share, `x` a corrupt one, and `-` one that is not staged.
fn digest(piece: char) -> Option<[u8; 32]> {
    (piece != '-').then_some([piece as u8; 32])
}

/// Checks what `staged` shows to an agent that knows the manifests of `known` versions, whose first `shared` pieces are the same.
fn check(
    staged: &str,
    known: &[u64],
    shared: usize,
    (serving, target, newest): (Option<u64>, u64, u64),
    expected: &Expect,
) {
    let digest_of = |version: u64, index: usize| {
        let own = char::from_digit(version as u32, 10).unwrap();
        digest(if index < shared { 's' } else { own }).unwrap()
    };
    let manifest = |version: u64| {
        let digests = (0..staged.len()).map(|it| digest_of(version, it));
        Arc::new(PieceManifest {
            model: "m".to_owned(),
            version,
            piece_bytes: 1000,
            digests: digests.collect(),
        })
    };
    let manifests: BTreeMap<_, _> = known.iter().map(|it| (*it, manifest(*it))).collect();
    let digests: Vec<_> = staged.chars().map(digest).collect();
    let candidates = OrderCandidates::new(serving, target, newest);
    let prior = prior_order(&digests, &manifests, candidates);
    expected.assert_eq(&format!("{prior:?}"));
}

/// Guards against WHOLE by a version that is staged under the order of an earlier process for the version before it.
#[test]
fn a_complete_version_that_is_not_served_may_have_been_ordered() {
    check("2222", &[2, 3], 0, (Some(1), 3, 3), &expect!["Possible(2)"]);
    check(
        "2222",
        &[2, 3, 4],
        0,
        (Some(1), 4, 4),
        &expect!["Possible(2)"],
    );
    check("1111", &[1, 2], 0, (None, 2, 2), &expect!["Possible(1)"]);
    // The process before chose another version to load next.
    check("3333", &[2, 3], 0, (Some(1), 2, 3), &expect!["Possible(3)"]);
    // Corrupt pieces do not show that it was incomplete when it was ordered.
    check("2x22", &[2, 3], 0, (Some(1), 3, 3), &expect!["Possible(2)"]);
    check(
        "ss22",
        &[1, 2, 3],
        2,
        (Some(1), 3, 3),
        &expect!["Possible(2)"],
    );
    let expected = expect!["Possible(2)"];
    check("sss2x222", &[1, 2, 3], 3, (Some(1), 3, 3), &expected);
    check("ssssssxx", &[1, 2, 3], 6, (Some(1), 3, 3), &expected);
}

/// Guards against an agent that waits for an order, or loads an older version first, although no order can be under way.
#[test]
fn staged_pieces_show_that_nothing_was_ordered() {
    // Only the target can have been ordered, and to stage it does no harm.
    check("1111", &[2], 0, (Some(1), 2, 2), &expect!["None"]);
    check("xxxx", &[2], 0, (Some(1), 2, 2), &expect!["None"]);
    check("3333", &[2, 3], 0, (Some(1), 3, 3), &expect!["None"]);
    check("1111", &[2, 3], 0, (Some(3), 2, 3), &expect!["None"]);
    // Pieces that are missing or belong to two versions cannot have been ordered.
    check("22-2", &[2, 3], 0, (Some(1), 3, 3), &expect!["None"]);
    check("2233", &[2, 3], 0, (Some(1), 3, 3), &expect!["None"]);
    check("1122", &[1, 2, 3], 0, (Some(1), 3, 3), &expect!["None"]);
    // Too many pieces are not of the version: they belong to the one in service, whose manifest nobody has any more.
    check("11112222", &[2, 3], 0, (Some(1), 3, 3), &expect!["None"]);
    check("11122222", &[2, 3], 0, (Some(1), 3, 3), &expect!["None"]);
    // All skipped versions are known, and none of them is staged.
    check("1111", &[2, 3], 0, (Some(1), 3, 3), &expect!["None"]);
    check("ss11", &[1, 2, 3], 2, (Some(1), 3, 3), &expect!["None"]);
}

/// Guards against WHOLE by the order of a version whose manifest no source has any more.
#[test]
fn pieces_that_no_manifest_names_may_belong_to_an_unknown_version() {
    check(
        "2222",
        &[3, 4],
        0,
        (Some(1), 4, 4),
        &expect!["Undetermined"],
    );
    check("2222", &[2, 4], 0, (Some(1), 4, 4), &expect!["Possible(2)"]);
    check("2222", &[4], 0, (Some(1), 4, 4), &expect!["Undetermined"]);
    check(
        "ss22",
        &[1, 4],
        2,
        (Some(1), 4, 4),
        &expect!["Undetermined"],
    );
    check("1111", &[1, 4], 0, (Some(1), 4, 4), &expect!["None"]);
    check("1111", &[2], 0, (None, 3, 3), &expect!["Undetermined"]);
}
