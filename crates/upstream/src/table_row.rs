//! Rows of the table service.

use serde::{Deserialize, Serialize};

/// A key with its value and version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// The key.
    pub key: String,
    /// The value.
    pub value: serde_json::Value,
    /// The version, which increases with every write of the row.
    pub version: u64,
}
