//! Stored record of an order with an idempotency key.

use std::net::SocketAddr;

use model::{AttemptId, HostName, Incarnation};
use serde::{Deserialize, Serialize};

/// Table row for one idempotency key of an organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRow {
    /// Digest of method, path and body, which detects reuse of the key for a different request.
    pub fingerprint: String,
    /// Attempt that holds the claim.
    pub attempt: AttemptId,
    /// The only gate that the attempt may be sent to.
    pub gate: OrderGate,
    /// Time of the claim, in milliseconds since the Unix epoch.
    pub claimed_ms: u64,
    /// Time after which a repeated call may request revocation of the attempt, in milliseconds since the Unix epoch.
    pub dispatch_until_ms: u64,
    /// Time after which the row may be deleted, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    /// Progress of the order.
    pub state: OrderState,
}

impl OrderRow {
    /// Returns whether a host whose time of day is `now_ms` may delete or replace the row of a finished order.
    ///
    /// The time of expiry is that of another host's time of day, which may be behind. A row that is kept for longer costs
    /// room; one that is replaced too early makes an order run twice.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        self.expires_ms.saturating_add(CLOCK_GRACE_MS) < now_ms
    }
}

/// Gate that a claimed order is bound to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderGate {
    /// Host of the target.
    pub host: HostName,
    /// Incarnation of the agent process that decides whether the attempt runs.
    pub incarnation: Incarnation,
    /// Address for requests.
    pub gate: SocketAddr,
    /// Address of the control interface, which accepts revocations.
    pub control: SocketAddr,
}

/// Progress of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderState {
    /// Claimed by an attempt that may be running.
    Claimed,
    /// Executed with this outcome.
    Done(OrderOutcome),
    /// Execution could not be determined, so the order is never run again.
    Unknown,
}

/// Recorded response of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderOutcome {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// Response body as text, or hex-encoded if it is not valid UTF-8.
    pub body: String,
    /// Whether the body is hex-encoded.
    pub is_hex: bool,
}

/// Longest time by which a host's time of day may be ahead of another one's, in milliseconds.
const CLOCK_GRACE_MS: u64 = 60 * 60 * 1000;
