//! Budgets of log lines.

use std::time::{Duration, Instant};

use fleet::{LineBudget, LineKind};

#[test]
fn a_flood_of_one_kind_leaves_the_other_its_lines_and_is_counted() {
    let start = Instant::now();
    let mut budget = LineBudget::new(start);
    let allowed = (0..1000)
        .filter(|_| budget.take(LineKind::Failed, start).allowed)
        .count();
    assert_eq!(allowed, 400);
    assert!(budget.take(LineKind::Served, start).allowed);
    assert_eq!(budget.suppressed_total(), 600);

    let later = start + Duration::from_secs(1);
    let first = budget.take(LineKind::Served, later);
    assert_eq!(
        (first.allowed, first.suppressed_before),
        (true, Some([0, 600]))
    );
    assert_eq!(budget.take(LineKind::Failed, later).suppressed_before, None);
    assert_eq!(budget.suppressed_total(), 600);
}
