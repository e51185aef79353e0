//! Clients for external services: the table service, the object store, the weight sources, the host list and
//! the control interface of model engines.
//!
//! The contract of these services is `docs/PLATFORM.md`. Every call blocks its thread and has a timeout, and
//! every error states whether the call may have had an effect. This crate must not contain any decision logic:
//! it neither retries calls nor selects services.

mod call_error;
mod engine_client;
mod engine_state;
mod host_list_client;
mod http_transport;
mod object_client;
mod source_client;
mod table_client;
mod table_error;
mod table_row;
mod table_transaction;

pub use call_error::CallError;
pub use engine_client::{EngineClient, LoadError, LoadOrder};
pub use engine_state::{EnginePhase, EngineState};
pub use host_list_client::{HostListClient, ListedHost, ListedHostState};
pub use object_client::ObjectClient;
pub use source_client::SourceClient;
pub use table_client::TableClient;
pub use table_error::TableError;
pub use table_row::TableRow;
pub use table_transaction::{RowPrecondition, RowWrite, TableTransaction};
