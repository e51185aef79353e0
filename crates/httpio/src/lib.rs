//! HTTP/1.1 edges over `hyper`: a server with limits and a client that can bind a local address.
//!
//! Every streamed answer in fulmarline passes through here. The crate exists because `rouille` and `tiny_http`
//! offer neither read timeouts nor notice of a caller that went away
//! (see `docs/decisions/0002-http-libraries.md`). It knows sockets and bytes; it must not know
//! models, routing or any decision.

mod body;
mod closing_stream;
mod guarded_socket;
mod head_error;
mod http_client;
mod http_server;
mod server_limits;

pub use body::{BodySender, HttpBody, empty, full, read_limited, stream};
pub use head_error::{HeadError, HeadErrorHandler};
pub use http_client::{ClientError, HttpClient, PooledResponse};
pub use http_server::{HttpServer, ServerHandle, StopSignal};
pub use server_limits::ServerLimits;

pub use hyper::body::Incoming;
pub use hyper::header::HeaderValue;
pub use hyper::{HeaderMap, Method, Request, Response, StatusCode, header};
