//! A client for the table service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::Deserialize;

use crate::call_error::CallError;
use crate::http_transport::{HttpTransport, percent_encode};
use crate::table_error::TableError;
use crate::table_row::TableRow;
use crate::table_transaction::TableTransaction;

/// A client that reads and writes rows. It counts its calls, because the whole deployment shares the table's
/// rate limit.
#[derive(Clone, Debug)]
pub struct TableClient {
    transport: HttpTransport,
    counts: Arc<CallCounts>,
}

/// The number of calls since the client was created.
#[derive(Debug, Default)]
struct CallCounts {
    reads: AtomicU64,
    writes: AtomicU64,
}

#[derive(Deserialize)]
struct ScanResponse {
    rows: Vec<TableRow>,
}

#[derive(Deserialize)]
struct CommitResponse {
    version: u64,
}

#[derive(Deserialize)]
struct ConflictResponse {
    key: String,
}

impl TableClient {
    /// Creates a client for the table at `address`, with `timeout` for each call.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            transport: HttpTransport::new(address, timeout),
            counts: Arc::default(),
        }
    }

    /// Reads the row with `key`.
    ///
    /// # Errors
    ///
    /// Returns any [`TableError`] except [`TableError::Conflict`]. A read never has an effect.
    pub fn read(&self, key: &str) -> Result<Option<TableRow>, TableError> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let response = self
            .transport
            .get(&format!("/table/row?key={}", percent_encode(key)))?;
        match response.decode() {
            Ok(row) => Ok(Some(row)),
            Err(CallError::NotFound) => Ok(None),
            Err(err) => Err(err.into()),
        }
    }

    /// Reads at most `limit` rows whose keys start with `prefix` and come after `after`, in key order.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`TableClient::read`].
    pub fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<TableRow>, TableError> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let path = format!(
            "/table/scan?prefix={}&after={}&limit={limit}",
            percent_encode(prefix),
            percent_encode(after)
        );
        let response: ScanResponse = self.transport.get(&path)?.decode()?;
        Ok(response.rows)
    }

    /// Applies `transaction` and returns the new version of its rows.
    ///
    /// # Errors
    ///
    /// After [`TableError::OutcomeUnknown`], the transaction may or may not have been applied. To find out,
    /// read a row that only this transaction can have written.
    pub fn transact(&self, transaction: &TableTransaction) -> Result<u64, TableError> {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        let response = self.transport.post("/table/transact", transaction)?;
        if response.status == CONFLICT_STATUS {
            let conflict: Result<ConflictResponse, _> = serde_json::from_slice(&response.body);
            let key = conflict.map(|it| it.key).unwrap_or_default();
            return Err(TableError::Conflict { key });
        }
        let commit: CommitResponse = response.decode()?;
        Ok(commit.version)
    }

    /// Returns the numbers of reads and writes since the client was created.
    pub fn call_counts(&self) -> (u64, u64) {
        (
            self.counts.reads.load(Ordering::Relaxed),
            self.counts.writes.load(Ordering::Relaxed),
        )
    }
}

/// The HTTP status for a failed precondition.
const CONFLICT_STATUS: u16 = 409;
