//! Entries after outages of the store, in which calls remain without a response.

#[path = "support/site.rs"]
mod site;

use std::time::{Duration, Instant};

use httpio::{Method, StatusCode};
use site::{TestSite, route};

/// Time after the return of the store in which both tables are current at each entry, with a reserve for a loaded machine.
const RECOVERY: Duration = Duration::from_millis(1200);

/// Lengths of the outages. Calls that are under way as the store returns have waited for different times.
const OUTAGES_MS: [u64; 4] = [4000, 4300, 4700, 5200];

/// The table test of `fleet::FeedPlan` (`feed_plan.rs`) runs in CI instead, where other tests share the processor.
///
/// Guards against CONFIG and DRAIN after an outage of the store (hunt-717a-7): each table waited for its own time-out and its own
/// backoff, although the other one had shown that the store was back.
#[test]
#[ignore = "measures times; run by hand on a quiet machine"]
fn both_tables_are_current_soon_after_an_outage() {
    let mut site = TestSite::start("outages-recovery", 100, &[]);
    let mut slow = Vec::new();
    for (number, outage) in OUTAGES_MS.into_iter().enumerate() {
        site.store.set_silent(true);
        std::thread::sleep(Duration::from_millis(outage));
        let name = format!("after{number}");
        site.configure(&route(&name));
        let state = ["draining", "ready"][number % 2];
        let row = site.orders[0].row("orders", "a", state);
        site.store.put("servers", "o-0", &row);
        site.store.end_silence_with_loss();
        let returned = Instant::now();
        for entry in 0..2 {
            site.wait("the new route", |it| {
                let path = format!("/{name}/1");
                let response = it
                    .caller()
                    .call_without_key(entry, Method::GET, &path, "new")?;
                (response.status == StatusCode::OK).then_some(())
            });
            site.wait("the state of the replica", |it| {
                let metrics = it.metrics(entry);
                let count = usize::from(state == "draining");
                let line = format!("fulmarline_replicas{{state=\"draining\"}} {count}");
                metrics.contains(&line).then_some(())
            });
        }
        let elapsed = returned.elapsed();
        if elapsed > RECOVERY {
            slow.push((outage, elapsed));
        }
        // Both tables are read without failures before the next outage.
        std::thread::sleep(Duration::from_millis(500));
    }
    assert!(slow.is_empty(), "current late after outages: {slow:?}");
}
