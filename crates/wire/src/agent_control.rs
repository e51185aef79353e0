//! The control service of agents.

// The items that the macro generates have no doc comments.
#![allow(missing_docs)]

use model::{AttemptId, Incarnation};

use crate::revoke_outcome::RevokeOutcome;

/// The calls that entries make to an agent.
#[tarpc::service]
pub trait AgentControl {
    /// Prevents an attempt that was sent to `incarnation` from starting, or returns its state if it was already
    /// admitted.
    async fn revoke(attempt: AttemptId, incarnation: Incarnation) -> RevokeOutcome;
}
