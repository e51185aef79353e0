//! A client for the platform's host list.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use model::{HostName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::call_error::CallError;
use crate::http_transport::HttpTransport;

/// A client for the list of live and leaving hosts. The list lags behind the actual state.
#[derive(Clone, Debug)]
pub struct HostListClient {
    transport: HttpTransport,
}

/// A host in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// The host's name.
    pub host: HostName,
    /// The host's address.
    pub ip: IpAddr,
    /// The host's availability zone.
    pub zone: ZoneName,
    /// The state that the platform reports for the host.
    pub state: ListedHostState,
}

/// The state that the platform reports for a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedHostState {
    /// The host is in use.
    Live,
    /// The host is about to be removed.
    Leaving,
}

#[derive(Deserialize)]
struct ListResponse {
    hosts: Vec<ListedHost>,
}

impl HostListClient {
    /// Creates a client for the list at `address`, with `timeout` for each call.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            transport: HttpTransport::new(address, timeout),
        }
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the call fails.
    pub fn hosts(&self) -> Result<Vec<ListedHost>, CallError> {
        let response: ListResponse = self.transport.get("/hosts")?.decode()?;
        Ok(response.hosts)
    }
}
