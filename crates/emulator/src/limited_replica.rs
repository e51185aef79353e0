//! A replica of an emulation that names a limit.

use std::time::Duration;

use routing::{LifetimeId, NamedLimit, RequestRate};

/// A replica that names a limit, and the calls that it has received.
#[derive(Debug)]
pub(crate) struct LimitedReplica {
    pub(crate) id: LifetimeId,
    /// Times from which on the replica names each limit.
    limits: Vec<(Duration, Option<f64>)>,
    /// Times of all calls.
    calls: Vec<Duration>,
    /// Time of the first response with a limit.
    pub(crate) named_at: Option<Duration>,
    /// Time of the first response without a limit after the last one with it.
    pub(crate) end_named_at: Option<Duration>,
}

impl LimitedReplica {
    pub(crate) fn new(index: usize) -> Self {
        Self {
            id: LifetimeId::new(&format!("replica-{index}"), Some(1)),
            limits: Vec::new(),
            calls: Vec::new(),
            named_at: None,
            end_named_at: None,
        }
    }

    pub(crate) fn set_limit(&mut self, now: Duration, limit: Option<f64>) {
        self.limits.push((now, limit));
    }

    pub(crate) fn record_call(&mut self, now: Duration) {
        self.calls.push(now);
    }

    /// Returns what a response says now.
    pub(crate) fn respond(&mut self, now: Duration) -> NamedLimit {
        let Some(limit) = self.limits.last().and_then(|it| it.1) else {
            if self.named_at.is_some() {
                self.end_named_at.get_or_insert(now);
            }
            return NamedLimit::None;
        };
        self.named_at.get_or_insert(now);
        NamedLimit::Limit(RequestRate::per_kilosecond((limit * 1000.0).round() as u32))
    }

    /// Returns the most calls in any window that begins after `from`, less `allowed` as a function of the mean limit
    /// in it.
    pub(crate) fn most_beyond(&self, from: Duration, allowed: impl Fn(f64) -> f64) -> f64 {
        let end = self.limits.iter().find(|it| it.1.is_none());
        let end = end.map_or(Duration::MAX, |it| it.0);
        let calls = self.calls.iter().copied();
        let calls: Vec<Duration> = calls.filter(|it| *it >= from && *it < end).collect();
        let mut last = 0;
        let beyond = calls.iter().enumerate().map(|(first, start)| {
            while last < calls.len() && calls[last] < *start + WINDOW {
                last += 1;
            }
            let mean = self.integral(*start, *start + WINDOW) / WINDOW.as_secs_f64();
            (last - first) as f64 - allowed(mean)
        });
        beyond.fold(f64::NEG_INFINITY, f64::max)
    }

    /// Returns the number of calls, and the number that the limits allow, from `from` to the end of the limit or `to`.
    pub(crate) fn usage(&self, from: Duration, to: Duration) -> (f64, f64) {
        let end = self.limits.iter().find(|it| it.1.is_none());
        let to = end.map_or(to, |it| it.0.min(to));
        let calls = self.calls.iter().filter(|it| **it >= from && **it < to);
        (calls.count() as f64, self.integral(from, to))
    }

    fn integral(&self, from: Duration, to: Duration) -> f64 {
        let ends = self
            .limits
            .iter()
            .skip(1)
            .map(|it| it.0)
            .chain([Duration::MAX]);
        let spans = self.limits.iter().zip(ends).map(|((start, limit), end)| {
            let span = end.min(to).saturating_sub((*start).max(from));
            span.as_secs_f64() * limit.unwrap_or(0.0)
        });
        spans.sum()
    }
}

/// Span in which calls are counted.
pub(crate) const WINDOW: Duration = Duration::from_secs(4);
