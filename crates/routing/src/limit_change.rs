//! Changes and states of limits, for logs and operators.

use std::time::Duration;

use crate::lifetime_id::LifetimeId;
use crate::request_rate::RequestRate;

/// A change of the limit of a replica; `None` is no limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// The replica.
    pub replica: LifetimeId,
    /// Limit before the change.
    pub before: Option<RequestRate>,
    /// Limit after the change.
    pub after: Option<RequestRate>,
}

/// The limit of a replica as one entry sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitState {
    /// The replica.
    pub replica: LifetimeId,
    /// Requests a second that it takes from all hosts together.
    pub limit: RequestRate,
    /// Time since the entry learned of this value.
    pub since: Duration,
    /// Time since the newest response with it that any entry has told of.
    pub confirmed: Duration,
    /// Turns that the entry may use now.
    pub turns: usize,
    /// Turns that the entry has used since the limit began.
    pub used: u64,
    /// Turns of the entry that have lapsed since the limit began.
    pub lapsed: u64,
}
