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
    /// Returns when the engine or service of the agent ended in Unix milliseconds, or `None` if it runs or its state is
    /// not known. Calls about the same end return the same time.
    async fn back_end_ended_at() -> Option<u64>;
}
