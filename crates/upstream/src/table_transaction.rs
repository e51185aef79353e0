//! Transactions of the table service.

use serde::{Deserialize, Serialize};

/// Writes that are applied atomically if all preconditions hold, and not at all otherwise.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// The preconditions.
    pub expect: Vec<RowPrecondition>,
    /// Rows to write.
    pub put: Vec<RowWrite>,
    /// Keys of rows to delete.
    pub delete: Vec<String>,
}

/// A precondition: the version that a row must have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowPrecondition {
    /// The key.
    pub key: String,
    /// The version, or `None` if the row must not exist.
    pub version: Option<u64>,
}

/// A row to write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowWrite {
    /// The key.
    pub key: String,
    /// The new value.
    pub value: serde_json::Value,
}

impl TableTransaction {
    /// Adds a precondition.
    #[must_use]
    pub fn expect(mut self, key: impl Into<String>, version: Option<u64>) -> Self {
        self.expect.push(RowPrecondition {
            key: key.into(),
            version,
        });
        self
    }

    /// Adds a row to write.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: serde_json::Value) -> Self {
        self.put.push(RowWrite {
            key: key.into(),
            value,
        });
        self
    }
}
