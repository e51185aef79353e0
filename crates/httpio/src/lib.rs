//! HTTP/1.1 over `hyper`: a server with limits and a client that can bind a local address.
//!
//! Every streamed response in fulmarline uses this crate. It exists because servers on blocking threads support
//! neither read timeouts nor detection of clients that disconnect (see
//! `docs/decisions/0002-http-libraries.md`). It handles sockets and bytes only and must not depend on models,
//! routing or any decision logic.

mod body;
mod body_framing;
mod body_sender;
pub mod boot_clock;
mod buffer_budget;
mod client_account;
mod client_connection;
mod client_stream;
mod client_table;
mod error_replacing_stream;
mod head_error;
mod http_client;
mod http_server;
mod pooled_response;
mod server_limits;

pub use body::{
    HttpBody, empty, full, read_for_client, read_into_share, read_limited, read_within_budget,
};
pub use body_framing::BodyFraming;
pub use body_sender::{BodySender, PeerDisconnected, stream};
pub use buffer_budget::{BufferBudget, BufferShare};
pub use client_account::{ClientAccount, ClientCounts, ClientHandle};
pub use client_connection::ClientConnection;
pub use client_table::{CONNECTION_BYTES, ClientId, ClientTable, MIN_HOLD_TIME, ScarceRoom};
pub use head_error::{HeadError, HeadErrorHandler};
pub use http_client::{ClientError, HttpClient, SendCondition};
pub use http_server::{HttpServer, ServerHandle, StopSignal, WriteDeadline};
pub use pooled_response::{PooledResponse, is_valid_status};
pub use server_limits::ServerLimits;

pub use hyper::body::Incoming;
pub use hyper::header::HeaderValue;
pub use hyper::{HeaderMap, Method, Request, Response, StatusCode, header};
