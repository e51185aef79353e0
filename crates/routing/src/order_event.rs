//! Events and actions of [`OrderStateMachine`](crate::OrderStateMachine).

use model::ResultCode;

use crate::admission_gate::RevokeReply;
use crate::order_row::{OrderOutcome, OrderRow};

/// Input of the state machine: the result of an action, or an event of the attempt in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEvent {
    /// The requested write was applied and the row now has this version.
    Written(u64),
    /// The write was not applied because the row's version had changed.
    Conflict,
    /// It is unknown whether the write was applied.
    WriteUnconfirmed,
    /// The table is unavailable or refuses requests; a requested write was not applied.
    TableUnavailable,
    /// The row and its version, or `None` if the row does not exist.
    Read(Option<(OrderRow, u64)>),
    /// The service responded.
    Responded(OrderOutcome),
    /// The attempt did not run: the gate refused it, or no connection could be established.
    Refused(ResultCode),
    /// The gate refused the attempt; this row moves the claim to another gate under a new attempt id.
    Redirected(OrderRow),
    /// The connection closed before a response arrived.
    ConnectionLost,
    /// The deadline passed, but a response may still arrive.
    DeadlinePassed,
    /// The gate replied to a revocation request.
    RevokeReplied(RevokeReply),
    /// The revocation request did not reach the gate or got no reply.
    RevokeFailed,
}

/// Output of the state machine; the caller executes it and passes the resulting event back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Read the row.
    Read,
    /// Write the row if its version is `expect`; `None` requires that the row does not exist.
    Write {
        /// Required version of the stored row.
        expect: Option<u64>,
        /// New content of the row.
        row: OrderRow,
    },
    /// Delete the row if its version is `expect`.
    Delete {
        /// Required version of the stored row.
        expect: u64,
    },
    /// Send the request to the gate named in the claim.
    Dispatch,
    /// Request that the gate of this row revokes its attempt.
    Revoke(OrderRow),
    /// Respond to the caller. Emitted at most once; later actions only update the stored row.
    Respond(OrderResponse),
    /// The state machine has terminated.
    Stop,
}

/// Response to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// The order was executed by this call.
    Ran(OrderOutcome),
    /// The order was executed by an earlier call.
    Replayed(OrderOutcome),
    /// The call failed with this code.
    Refused(ResultCode),
}
