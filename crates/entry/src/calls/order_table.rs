//! Access to order rows in the platform's table.

use model::{OrganisationName, ServiceName};
use routing::{OrderEvent, OrderRow};
use upstream::{TableClient, TableError, TableTransaction};

/// Handle to the row of one order.
#[derive(Clone, Debug)]
pub(crate) struct OrderTable {
    table: TableClient,
    key: String,
}

impl OrderTable {
    /// Creates a handle to the row of `key`, which is hashed because it may contain any bytes and be long.
    pub(crate) fn new(
        table: TableClient,
        organisation: &OrganisationName,
        service: &ServiceName,
        key: &str,
    ) -> Self {
        let digest = blake3::hash(key.as_bytes());
        Self {
            table,
            key: format!("{ORDER_PREFIX}{organisation}/{service}/{digest}"),
        }
    }

    pub(crate) async fn read(&self) -> OrderEvent {
        let this = self.clone();
        let read = move || {
            let Ok(stored) = this.table.read(&this.key) else {
                return OrderEvent::TableUnavailable;
            };
            let Some(stored) = stored else {
                return OrderEvent::Read(None);
            };
            match serde_json::from_value::<OrderRow>(stored.value) {
                Ok(row) => OrderEvent::Read(Some((row, stored.version))),
                // A row that cannot be parsed may belong to an order that ran, so it must not count as absent.
                Err(_) => OrderEvent::TableUnavailable,
            }
        };
        run_blocking(read, OrderEvent::TableUnavailable).await
    }

    pub(crate) async fn write(&self, expect: Option<u64>, row: &OrderRow) -> OrderEvent {
        let value = serde_json::to_value(row).expect("an order row is serializable");
        let transaction = TableTransaction::default()
            .expect(&self.key, expect)
            .put(&self.key, value);
        self.transact(transaction).await
    }

    pub(crate) async fn delete(&self, expect: u64) -> OrderEvent {
        let mut transaction = TableTransaction::default().expect(&self.key, Some(expect));
        transaction.delete.push(self.key.clone());
        self.transact(transaction).await
    }

    async fn transact(&self, transaction: TableTransaction) -> OrderEvent {
        let table = self.table.clone();
        let transact = move || match table.transact(&transaction) {
            Ok(version) => OrderEvent::Written(version),
            Err(TableError::Conflict { .. }) => OrderEvent::Conflict,
            Err(TableError::Unavailable(_)) => OrderEvent::TableUnavailable,
            Err(TableError::OutcomeUnknown(_)) => OrderEvent::WriteUnconfirmed,
        };
        run_blocking(transact, OrderEvent::WriteUnconfirmed).await
    }
}

async fn run_blocking<T: Send + 'static>(
    task: impl FnOnce() -> T + Send + 'static,
    fallback: T,
) -> T {
    tokio::task::spawn_blocking(task).await.unwrap_or(fallback)
}

/// Key prefix of order rows.
pub(crate) const ORDER_PREFIX: &str = "order/";
