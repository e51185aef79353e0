//! Garbage collection of expired order rows.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use routing::OrderRow;
use slog::{Logger, debug};
use upstream::{TableClient, TableError, TableRow, TableTransaction};

use crate::calls::order_driver;
use crate::calls::order_table::ORDER_PREFIX;
use crate::control::SnapshotCell;

/// Scans the order rows page by page and deletes expired ones, until the runtime shuts down.
///
/// All entries sweep, at intervals proportional to their number, so that no leader election is needed.
pub(crate) async fn sweep_loop(table: TableClient, snapshots: Arc<SnapshotCell>, log: Logger) {
    let mut after_key = String::new();
    loop {
        let entry_count = snapshots.load().entries.len() as u32 + 1;
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep((PAGE_INTERVAL * entry_count).mul_f64(jitter)).await;
        let (client, start_key) = (table.clone(), after_key.clone());
        let page = tokio::task::spawn_blocking(move || sweep_page(&client, &start_key)).await;
        after_key = match page {
            Ok(Ok(next)) => next,
            failure => {
                debug!(log, "order sweep failed"; "result" => ?failure);
                after_key
            }
        };
    }
}

/// Deletes the expired rows of the page after `after_key`, and returns the key after which the next page starts.
fn sweep_page(table: &TableClient, after_key: &str) -> Result<String, TableError> {
    let rows = table.scan(ORDER_PREFIX, after_key, PAGE_ROWS)?;
    let mut transaction = TableTransaction::default();
    for row in rows.iter().filter(|it| is_expired(it)) {
        transaction = transaction.expect(&row.key, Some(row.version));
        transaction.delete.push(row.key.clone());
    }
    if !transaction.delete.is_empty() {
        table.transact(&transaction)?;
    }
    let last = rows.last().filter(|_| rows.len() == PAGE_ROWS);
    Ok(last.map_or_else(String::new, |it| it.key.clone()))
}

fn is_expired(row: &TableRow) -> bool {
    let order = serde_json::from_value::<OrderRow>(row.value.clone());
    order.is_ok_and(|it| it.is_expired(order_driver::now_ms()))
}

/// Interval between pages, per entry of the deployment.
const PAGE_INTERVAL: Duration = Duration::from_secs(5);

/// Number of rows per page.
const PAGE_ROWS: usize = 200;
