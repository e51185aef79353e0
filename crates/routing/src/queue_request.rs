//! Input and output types of the fair queue.

use std::time::{Duration, Instant};

use model::{OrganisationName, OverloadCause, ResultCode};

/// Identifies a queued request. Among requests of the same organisation and priority, the lowest ticket is first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueTicket(pub u64);

/// Request to be queued until a target is available.
#[derive(Clone, Copy, Debug)]
pub struct QueueRequest<'a> {
    /// Organisation whose share the request uses.
    pub organisation: &'a OrganisationName,
    /// Weight of the organisation, at least 1.
    pub weight: u32,
    /// Priority among the organisation's own requests, 0 (low) to 9 (high).
    pub priority: u8,
    /// Estimated work, in tokens.
    pub cost: u32,
    /// Latest start time that still meets the request's deadline.
    pub latest_start: Instant,
}

/// Limits of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Maximum number of queued requests.
    pub max_waiting: usize,
    /// Maximum expected wait of a request that is accepted.
    pub max_wait: Duration,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self {
            max_waiting: 1024,
            max_wait: Duration::from_secs(1),
        }
    }
}

/// Refusal of a request that has not been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRefusal {
    /// Result code of the response to the caller.
    pub code: ResultCode,
    /// Cause of the overload.
    pub cause: OverloadCause,
    /// Time after which a retry will probably be accepted.
    pub retry_after: Duration,
}
