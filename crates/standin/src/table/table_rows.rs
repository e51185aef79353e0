//! The rows and transactions of the table.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// All rows, ordered by key.
#[derive(Debug, Default)]
pub(crate) struct TableRows {
    rows: BTreeMap<String, StoredRow>,
    version: u64,
}

#[derive(Clone, Debug)]
struct StoredRow {
    value: Value,
    version: u64,
}

/// A row as returned to clients.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct RowResponse {
    key: String,
    value: Value,
    version: u64,
}

/// A transaction. Its writes are applied atomically if all expectations hold, otherwise none is applied.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Transaction {
    #[serde(default)]
    expect: Vec<Expectation>,
    #[serde(default)]
    put: Vec<PutRow>,
    #[serde(default)]
    delete: Vec<String>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Expectation {
    key: String,
    /// Version that the row must have, or `None` if the row must not exist.
    version: Option<u64>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PutRow {
    key: String,
    value: Value,
}

/// The response to a conflict, with the key of the first expectation that did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct FailedExpectation {
    key: String,
}

impl TableRows {
    pub(crate) fn get(&self, key: &str) -> Option<RowResponse> {
        self.rows.get(key).map(|it| row_response(key, it))
    }

    pub(crate) fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<RowResponse> {
        let start = match after >= prefix {
            true => Bound::Excluded(after),
            false => Bound::Included(prefix),
        };
        self.rows
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(key, row)| row_response(key, row))
            .collect()
    }

    pub(crate) fn transact(&mut self, transaction: Transaction) -> Result<u64, FailedExpectation> {
        for expectation in transaction.expect {
            let version = self.rows.get(&expectation.key).map(|it| it.version);
            if version != expectation.version {
                let key = expectation.key;
                return Err(FailedExpectation { key });
            }
        }
        self.version += 1;
        for put in transaction.put {
            let version = self.version;
            let value = put.value;
            self.rows.insert(put.key, StoredRow { value, version });
        }
        for key in transaction.delete {
            self.rows.remove(&key);
        }
        Ok(self.version)
    }
}

fn row_response(key: &str, row: &StoredRow) -> RowResponse {
    RowResponse {
        key: key.to_owned(),
        value: row.value.clone(),
        version: row.version,
    }
}
