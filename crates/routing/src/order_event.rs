//! What happens to an order and what is to be done about it.

use model::ResultCode;

use crate::admission_gate::RevokeReply;
use crate::order_row::{OrderOutcome, OrderRow};

/// Something that happened to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEvent {
    /// The write that was asked for is applied; the row has this version now.
    Written(u64),
    /// The write did not happen, because the row had changed.
    Conflict,
    /// The write may or may not have happened.
    WriteUnconfirmed,
    /// The table is down or refuses; a write that was asked for did not happen.
    TableUnavailable,
    /// The row with its version, or that there is none.
    Read(Option<(OrderRow, u64)>),
    /// The service answered.
    Answered(OrderOutcome),
    /// The gate, or the lack of a connection, proves that the attempt has not run.
    Refused(ResultCode),
    /// The gate refused, and this row moves the claim to another gate under a new attempt.
    Redirected(OrderRow),
    /// The connection ended without an answer.
    ConnectionLost,
    /// The deadline passed while the answer may still come.
    DeadlinePassed,
    /// The gate's word on an attempt.
    RevokeReplied(RevokeReply),
    /// The gate could not be asked.
    RevokeFailed,
}

/// Something to do; the edge reports back with the matching event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Read the row.
    Read,
    /// Write the row if its version still is `expect`, or if it is absent for `None`.
    Write {
        /// The version that the row must have.
        expect: Option<u64>,
        /// The new row.
        row: OrderRow,
    },
    /// Delete the row if its version still is `expect`.
    Delete {
        /// The version that the row must have.
        expect: u64,
    },
    /// Send the request to the claimed gate.
    Dispatch,
    /// Ask a gate to revoke the attempt of `row`.
    Revoke(OrderRow),
    /// Answer the caller; the first answer counts, what follows it is bookkeeping.
    Answer(OrderAnswer),
    /// Nothing is left to do.
    Stop,
}

/// What the caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order ran now.
    Ran(OrderOutcome),
    /// The order had run before.
    Replayed(OrderOutcome),
    /// Anything else.
    Refused(ResultCode),
}
