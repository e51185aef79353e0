//! Rows of the table service.

use serde::{Deserialize, Serialize};

/// One row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// The key.
    pub key: String,
    /// The value.
    pub value: serde_json::Value,
    /// Grows with every write of the row.
    pub version: u64,
}
