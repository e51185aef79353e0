//! Budget of retries and hedges relative to the number of requests.

/// Limits retries and hedges to a tenth of the requests, so that they cannot turn an overload into a collapse.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    credit: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { credit: MAX_CREDIT }
    }
}

impl RetryBudget {
    /// Records a request of a caller, which earns a fraction of a retry.
    pub fn on_request(&mut self) {
        self.credit = (self.credit + CREDIT_PER_REQUEST).min(MAX_CREDIT);
    }

    /// Takes one retry from the budget and returns `true`, or returns `false` if the budget is exhausted.
    pub fn try_acquire(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}

/// Fraction of a retry that each request earns.
const CREDIT_PER_REQUEST: f64 = 0.1;

/// Maximum number of accumulated retries.
const MAX_CREDIT: f64 = 10.0;
