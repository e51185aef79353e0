//! When an entry asks another one for its configuration.

use std::time::{Duration, Instant};

use fleet::ConfigLag;

/// Guards against CONFIG by an entry that starts with an older copy of the store, and against requests for each version that
/// the feed is about to bring.
#[test]
fn only_an_entry_that_starts_or_does_not_catch_up_asks() {
    let start = Instant::now();
    let check = |notices: &[(u64, u64, u64, bool)]| {
        let mut lag = ConfigLag::new(start);
        for (ms, own, other, expected) in notices {
            let now = start + Duration::from_millis(*ms);
            assert_eq!(
                lag.record(*own, *other, now),
                *expected,
                "{ms} ms: {own} {other}"
            );
        }
    };
    // Without any configuration, the feed is read first.
    check(&[
        (100, 0, 8, false),
        (200, 5, 8, true),
        (300, 5, 8, false),
        (1100, 5, 8, true),
    ]);
    check(&[(200, 8, 8, false), (300, 9, 8, false)]);
    // The feed brings a version each half second.
    check(&[
        (9000, 5, 6, false),
        (9500, 6, 7, false),
        (10_000, 7, 8, false),
        (10_500, 8, 9, false),
        (11_000, 9, 10, false),
    ]);
    check(&[
        (9000, 5, 8, false),
        (9800, 5, 9, false),
        (10_200, 5, 9, true),
    ]);
}
