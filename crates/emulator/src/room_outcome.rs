//! What callers got in an emulation of insufficient capacity.

use std::collections::BTreeMap;
use std::time::Duration;

/// The end of one caller's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomResult {
    /// Index of its kind.
    pub kind: usize,
    /// Length of its prompt in tokens.
    pub prompt_tokens: u32,
    /// When the caller first sent it.
    pub arrived: Duration,
    /// Time from then to its first event, if there was one.
    pub first_event: Option<Duration>,
    /// Value that it earned, as a share of the value on time.
    pub earned: f64,
    /// Value on time.
    pub value: f64,
    /// Whether it was served within its objective.
    pub is_on_time: bool,
    /// Times that it was refused.
    pub refusals: u32,
}

/// Results of all requests, from 2 s after the start on.
#[derive(Clone, Debug, Default)]
pub struct RoomOutcome {
    /// The results, in no particular order.
    pub results: Vec<RoomResult>,
}

impl RoomOutcome {
    /// Returns the earned share of the value of the requests that `filter` selects.
    pub fn value(&self, filter: impl Fn(&RoomResult) -> bool) -> f64 {
        let selected = self.results.iter().filter(|it| filter(it));
        let sums = selected.fold((0.0, 0.0), |sums, it| {
            (sums.0 + it.earned * it.value, sums.1 + it.value)
        });
        sums.0 / f64::max(sums.1, f64::MIN_POSITIVE)
    }

    /// Returns the share of the requests that `filter` selects which were served within their objective.
    pub fn on_time(&self, filter: impl Fn(&RoomResult) -> bool) -> f64 {
        let selected: Vec<_> = self.results.iter().filter(|it| filter(it)).collect();
        let on_time = selected.iter().filter(|it| it.is_on_time).count();
        on_time as f64 / selected.len().max(1) as f64
    }

    /// Returns the quantiles of the time to the first event of the requests that `filter` selects and that were served,
    /// in milliseconds.
    pub fn first_event_ms(
        &self,
        quantiles: [f64; 3],
        filter: impl Fn(&RoomResult) -> bool,
    ) -> [u128; 3] {
        let selected = self.results.iter().filter(|it| filter(it));
        let mut times: Vec<_> = selected.filter_map(|it| it.first_event).collect();
        times.sort_unstable();
        let last = times.len().saturating_sub(1);
        quantiles.map(|it| {
            let index = (last as f64 * it) as usize;
            times.get(index).map_or(0, Duration::as_millis)
        })
    }

    /// Returns the lowest earned share of the value of any second in which requests arrived.
    pub fn worst_second(&self) -> f64 {
        let mut seconds: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
        for result in &self.results {
            let sums = seconds.entry(result.arrived.as_secs()).or_default();
            sums.0 += result.earned * result.value;
            sums.1 += result.value;
        }
        let shares = seconds.values().map(|it| it.0 / it.1);
        shares.fold(f64::INFINITY, f64::min)
    }

    /// Returns the share of requests that were refused again after their return.
    pub fn refused_again(&self) -> f64 {
        let again = self.results.iter().filter(|it| it.refusals > 1).count();
        again as f64 / self.results.len().max(1) as f64
    }

    /// Returns the bounds between the fifths of the prompts by size.
    pub fn fifths(&self) -> [u32; 4] {
        let mut sizes: Vec<u32> = self.results.iter().map(|it| it.prompt_tokens).collect();
        sizes.sort_unstable();
        [1, 2, 3, 4].map(|it| sizes.get(sizes.len() * it / 5).copied().unwrap_or(0))
    }
}
