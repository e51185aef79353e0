//! The rows of the table.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// All rows, in key order.
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

/// One row as callers see it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct RowAnswer {
    key: String,
    value: Value,
    version: u64,
}

/// A transaction: all expectations hold and all writes are applied, or nothing is.
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
    version: Option<u64>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PutRow {
    key: String,
    value: Value,
}

/// Key of the first expectation that did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct FailedExpectation {
    key: String,
}

impl TableRows {
    pub(crate) fn get(&self, key: &str) -> Option<RowAnswer> {
        self.rows.get(key).map(|it| answer(key, it))
    }

    pub(crate) fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<RowAnswer> {
        let from = match after >= prefix {
            true => Bound::Excluded(after),
            false => Bound::Included(prefix),
        };
        self.rows
            .range::<str, _>((from, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(key, row)| answer(key, row))
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

fn answer(key: &str, row: &StoredRow) -> RowAnswer {
    RowAnswer {
        key: key.to_owned(),
        value: row.value.clone(),
        version: row.version,
    }
}
