//! What an emulation of declared weights measured.

use std::time::Duration;

use crate::feed_entry::TIME_TOLERANCE;

/// What an emulation measured. The deadline of a version at an entry is the time from which on it allows no older weights.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeclarationReport {
    /// Deadlines, over all entries and versions, that were at some time after the bound.
    pub late_deadlines: usize,
    /// Longest time from the bound to a deadline.
    pub worst_lateness: Duration,
    /// Longest time by which a deadline was later than if the entry had known when the version was acknowledged: the part of
    /// the reserve for timers and the way to a replica that was used otherwise.
    pub worst_error: Duration,
    /// Entries and versions that the entry did not know when the bound had passed.
    pub unknown: usize,
    /// Times from the deadlines that came to apply to the bound, in ascending order.
    pub earliness: Vec<Duration>,
    /// Times from the acknowledgements until running entries knew the version, in ascending order.
    pub knowledge_delays: Vec<Duration>,
}

/// Deadline of one version at one entry.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DeadlineRecord {
    deadline: Option<Duration>,
    known_at: Option<Duration>,
    latest: Duration,
}

impl DeadlineRecord {
    /// Records that the entry allows older weights for `remaining`, as of `now`.
    pub(crate) fn record(&mut self, now: Duration, remaining: Duration) {
        let passed = self.deadline.filter(|it| remaining.is_zero() && *it <= now);
        let deadline = passed.unwrap_or(now + remaining);
        self.known_at.get_or_insert(now);
        self.deadline = Some(deadline);
        // An entry that has just started may learn of a version only after it has taken effect.
        if !remaining.is_zero() {
            self.latest = self.latest.max(deadline);
        }
    }

    pub(crate) fn is_known(&self) -> bool {
        self.known_at.is_some()
    }
}

impl DeclarationReport {
    /// Adds the deadlines of one version, which was acknowledged at `acked`, at the entries; each comes with the time at which
    /// the entry started.
    pub(crate) fn add<'a>(
        &mut self,
        acked: Duration,
        bound: Duration,
        records: impl Iterator<Item = (Duration, &'a DeadlineRecord)>,
    ) {
        let limit = acked + bound;
        for (started, record) in records {
            let (Some(deadline), Some(known_at)) = (record.deadline, record.known_at) else {
                continue;
            };
            self.late_deadlines += usize::from(record.latest > limit);
            self.worst_lateness = self.worst_lateness.max(record.latest.saturating_sub(limit));
            let exact = limit.saturating_sub(TIME_TOLERANCE);
            self.worst_error = self.worst_error.max(record.latest.saturating_sub(exact));
            self.earliness.push(limit.saturating_sub(deadline));
            if started <= acked {
                self.knowledge_delays.push(known_at.saturating_sub(acked));
            }
        }
        self.earliness.sort_unstable();
        self.knowledge_delays.sort_unstable();
    }
}
