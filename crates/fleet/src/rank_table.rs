//! How much of a service's room requests of each rank may use.
//!
//! Requests with a long objective would otherwise be admitted to queues that are too long for those with a short one, and a burst of
//! requests that lose little when they are late would displace others that lose most of their value. See `docs/design/ranks.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::route::Route;

/// Shortest objective of the routes of each service, by their rank.
#[derive(Clone, Debug, Default)]
pub struct RankTable {
    objectives: BTreeMap<String, BTreeMap<u32, Duration>>,
}

impl RankTable {
    /// Builds the table of `routes`. Routes without an objective leave none to be met by others.
    pub fn new<'a>(routes: impl Iterator<Item = &'a Route>) -> Self {
        let mut table = Self::default();
        for route in routes.filter(|it| !it.objective.is_zero()) {
            for target in &route.targets {
                let ranks = table.objectives.entry(target.service.clone()).or_default();
                let objective = ranks.entry(route.rank).or_insert(route.objective);
                *objective = route.objective.min(*objective);
            }
        }
        table
    }

    /// Returns the longest predicted time to the first event with which a request to `service` is admitted that has `objective` left:
    /// as long as it meets its own objective, and more urgent ones that arrive next still meet theirs.
    pub fn max_first_event(&self, service: &str, rank: u32, objective: Duration) -> Duration {
        let own = objective.mul_f64(OBJECTIVE_FRACTION);
        let ranks = self.objectives.get(service);
        let urgent = ranks.into_iter().flat_map(|it| it.range(..rank));
        let urgent: Vec<Duration> = urgent.map(|it| *it.1).collect();
        let Some(shortest) = urgent.iter().min() else {
            return own;
        };
        let steps = i32::try_from(urgent.len()).unwrap_or(i32::MAX);
        let share = OBJECTIVE_FRACTION * LESS_URGENT_SHARE.powi(steps);
        own.min(shortest.mul_f64(share))
    }

    /// Returns whether requests to `service` differ in rank, so that replicas should be told theirs.
    pub fn has_ranks(&self, service: &str) -> bool {
        self.objectives.get(service).is_some_and(|it| it.len() > 1)
    }
}

/// Fraction of the objective that the predicted time may take up; a request with a longer prediction is refused rather
/// than served late.
const OBJECTIVE_FRACTION: f64 = 0.95;

/// Part of the room of the next more urgent rank that a rank may fill. The rest is kept for more urgent requests, which are admitted
/// while less urgent ones are refused.
const LESS_URGENT_SHARE: f64 = 0.8;
