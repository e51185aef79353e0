//! Repeats in sliding windows, and how long the configuration is trusted.

use std::time::{Duration, Instant};

use arbtest::arbitrary::{Result, Unstructured};
use fleet::{ConfigFreshness, RepeatBudget};

/// In any window the repeats stay within the ratio of the first sends in it and the window before, plus the allowance.
#[test]
fn repeats_stay_in_budget_in_every_window() {
    const WINDOW_MS: u64 = 10_000;
    let check = |u: &mut Unstructured<'_>| -> Result<()> {
        let start = Instant::now();
        let mut budget = RepeatBudget::new(Duration::from_millis(WINDOW_MS), 0.2, 5.0);
        let (mut firsts, mut repeats) = (Vec::new(), Vec::new());
        let mut at = 0;
        for _ in 0..200 {
            at += u.int_in_range(0..=400)?;
            let now = start + Duration::from_millis(at);
            if u.ratio(1, 3)? {
                budget.first(now);
                firsts.push(at);
            } else if budget.try_repeat(now) {
                repeats.push(at);
            }
        }
        for end in &repeats {
            let within = |list: &[u64], span: u64| {
                list.iter()
                    .filter(|it| **it <= *end && **it + span >= *end)
                    .count()
            };
            let allowed = 0.2 * within(&firsts, 2 * WINDOW_MS) as f64 + 5.0;
            let used = within(&repeats, WINDOW_MS);
            assert!(
                used as f64 <= allowed,
                "{used} repeats before {end} ms, {allowed} allowed"
            );
        }
        Ok(())
    };
    for seed in 0..200 {
        arbtest::arbtest(check).seed((seed << 32) | 0x200).run();
    }
}

#[test]
fn keys_are_trusted_only_while_the_configuration_is_fresh() {
    let second = Duration::from_secs;
    let mut freshness = ConfigFreshness::new(Some(second(4)));
    assert!(!freshness.is_trusted(second(1)));
    freshness.confirm(second(10));
    freshness.confirm(second(9));
    assert!(freshness.is_trusted(second(13)));
    assert!(!freshness.is_trusted(second(14)));
    assert_eq!(freshness.age(second(14)), Some(second(4)));
    let mut unbounded = ConfigFreshness::new(None);
    assert!(!unbounded.is_trusted(second(1)));
    unbounded.confirm(second(1));
    assert!(unbounded.is_trusted(second(1000)));
}
