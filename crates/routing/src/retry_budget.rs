//! How many retries an entry may add to its requests.

/// Lets retries and hedges add a tenth to the load at most, so that they cannot turn overload into collapse.
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
    /// Notes a request of a caller.
    pub fn on_request(&mut self) {
        self.credit = (self.credit + CREDIT_PER_REQUEST).min(MAX_CREDIT);
    }

    /// Takes one retry from the budget; `false` means that there must be none.
    pub fn try_acquire(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}

/// Share of a retry that each request earns.
const CREDIT_PER_REQUEST: f64 = 0.1;

/// Retries that can be saved up.
const MAX_CREDIT: f64 = 10.0;
