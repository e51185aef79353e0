//! What goes into the queue and what comes out of it.

use std::time::{Duration, Instant};

use model::{OrganisationName, OverloadCause, ResultCode};

/// Names one waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueTicket(pub u64);

/// A request that asks to wait for a target.
#[derive(Clone, Copy, Debug)]
pub struct QueueRequest<'a> {
    /// Whose share it counts against.
    pub organisation: &'a OrganisationName,
    /// The organisation's weight, at least 1.
    pub weight: u32,
    /// Priority among the organisation's own requests, 0 (low) to 9 (high).
    pub priority: u8,
    /// Work that it stands for, in tokens.
    pub cost: u32,
    /// When it must have started to end before its deadline.
    pub latest_start: Instant,
}

/// Bounds of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Requests that wait at once.
    pub max_waiting: usize,
    /// Longest wait that a request is let in for.
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

/// A refusal at once, before anything ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRefusal {
    /// What the caller is told.
    pub code: ResultCode,
    /// What it says about the load.
    pub cause: OverloadCause,
    /// When a repeat is likely to be let in.
    pub retry_after: Duration,
}
