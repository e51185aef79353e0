//! Protocol by which a process requests the changes of a store table, or a newer configuration, from an entry of its
//! availability zone or one near the store.
//!
//! The crate contains the client and the request format that client and entry share. It must not depend on how an entry
//! follows the store or on the meaning of the rows.

pub use httpio::boot_clock;

use std::net::SocketAddr;
use std::time::Duration;

use fleet::{FeedResponse, FeedTable, PackedBytes, StorePosition};
use httpio::{HttpClient, Request, StatusCode};

/// A request for the changes of a table, encoded in the path of an HTTP request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayRequest {
    /// Table to follow.
    pub table: FeedTable,
    /// Position after which to return changes; `None` requests all rows.
    pub since: Option<StorePosition>,
    /// Whether the entry delays the response until there is a change, for at most [`LONG_POLL_TIMEOUT`].
    pub long_poll: bool,
}

impl RelayRequest {
    /// Returns the path that encodes the request.
    pub fn path(&self) -> String {
        let table = match self.table {
            FeedTable::Operator => OPERATOR_SEGMENT,
            FeedTable::Replicas => REPLICAS_SEGMENT,
        };
        let since = self.since.map_or_else(String::new, |it| it.to_string());
        let mode = if self.long_poll {
            LONG_POLL_SEGMENT
        } else {
            IMMEDIATE_SEGMENT
        };
        format!("/feed/{table}/{mode}/{since}")
    }

    /// Parses a request from its path.
    pub fn parse(path: &str) -> Option<Self> {
        let segments: Vec<&str> = path.strip_prefix("/feed/")?.split('/').collect();
        let [table, mode, since] = segments[..] else {
            return None;
        };
        let table = match table {
            OPERATOR_SEGMENT => FeedTable::Operator,
            REPLICAS_SEGMENT => FeedTable::Replicas,
            _ => return None,
        };
        let since = match since {
            "" => None,
            since => Some(since.parse().ok()?),
        };
        Some(Self {
            table,
            since,
            long_poll: mode == LONG_POLL_SEGMENT,
        })
    }
}

/// A response of an entry, with times since boot of this host.
#[derive(Debug)]
pub struct TimedResponse {
    /// The response.
    pub response: FeedResponse,
    /// When the request was sent.
    pub sent: Duration,
    /// When the response was received.
    pub received: Duration,
}

/// Fetches changes from the entry at `address`, whose copy of the table may be old; returns `None` if it has none yet.
///
/// # Errors
///
/// Returns the reason if the request fails or the response is invalid.
pub async fn fetch_changes(
    client: &HttpClient,
    address: SocketAddr,
    request: RelayRequest,
) -> Result<Option<TimedResponse>, String> {
    let http_request = Request::builder()
        .uri(request.path())
        .body(httpio::empty())
        .map_err(|it| it.to_string())?;
    let sent = boot_clock::now();
    let exchange = async {
        let pooled_response = client.send(address, http_request).await;
        let pooled_response = pooled_response.map_err(|it| it.to_string())?;
        Ok::<_, String>(pooled_response)
    };
    let head = tokio::time::timeout(LONG_POLL_TIMEOUT + RESPONSE_TIMEOUT, exchange).await;
    let pooled_response = head.unwrap_or_else(|_| Err("timed out".to_owned()))?;
    let body = async {
        // A body that still arrives is late, not lost: another request would only delay it more.
        let read =
            pooled_response.read_with_idle_timeout(client, MAX_RESPONSE_BYTES, RESPONSE_TIMEOUT);
        let response = read.await.map_err(|it| it.to_string())?;
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            return Ok(None);
        }
        if response.status() != StatusCode::OK {
            return Err(format!("HTTP status {}", response.status()));
        }
        let received = boot_clock::now();
        let response = postcard::from_bytes::<FeedResponse>(&response.into_body());
        let response = response.map_err(|it| it.to_string())?;
        Ok(Some(TimedResponse {
            response,
            sent,
            received,
        }))
    };
    let response = tokio::time::timeout(MAX_BODY_TIME, body).await;
    response.unwrap_or_else(|_| Err("timed out".to_owned()))
}

/// Returns the path of a request for a configuration that is newer than `version`.
pub fn config_path(version: u64) -> String {
    format!("{CONFIG_PREFIX}{version}")
}

/// Parses a path of [`config_path`].
pub fn parse_config_path(path: &str) -> Option<u64> {
    path.strip_prefix(CONFIG_PREFIX)?.parse().ok()
}

/// Fetches the configuration in force at the entry at `address`; returns `None` if it is not newer than `version`.
///
/// # Errors
///
/// Returns the reason if the request fails or the response is invalid.
pub async fn fetch_config(
    client: &HttpClient,
    address: SocketAddr,
    version: u64,
) -> Result<Option<Vec<u8>>, String> {
    let request = Request::builder()
        .uri(config_path(version))
        .body(httpio::empty())
        .map_err(|it| it.to_string())?;
    let exchange = async {
        let response = client.send(address, request).await;
        let response = response.map_err(|it| it.to_string())?;
        let read = response.read_with_idle_timeout(client, MAX_RESPONSE_BYTES, RESPONSE_TIMEOUT);
        let response = read.await.map_err(|it| it.to_string())?;
        if response.status() != StatusCode::OK {
            return Ok(None);
        }
        let packed = postcard::from_bytes::<PackedBytes>(&response.into_body());
        let packed = packed.map_err(|it| it.to_string())?;
        packed.unpack().map(Some).ok_or("damaged".to_owned())
    };
    let response = tokio::time::timeout(MAX_BODY_TIME, exchange).await;
    response.unwrap_or_else(|_| Err("timed out".to_owned()))
}

const CONFIG_PREFIX: &str = "/config/";
const OPERATOR_SEGMENT: &str = "operator";
const REPLICAS_SEGMENT: &str = "replicas";
const LONG_POLL_SEGMENT: &str = "hold";
const IMMEDIATE_SEGMENT: &str = "now";

/// Maximum time for which an entry delays a response. A frozen entry is detected only after this time, and a
/// configuration must take effect within 2 s of its acknowledgement.
pub const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for a response within an availability zone, in addition to the long poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time for a body that keeps arriving.
const MAX_BODY_TIME: Duration = Duration::from_secs(3);

/// Maximum size of a response, which may contain all rows of a table; several times as large as those of the largest site.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
