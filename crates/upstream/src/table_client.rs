//! The client of the table service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::Deserialize;

use crate::call_error::CallError;
use crate::http_caller::{HttpCaller, encode};
use crate::table_error::TableError;
use crate::table_row::TableRow;
use crate::table_transaction::TableTransaction;

/// Reads and writes rows, and counts what it sends, because the table's rate is shared by the whole deployment.
#[derive(Clone, Debug)]
pub struct TableClient {
    caller: HttpCaller,
    counts: Arc<TableCounts>,
}

/// Calls sent since the start of the process.
#[derive(Debug, Default)]
struct TableCounts {
    reads: AtomicU64,
    writes: AtomicU64,
}

#[derive(Deserialize)]
struct ScanAnswer {
    rows: Vec<TableRow>,
}

#[derive(Deserialize)]
struct CommitAnswer {
    version: u64,
}

#[derive(Deserialize)]
struct ConflictAnswer {
    key: String,
}

impl TableClient {
    /// Creates a client of the table at `address`; each call ends after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            caller: HttpCaller::new(address, timeout),
            counts: Arc::default(),
        }
    }

    /// Reads the row with `key`.
    ///
    /// # Errors
    ///
    /// Any [`TableError`] but a conflict; a read has no effect either way.
    pub fn read(&self, key: &str) -> Result<Option<TableRow>, TableError> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let answer = self
            .caller
            .get(&format!("/table/row?key={}", encode(key)))?;
        match answer.decode() {
            Ok(row) => Ok(Some(row)),
            Err(CallError::NotFound) => Ok(None),
            Err(err) => Err(err.into()),
        }
    }

    /// Reads at most `limit` rows whose keys start with `prefix` and come after `after`, in key order.
    ///
    /// # Errors
    ///
    /// As [`TableClient::read`].
    pub fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<TableRow>, TableError> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let path = format!(
            "/table/scan?prefix={}&after={}&limit={limit}",
            encode(prefix),
            encode(after)
        );
        let answer: ScanAnswer = self.caller.get(&path)?.decode()?;
        Ok(answer.rows)
    }

    /// Applies `transaction` and returns the version that its rows now have.
    ///
    /// # Errors
    ///
    /// [`TableError::OutcomeUnknown`] leaves open whether the transaction was applied: read back a row that only this
    /// transaction can have written.
    pub fn transact(&self, transaction: &TableTransaction) -> Result<u64, TableError> {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        let answer = self.caller.post("/table/transact", transaction)?;
        if answer.status == CONFLICT_STATUS {
            let conflict: Result<ConflictAnswer, _> = serde_json::from_slice(&answer.body);
            let key = conflict.map(|it| it.key).unwrap_or_default();
            return Err(TableError::Conflict { key });
        }
        let commit: CommitAnswer = answer.decode()?;
        Ok(commit.version)
    }

    /// Returns the reads and writes sent since the client was created.
    pub fn call_counts(&self) -> (u64, u64) {
        (
            self.counts.reads.load(Ordering::Relaxed),
            self.counts.writes.load(Ordering::Relaxed),
        )
    }
}

/// HTTP status of an expectation that did not hold.
const CONFLICT_STATUS: u16 = 409;
