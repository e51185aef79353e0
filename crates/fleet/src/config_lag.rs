//! Notices from other entries that the configuration in force here is not the newest one.

use std::time::{Duration, Instant};

/// Decides when to ask another entry for its configuration.
///
/// A process that starts after the store returned from an older copy reads only what the copy contains, while others have
/// newer versions in force. See [decision 48](../../../docs/decisions/0048-lives-of-the-store.md).
#[derive(Clone, Copy, Debug)]
pub struct ConfigLag {
    started_at: Instant,
    /// Since when others have a newer version, and which one this entry has had since then.
    behind_since: Option<(Instant, u64)>,
    asked_at: Option<Instant>,
}

impl ConfigLag {
    /// Creates the state of a process that was started at `started_at`.
    pub fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            behind_since: None,
            asked_at: None,
        }
    }

    /// Records that another entry has version `other` in force, and this one `own`; returns whether to ask it for its
    /// configuration.
    ///
    /// Usually the feed brings a newer version within moments, and at less cost. Only an entry that has just started, or does
    /// not catch up at all, asks.
    pub fn record(&mut self, own: u64, other: u64, now: Instant) -> bool {
        if other <= own {
            return false;
        }
        let since = match self.behind_since {
            Some((since, version)) if version == own => since,
            _ => now,
        };
        self.behind_since = Some((since, own));
        let is_starting = now.saturating_duration_since(self.started_at) < STARTING_TIME;
        let patience = if is_starting {
            Duration::ZERO
        } else {
            PATIENCE
        };
        let is_due = self
            .asked_at
            .is_none_or(|it| now.saturating_duration_since(it) >= ASKING_INTERVAL);
        let must_ask = own > 0 && now.saturating_duration_since(since) >= patience && is_due;
        if must_ask {
            self.asked_at = Some(now);
        }
        must_ask
    }
}

/// Time after the start in which a newer version of others is requested at once.
const STARTING_TIME: Duration = Duration::from_secs(5);

/// Time for which the feed may take to bring a newer version, below the bound on a change (2 s).
const PATIENCE: Duration = Duration::from_millis(1200);

/// Minimum time between two requests.
const ASKING_INTERVAL: Duration = Duration::from_millis(800);
