//! The table row of an order with an idempotency key.

use std::net::SocketAddr;

use model::{AttemptId, HostName, Incarnation};
use serde::{Deserialize, Serialize};

/// What the table holds about one key of an organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRow {
    /// Digest of method, path and body, so that a key used for another request is noticed.
    pub fingerprint: String,
    /// The attempt that holds the claim.
    pub attempt: AttemptId,
    /// The only gate that the attempt may go to.
    pub gate: OrderGate,
    /// Milliseconds since the epoch at which the claim was made.
    pub claimed_ms: u64,
    /// Milliseconds since the epoch after which a repeat may ask the gate to revoke the attempt.
    pub dispatch_until_ms: u64,
    /// Milliseconds since the epoch after which the row may be deleted.
    pub expires_ms: u64,
    /// How far the order is.
    pub state: OrderState,
}

/// Where a claimed order goes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderGate {
    /// The target's host.
    pub host: HostName,
    /// The agent process that decides on the attempt.
    pub incarnation: Incarnation,
    /// Where requests go.
    pub gate: SocketAddr,
    /// Where the attempt can be revoked.
    pub control: SocketAddr,
}

/// How far an order is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderState {
    /// It may be running.
    Claimed,
    /// It ran, with this outcome.
    Done(OrderOutcome),
    /// Nobody can tell whether it ran, so it is never run again.
    Unknown,
}

/// The recorded answer of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderOutcome {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// The body as text, or as hex where it is not UTF-8.
    pub body: String,
    /// Whether the body is hex.
    pub is_hex: bool,
}
