//! Rate limits of log lines.

use std::time::{Duration, Instant};

use fleet::{LogKind, LogRateLimiter};

#[test]
fn a_flood_of_one_kind_is_counted_and_does_not_suppress_the_other() {
    let start = Instant::now();
    let mut limiter = LogRateLimiter::new(start);
    let allowed = (0..1000)
        .filter(|_| limiter.check(LogKind::Failed, start).allowed)
        .count();
    assert_eq!(allowed, 400);
    assert!(limiter.check(LogKind::Served, start).allowed);
    assert_eq!(limiter.suppressed_total(), 600);

    let later = start + Duration::from_secs(1);
    let first = limiter.check(LogKind::Served, later);
    assert_eq!(
        (first.allowed, first.suppressed_before),
        (true, Some([0, 600]))
    );
    assert_eq!(
        limiter.check(LogKind::Failed, later).suppressed_before,
        None
    );
    assert_eq!(limiter.suppressed_total(), 600);
}
