//! Turns at replicas that are cold.

use std::time::{Duration, Instant};

use routing::{ColdBound, LifetimeId, LimitTable, TurnGrant};

/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(20);

/// Steps between two exchanges of messages.
const EXCHANGE_STEPS: u32 = 10;

/// A replica that tolerates 15 requests a second and crashes beyond 27.5.
const BOUND: ColdBound = ColdBound {
    requests_per_second: 15.0,
    max_in_second: 27.5,
};

fn replica() -> LifetimeId {
    LifetimeId::new("replica", Some(1))
}

/// Entries that send a request to one cold replica whenever they may.
struct Entries {
    now: Instant,
    names: Vec<String>,
    tables: Vec<LimitTable>,
    /// Whether the replica is cold as far as the entry knows.
    knows: Vec<bool>,
    sent: Vec<Instant>,
    steps: u32,
}

impl Entries {
    fn new(count: usize) -> Self {
        let now = Instant::now() + Duration::from_secs(1000);
        let names: Vec<String> = (0..count).map(|it| format!("edge-{it}")).collect();
        let tables = names.iter().map(|it| LimitTable::new(now, it));
        Self {
            now,
            tables: tables.collect(),
            knows: vec![true; count],
            names,
            sent: Vec::new(),
            steps: 0,
        }
    }

    /// Runs all entries but the `frozen` ones.
    fn run(&mut self, time: Duration, frozen: &[usize]) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.steps += 1;
            let now = self.now;
            let running = (0..self.tables.len()).filter(|it| !frozen.contains(it));
            let running: Vec<usize> = running.collect();
            if self.steps.is_multiple_of(EXCHANGE_STEPS) {
                for &entry in &running {
                    let alive = running.iter().filter(|it| **it != entry);
                    let mut alive = alive.map(|it| self.names[*it].as_str());
                    self.tables[entry].record_discovery();
                    self.tables[entry].update_members(now, &mut alive);
                }
                let digests = running.iter().map(|it| self.tables[*it].digest(now, true));
                let digests: Vec<_> = digests.collect();
                for &entry in &running {
                    for digest in digests.iter().flatten() {
                        self.tables[entry].merge(now, digest);
                    }
                }
            }
            for &entry in running.iter().filter(|it| self.knows[**it]) {
                let table = &mut self.tables[entry];
                table.record_cold(replica(), BOUND, now + Duration::from_secs(3));
                while table.has_turn(now, replica()) == Some(true) {
                    assert!(table.take_turn(now, replica()));
                    self.sent.push(now);
                }
            }
        }
    }

    /// Returns the highest number of requests in any one second.
    fn most_in_second(&self) -> usize {
        let window = Duration::from_secs(1);
        let in_window = |start: &Instant| {
            let sent = self.sent.iter();
            sent.filter(|it| **it >= *start && **it < *start + window)
                .count()
        };
        self.sent.iter().map(in_window).max().unwrap_or(0)
    }

    fn assert_within_bound(&self) {
        let most = self.most_in_second();
        assert!(most as f64 <= BOUND.max_in_second, "{most} in a second");
    }
}

/// Guards against FAILBACK: all entries send to a replica that has just become cold, each of them within the bound on its own.
#[test]
fn entries_together_keep_to_what_a_cold_replica_bears() {
    for count in [1, 8, 44] {
        let mut entries = Entries::new(count);
        entries.run(Duration::from_secs(4), &[]);
        entries.sent.clear();
        entries.run(Duration::from_secs(10), &[]);
        entries.assert_within_bound();
        let used = entries.sent.len() as f64 / 10.0 / BOUND.requests_per_second;
        assert!(used > 0.7, "{count} entries use {used:.2} of the rate");
    }
}

/// Guards against FAILBACK after a loss of all entries: they start again in one moment, and all have the same idea of who is free.
#[test]
fn entries_that_start_together_wait_until_they_know_each_other() {
    let mut entries = Entries::new(44);
    entries.run(Duration::from_millis(2900), &[]);
    assert_eq!(entries.sent.len(), 0);
    entries.run(Duration::from_secs(5), &[]);
    entries.assert_within_bound();
    assert!(entries.sent.len() > 40, "{}", entries.sent.len());
}

/// Guards against entries that are suspended with turns in hand, use them when they wake, and share them with those that took them
/// over.
#[test]
fn entries_that_were_suspended_use_no_old_turns() {
    let mut entries = Entries::new(44);
    entries.run(Duration::from_secs(6), &[]);
    let frozen: Vec<usize> = (0..20).collect();
    entries.run(Duration::from_secs(5), &frozen);
    let sent = entries.sent.len();
    entries.run(STEP * 2, &[]);
    let woken = entries.sent.len() - sent;
    assert!(woken <= 4, "{woken} requests within 40 ms of the wake");
    entries.run(Duration::from_secs(8), &[]);
    entries.assert_within_bound();
}

/// Guards against a table that keeps a replica cold for ever, or that restricts one which nobody has called cold.
#[test]
fn a_replica_is_unrestricted_before_and_after_it_is_cold() {
    let now = Instant::now();
    let mut table = LimitTable::new(now, "edge-1");
    assert_eq!(table.has_turn(now, replica()), None);
    assert!(table.is_empty());
    table.record_cold(replica(), BOUND, now + Duration::from_secs(3));
    assert_eq!(table.has_turn(now, replica()), Some(false));
    assert!(!table.is_empty());
    let warm = now + Duration::from_secs(3);
    assert_eq!(table.has_turn(warm, replica()), None);
    assert!(table.take_turn(warm, replica()));
    assert!(table.is_empty());
}

/// Guards against requests that an entry has chosen a cold replica for before it was suspended, and that all woken entries write at
/// once.
#[test]
fn a_turn_at_a_cold_replica_does_not_outlive_the_wait_for_a_connection() {
    let now = Instant::now();
    let grant = TurnGrant::new(Some(now));
    let (opened, woken) = (
        now + Duration::from_millis(300),
        now + Duration::from_secs(2),
    );
    assert!(grant.is_valid(opened, true));
    assert!(!grant.is_valid(woken, true));
    assert!(grant.is_valid(woken, false));
    assert!(!TurnGrant::default().is_valid(now, false));
}

/// Guards against entries that never learn each other's time base because the few messages after their discovery were lost: their
/// turns coincide, and no later message tells it, as no replica names a limit.
#[test]
fn entries_in_front_of_replicas_that_become_cold_keep_telling_their_time_base() {
    let now = Instant::now();
    let mut table = LimitTable::new(now, "edge-1");
    assert_eq!(table.digest(now, false), None);
    table.set_repeats_base(true);
    for _ in 0..10 {
        assert!(table.digest(now, false).is_some());
    }
    table.set_repeats_base(false);
    assert_eq!(table.digest(now, false), None);
}
