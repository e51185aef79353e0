//! The platform's list of hosts.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use httpio::{Method, ServerHandle, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::answers;
use crate::standin_runtime::{self, StandinRuntime};

/// A list of hosts that shows each change only after a lag.
#[derive(Clone, Debug)]
pub struct HostList {
    shared: Arc<Mutex<ListInner>>,
    server: ServerHandle,
}

/// One host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name of the host.
    pub host: String,
    /// Its IP number.
    pub ip: IpAddr,
    /// Its availability zone.
    pub zone: String,
    /// `live` or `leaving`.
    pub state: String,
}

#[derive(Debug)]
struct ListInner {
    lag: Duration,
    changes: Vec<(Instant, Vec<ListedHost>)>,
}

impl HostList {
    /// Starts an empty list whose changes show after `lag`.
    ///
    /// # Errors
    ///
    /// Returns what the operating system said when the address cannot be bound.
    pub fn start(
        runtime: &StandinRuntime,
        address: SocketAddr,
        lag: Duration,
    ) -> std::io::Result<Self> {
        let inner = ListInner {
            lag,
            changes: Vec::new(),
        };
        let shared = Arc::new(Mutex::new(inner));
        let served = shared.clone();
        let server = standin_runtime::serve(runtime.handle(), address, move |request, _| {
            let shared = served.clone();
            async move {
                match (request.method(), request.uri().path()) {
                    (&Method::GET, "/hosts") => {
                        let hosts = shown(&shared, Instant::now());
                        answers::json(StatusCode::OK, &json!({ "hosts": hosts }))
                    }
                    (&Method::POST, "/standin/hosts") => match answers::read_json(request).await {
                        Ok(hosts) => {
                            change(&shared, hosts, Instant::now());
                            answers::json(StatusCode::OK, &json!({}))
                        }
                        Err(refusal) => *refusal,
                    },
                    _ => answers::text(StatusCode::NOT_FOUND, "no such path"),
                }
            }
        })?;
        Ok(Self { shared, server })
    }

    /// Returns the address of the list.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the whole list, which shows after the lag.
    pub fn set_hosts(&self, hosts: Vec<ListedHost>) {
        change(&self.shared, hosts, Instant::now());
    }
}

fn change(shared: &Mutex<ListInner>, hosts: Vec<ListedHost>, now: Instant) {
    let mut inner = shared.lock().expect("no holder of the list's lock panics");
    inner.changes.push((now, hosts));
}

fn shown(shared: &Mutex<ListInner>, now: Instant) -> Vec<ListedHost> {
    let inner = shared.lock().expect("no holder of the list's lock panics");
    let visible = |it: &&(Instant, Vec<ListedHost>)| now.duration_since(it.0) >= inner.lag;
    inner
        .changes
        .iter()
        .rfind(visible)
        .map(|(_, hosts)| hosts.clone())
        .unwrap_or_default()
}
