//! A simulated host list of the platform.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use httpio::{Method, ServerHandle, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::http_util;
use crate::standin_runtime::{self, StandinRuntime};

/// An HTTP server of a host list whose changes become visible after a configurable lag.
#[derive(Clone, Debug)]
pub struct HostList {
    shared: Arc<Mutex<HostListInner>>,
    server: ServerHandle,
}

/// A host in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name of the host.
    pub host: String,
    /// IP address of the host.
    pub ip: IpAddr,
    /// Availability zone of the host.
    pub zone: String,
    /// `live` or `leaving`.
    pub state: String,
}

#[derive(Debug)]
struct HostListInner {
    lag: Duration,
    changes: Vec<(Instant, Vec<ListedHost>)>,
}

impl HostList {
    /// Starts a server of an empty list whose changes become visible after `lag`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub fn start(
        runtime: &StandinRuntime,
        address: SocketAddr,
        lag: Duration,
    ) -> std::io::Result<Self> {
        let inner = HostListInner {
            lag,
            changes: Vec::new(),
        };
        let shared = Arc::new(Mutex::new(inner));
        let server_shared = shared.clone();
        let server = standin_runtime::serve(runtime.handle(), address, move |request, _| {
            let shared = server_shared.clone();
            async move {
                match (request.method(), request.uri().path()) {
                    (&Method::GET, "/hosts") => {
                        let hosts = visible_hosts(&shared, Instant::now());
                        http_util::json(StatusCode::OK, &json!({ "hosts": hosts }))
                    }
                    (&Method::POST, "/standin/hosts") => {
                        match http_util::read_json(request).await {
                            Ok(hosts) => {
                                replace_hosts(&shared, hosts, Instant::now());
                                http_util::json(StatusCode::OK, &json!({}))
                            }
                            Err(error_response) => *error_response,
                        }
                    }
                    _ => http_util::text(StatusCode::NOT_FOUND, "no such path"),
                }
            }
        })?;
        Ok(Self { shared, server })
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the entire list. The change becomes visible after the lag.
    pub fn set_hosts(&self, hosts: Vec<ListedHost>) {
        replace_hosts(&self.shared, hosts, Instant::now());
    }
}

fn replace_hosts(shared: &Mutex<HostListInner>, hosts: Vec<ListedHost>, now: Instant) {
    let mut inner = shared
        .lock()
        .expect("no thread panics while it holds the host list lock");
    inner.changes.push((now, hosts));
}

fn visible_hosts(shared: &Mutex<HostListInner>, now: Instant) -> Vec<ListedHost> {
    let inner = shared
        .lock()
        .expect("no thread panics while it holds the host list lock");
    let is_visible = |it: &&(Instant, Vec<ListedHost>)| now.duration_since(it.0) >= inner.lag;
    inner
        .changes
        .iter()
        .rfind(is_visible)
        .map(|(_, hosts)| hosts.clone())
        .unwrap_or_default()
}
