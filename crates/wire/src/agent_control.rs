//! Control calls that an agent answers.

// The macro writes items without doc comments of their own.
#![allow(missing_docs)]

use model::{AttemptId, Incarnation};

use crate::revoke_outcome::RevokeOutcome;

/// What entries ask of an agent.
#[tarpc::service]
pub trait AgentControl {
    /// Makes sure that an attempt meant for `incarnation` never starts, or tells how far it has come.
    async fn revoke(attempt: AttemptId, incarnation: Incarnation) -> RevokeOutcome;
}
