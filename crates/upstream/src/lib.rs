//! Clients of what stands outside: the table service, the object store, the weight sources, the host list and the
//! engine's control calls.
//!
//! The contract is `docs/PLATFORM.md`. Every call blocks its thread and has a timeout, and every error says whether the
//! call may have had an effect. The crate must not know any decision: it neither retries nor chooses.

mod call_error;
mod engine_client;
mod engine_state;
mod host_list_client;
mod http_caller;
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
