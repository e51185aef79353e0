//! Budget of retries and hedges relative to the number of requests.

/// Limits retries and hedges to a tenth of the requests, so that they cannot turn an overload into a collapse.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Number of requests whose retries have not been taken yet.
    requests: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            requests: MAX_RETRIES * REQUESTS_PER_RETRY,
        }
    }
}

impl RetryBudget {
    /// Records a request of a caller, which earns a fraction of a retry.
    pub fn on_request(&mut self) {
        self.requests = (self.requests + 1).min(MAX_RETRIES * REQUESTS_PER_RETRY);
    }

    /// Returns the number of retries that can be taken now.
    pub fn available(&self) -> u32 {
        self.requests / REQUESTS_PER_RETRY
    }

    /// Takes one retry from the budget and returns `true`, or returns `false` if the budget is exhausted.
    pub fn try_acquire(&mut self) -> bool {
        let rest = self.requests.checked_sub(REQUESTS_PER_RETRY);
        self.requests = rest.unwrap_or(self.requests);
        rest.is_some()
    }
}

/// Number of requests that earn a retry.
const REQUESTS_PER_RETRY: u32 = 10;

/// Maximum number of accumulated retries.
const MAX_RETRIES: u32 = 10;
