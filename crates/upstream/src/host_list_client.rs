//! The client of the platform's host list.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use model::{HostName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::call_error::CallError;
use crate::http_caller::HttpCaller;

/// Reads the list of live and leaving hosts, which lags.
#[derive(Clone, Debug)]
pub struct HostListClient {
    caller: HttpCaller,
}

/// One host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// The host's name.
    pub host: HostName,
    /// The host's address.
    pub ip: IpAddr,
    /// The host's availability zone.
    pub zone: ZoneName,
    /// What the platform says of it.
    pub state: ListedHostState,
}

/// What the platform says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedHostState {
    /// The host is in use.
    Live,
    /// The host is about to be taken away.
    Leaving,
}

#[derive(Deserialize)]
struct ListAnswer {
    hosts: Vec<ListedHost>,
}

impl HostListClient {
    /// Creates a client of the list at `address`; each call ends after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            caller: HttpCaller::new(address, timeout),
        }
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub fn hosts(&self) -> Result<Vec<ListedHost>, CallError> {
        let answer: ListAnswer = self.caller.get("/hosts")?.decode()?;
        Ok(answer.hosts)
    }
}
