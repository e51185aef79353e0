//! Claims and outcomes of orders that may not be repeated.

use model::{AttemptId, OrganisationName, RequestId, ResultCode, ServiceName};
use platform::{TableClient, TableError, TableTransaction};
use serde::{Deserialize, Serialize};

use crate::calls::call_refusal::CallRefusal;

/// Keeps one row an order in the table.
#[derive(Clone, Debug)]
pub(crate) struct OrderBook {
    table: TableClient,
}

/// The row of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OrderRow {
    pub(crate) attempt: AttemptId,
    pub(crate) request: RequestId,
    /// Digest of method, path and body, so that a key cannot stand for two orders.
    pub(crate) digest: String,
    pub(crate) state: OrderState,
}

/// How far an order has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OrderState {
    /// An entry is about to send it, or has sent it.
    Claimed,
    /// It ran, and this was the answer.
    Done {
        /// HTTP status.
        status: u16,
        /// The answer's body.
        body: String,
        /// The answer's content type.
        content_type: Option<String>,
    },
    /// It may have run; nobody knows.
    Unknown,
}

/// What a claim found.
#[derive(Debug)]
pub(crate) enum ClaimOutcome {
    /// The order is this entry's to send; the row has this version.
    Claimed(u64),
    /// The order was claimed before.
    Known(OrderRow),
}

/// Names the row of an order.
pub(crate) fn order_key(
    organisation: &OrganisationName,
    service: &ServiceName,
    key: &str,
) -> String {
    format!(
        "order/{organisation}/{service}/{}",
        blake3::hash(key.as_bytes())
    )
}

impl OrderBook {
    pub(crate) fn new(table: TableClient) -> Self {
        Self { table }
    }

    /// Claims an order before anything is sent.
    pub(crate) fn claim(&self, key: &str, row: &OrderRow) -> Result<ClaimOutcome, CallRefusal> {
        let transaction = TableTransaction::default()
            .expect(key, None)
            .put(key, to_value(row));
        match self.table.transact(&transaction) {
            Ok(version) => Ok(ClaimOutcome::Claimed(version)),
            Err(TableError::Unavailable(reason)) => Err(unavailable(&reason)),
            Err(TableError::Conflict { .. } | TableError::Unknown(_)) => self.settle(key, row),
        }
    }

    /// Reads the row back after a conflict or a lost reply; the attempt id tells whose claim it is.
    fn settle(&self, key: &str, row: &OrderRow) -> Result<ClaimOutcome, CallRefusal> {
        let found = self
            .table
            .read(key)
            .map_err(|err| unavailable(&err.to_string()))?;
        let Some(found) = found else {
            return Err(unavailable("the claim was not applied"));
        };
        let known: OrderRow = serde_json::from_value(found.value)
            .map_err(|err| CallRefusal::new(ResultCode::Internal, err.to_string()))?;
        if known.attempt == row.attempt && known.state == OrderState::Claimed {
            return Ok(ClaimOutcome::Claimed(found.version));
        }
        Ok(ClaimOutcome::Known(known))
    }

    /// Records what became of an order.
    pub(crate) fn record(&self, key: &str, version: u64, row: &OrderRow) -> Result<(), TableError> {
        let transaction = TableTransaction::default()
            .expect(key, Some(version))
            .put(key, to_value(row));
        self.table.transact(&transaction).map(drop)
    }

    /// Removes the claim of an order that did not run, so that a repeat may run it.
    pub(crate) fn release(&self, key: &str, version: u64) -> Result<(), TableError> {
        let mut transaction = TableTransaction::default().expect(key, Some(version));
        transaction.delete.push(key.to_string());
        self.table.transact(&transaction).map(drop)
    }
}

fn unavailable(reason: &str) -> CallRefusal {
    CallRefusal::new(
        ResultCode::TableUnavailable,
        format!("the order was not started: {reason}"),
    )
}

fn to_value(row: &OrderRow) -> serde_json::Value {
    serde_json::to_value(row).expect("an order row is plain data")
}
