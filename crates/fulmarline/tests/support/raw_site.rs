//! A site with raw replicas and a route for each kind of request, whose entries may repeat any number of requests.

use std::net::TcpStream;

use httpio::{Method, StatusCode};
use serde_json::json;
use standin::{RawConnection, RawReplica, RawRequest, RunCounts};

use crate::site::TestSite;

/// The prefixes of the routes: a call that may be repeated, one that may not, a stream that cannot be resumed, two that can.
pub const PREFIXES: [&str; 5] = ["/plain/", "/keyed/", "/once/", "/again/", "/resumed/"];

/// Parameters of a site.
#[derive(Clone, Copy, Debug)]
pub struct RawSitePlan<'a> {
    pub name: &'a str,
    pub first_index: u8,
    /// Last number of the address of the replicas.
    pub replica_index: u8,
    /// Number of replicas of each service.
    pub replica_count: usize,
    /// Number of entries that receive requests.
    pub entry_count: usize,
    pub max_attempts: u32,
}

impl RawSitePlan<'_> {
    /// Starts the site with replicas that `respond`, and waits until all of its routes serve requests.
    pub fn start(
        &self,
        runs: &RunCounts,
        respond: impl Fn(&RawRequest, &TcpStream) -> std::io::Result<RawConnection>
        + Clone
        + Send
        + Sync
        + 'static,
    ) -> TestSite {
        let mut site = TestSite::start(self.name, self.first_index, &[]);
        let route = |prefix: &str, kind: &str, service: &str, resumable: bool| {
            json!({
                "name": prefix, "host": "shop.example", "prefix": prefix, "kind": kind, "timeoutMs": 6000,
                "sloMs": 2000, "prio": 1, "service": service, "maxAttempts": self.max_attempts, "public": false,
                "resumable": resumable,
            })
        };
        site.configure(&json!([
            route("/plain/", "idempotent", "plain", false),
            route("/keyed/", "non_idempotent", "plain", false),
            route("/once/", "stream", "pool", false),
            route("/again/", "stream", "pool", true),
            route("/resumed/", "stream", "pool", true),
        ]));
        for index in 0..self.replica_count {
            for service in ["plain", "pool"] {
                let id = format!("{service}-{index}");
                let ip = [127, 0, 1, self.replica_index];
                let replica = RawReplica::start_raw(&id, ip, runs, respond.clone());
                let row = replica.unwrap().row(service, ["a", "b"][index % 2]);
                site.store.put("servers", &id, &row);
            }
        }
        for entry in 0..self.entry_count {
            site.restart_entry_with(entry, "retryExtra = 104", "retryExtra = 100000");
            for prefix in PREFIXES {
                site.wait("a served request", |it| {
                    let path = format!("{prefix}warm");
                    let response = it.call(entry, Method::POST, &path, "warm", "key-1")?;
                    (response.status == StatusCode::OK).then_some(())
                });
            }
        }
        site
    }
}
