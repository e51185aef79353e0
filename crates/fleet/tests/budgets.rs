//! Retry budgets in sliding windows, and the maximum age of the configuration.

use std::time::{Duration, Instant};

use arbtest::arbitrary::{Result, Unstructured};
use fleet::{ConfigFreshness, RetryBudget};

/// In any window, the number of retries is at most the ratio times the requests of that window and the one before, plus
/// the allowance.
#[test]
fn retries_stay_within_budget_in_every_window() {
    const WINDOW_MS: u64 = 10_000;
    let check = |u: &mut Unstructured<'_>| -> Result<()> {
        let start = Instant::now();
        let mut budget = RetryBudget::new(Duration::from_millis(WINDOW_MS), 0.2, 5.0);
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut at = 0;
        for _ in 0..200 {
            at += u.int_in_range(0..=400)?;
            let now = start + Duration::from_millis(at);
            if u.ratio(1, 3)? {
                budget.record_request(now);
                requests.push(at);
            } else if budget.try_acquire(now) {
                retries.push(at);
            }
        }
        for end in &retries {
            let within = |list: &[u64], span: u64| {
                list.iter()
                    .filter(|it| **it <= *end && **it + span >= *end)
                    .count()
            };
            let allowed = 0.2 * within(&requests, 2 * WINDOW_MS) as f64 + 5.0;
            let used = within(&retries, WINDOW_MS);
            assert!(
                used as f64 <= allowed,
                "{used} retries before {end} ms, {allowed} allowed"
            );
        }
        Ok(())
    };
    for seed in 0..200 {
        arbtest::arbtest(check).seed((seed << 32) | 0x200).run();
    }
}

#[test]
fn keys_are_accepted_only_while_the_configuration_is_fresh() {
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
