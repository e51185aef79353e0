//! A small site that consists of stand-ins for the platform and real processes, each with its own loopback address.

// Each test file uses only some of the helpers.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use httpio::{HttpClient, Method, Request, StatusCode};
use serde_json::{Value, json};
use standin::{
    ChildProcess, ReplicaKind, SiteHost, SiteOrigin, SitePorts, SiteReplica, SiteStore,
    SiteWeights, StandinRuntime,
};

#[path = "site_caller.rs"]
mod site_caller;

pub use site_caller::{SiteCaller, SiteResponse};

/// Timeout of every wait, well above what a loaded machine needs.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Difference between the versions of two configurations.
const VERSION_STEP: u64 = 3;

/// Size of the weights of the site's model.
pub const WEIGHTS: SiteWeights = SiteWeights {
    pieces: 24,
    piece_bytes: 4096,
    shared_pieces: 0,
};

/// Indexes of the entries in the zone of [`TestSite::start_large_zone`], ordered by name. The first two of them read the
/// store, and the others follow them.
pub const ZONE_ENTRIES: [usize; 7] = [0, 2, 3, 4, 5, 6, 7];

/// Returns the route `name` to a plain service, which needs no key.
pub fn route(name: &str) -> Value {
    json!([{
        "name": name, "host": "shop.example", "prefix": format!("/{name}/"), "kind": "idempotent", "timeoutMs": 1000,
        "sloMs": 300, "service": "orders", "maxAttempts": 1, "public": true,
    }])
}

/// The stand-ins and processes of one test.
pub struct TestSite {
    pub runtime: StandinRuntime,
    pub store: SiteStore,
    pub origin: SiteOrigin,
    pub models: Vec<SiteReplica>,
    pub orders: Vec<SiteReplica>,
    pub entries: Vec<ChildProcess>,
    pub agents: Vec<ChildProcess>,
    pub ports: SitePorts,
    pub hosts: Vec<SiteHost>,
    client: HttpClient,
    weights: SiteWeights,
    /// Address of a proxy of the store, which the settings of processes name that are started from now on.
    pub store_proxy: Option<SocketAddr>,
    /// Address of a proxy of the origin, which the next configuration names.
    pub origin_proxy: Option<SocketAddr>,
    /// Maximum size of a request's body in the next configuration.
    pub max_body_bytes: usize,
    /// Tenants in the next configuration, with their keys.
    pub tenants: Vec<(&'static str, Vec<&'static str>)>,
    config: u64,
    dir: PathBuf,
}

impl TestSite {
    /// Starts two entries, two replicas of a plain service, and a model replica with an agent for each of `versions`.
    ///
    /// The two entries and the plain replicas have loopback addresses that end in `first_index` and the next number;
    /// those of the model replicas start ten higher. Tests that run concurrently need different addresses.
    pub fn start(name: &str, first_index: u8, versions: &[u64]) -> Self {
        Self::start_with_weights(name, first_index, versions, WEIGHTS)
    }

    /// Starts a site as [`Self::start`] does, whose model has `weights`.
    pub fn start_with_weights(
        name: &str,
        first_index: u8,
        versions: &[u64],
        weights: SiteWeights,
    ) -> Self {
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        // Log files are appended to, so those of an earlier run would be mixed with those of this run.
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).unwrap();
        let runtime = StandinRuntime::new(2).unwrap();
        let store = SiteStore::start(&runtime).unwrap();
        let origin = SiteOrigin::start(&runtime, weights).unwrap();
        let mut site = Self {
            client: HttpClient::new(None, Duration::from_secs(5)),
            weights,
            store_proxy: None,
            origin_proxy: None,
            ports: SitePorts::free().unwrap(),
            runtime,
            store,
            origin,
            models: Vec::new(),
            orders: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            hosts: Vec::new(),
            max_body_bytes: 65536,
            tenants: vec![("dealer", vec!["key-1"])],
            config: 0,
            dir,
        };
        for index in 0..2_u8 {
            let zone = ["a", "b"][usize::from(index)];
            site.hosts.push(SiteHost::new(
                &format!("edge-{index}"),
                first_index + index,
                zone,
            ));
            let id = format!("o-{index}");
            let address = ([127, 0, 1, first_index + index], 0).into();
            let order =
                SiteReplica::start(&site.runtime, &id, address, ReplicaKind::Plain, WEIGHTS)
                    .unwrap();
            site.store
                .put("servers", &id, &order.row("orders", zone, "ready"));
            site.orders.push(order);
        }
        site.configure(&json!([]));
        for (index, version) in versions.iter().enumerate() {
            site.add_model_replica(first_index + 10 + u8::try_from(index).unwrap(), *version);
        }
        for index in 0..2 {
            site.start_entry(index);
        }
        site.wait("ready entries", |it| {
            (0..2)
                .all(|entry| it.ready(entry) == Some(StatusCode::OK))
                .then_some(())
        });
        site
    }

    /// Starts a site with a large zone, and waits until its entries are ready and follow the readers.
    pub fn start_large_zone(name: &str, first_index: u8) -> Self {
        let mut site = Self::start(name, first_index, &[]);
        for index in 2..8 {
            site.add_entry(first_index + index, "a");
        }
        for entry in ZONE_ENTRIES {
            site.wait("ready entries", |it| {
                (it.ready(entry) == Some(StatusCode::OK)).then_some(())
            });
        }
        for entry in &ZONE_ENTRIES[2..] {
            site.wait("followers", |it| {
                let metric = r#"fulmarline_relayed_reads_total{outcome="ok",table="op"}"#;
                it.metrics(*entry).contains(metric).then_some(())
            });
        }
        site
    }

    /// Waits until the route `name` of [`route`] is in force on `entries`.
    pub fn wait_for_route(&self, entries: &[usize], name: &str) {
        for entry in entries {
            self.wait("the new route", |it| {
                let path = format!("/{name}/1");
                let response = it
                    .caller()
                    .call_without_key(*entry, Method::GET, &path, "new")?;
                (response.status == StatusCode::OK).then_some(())
            });
        }
    }

    /// Adds a model replica with an agent on the same host.
    pub fn add_model_replica(&mut self, host_index: u8, version: u64) {
        let index = self.models.len();
        let zone = ["a", "b"][index % 2];
        let host = SiteHost::new(&format!("side-{index}"), host_index, zone);
        let address = (host.ip, 0).into();
        let kind = ReplicaKind::Model { version };
        let id = format!("m-{index}");
        let replica = SiteReplica::start(&self.runtime, &id, address, kind, self.weights).unwrap();
        self.store
            .put("servers", &id, &replica.row("pool", zone, "ready"));
        let settings =
            host.agent_settings(self.ports, self.store_address(), replica.address(), "pool");
        self.models.push(replica);
        let agent = self.spawn("agent", &host.name, &settings);
        self.agents.push(agent);
    }

    /// Adds an entry on a separate host.
    pub fn add_entry(&mut self, host_index: u8, zone: &str) {
        let index = self.hosts.len();
        let host = SiteHost::new(&format!("edge-{index}"), host_index, zone);
        self.hosts.push(host);
        self.start_entry(index);
    }

    /// Starts or restarts an entry.
    pub fn start_entry(&mut self, index: usize) {
        let host = &self.hosts[index];
        let settings = host.entry_settings(self.ports, self.store_address());
        let name = host.name.clone();
        if let Some(running) = self.entries.get_mut(index) {
            // A process that still runs would hold the addresses of the new one.
            running.kill();
        }
        let entry = self.spawn("entry", &name, &settings);
        if index < self.entries.len() {
            self.entries[index] = entry;
        } else {
            self.entries.push(entry);
        }
    }

    /// Waits until all model replicas have `version` of the weights, and checks that none has loaded pieces of two versions.
    pub fn wait_for_weights(&self, version: u64) {
        self.wait("the declared version on every replica", |it| {
            let mut models = it.models.iter();
            models.all(|it| it.version() == version).then_some(())
        });
        let mixed_loads: u64 = self.models.iter().map(|it| it.mixed_loads()).sum();
        assert_eq!(mixed_loads, 0, "loads of pieces of two versions");
    }

    /// Restarts an entry with `replacement` in place of `text` in its settings.
    pub fn restart_entry_with(&mut self, index: usize, text: &str, replacement: &str) {
        let name = self.hosts[index].name.clone();
        let settings = std::fs::read_to_string(self.settings_file(&name)).unwrap();
        let replaced = settings.replace(text, replacement);
        assert_ne!(settings, replaced, "{settings}");
        self.entries[index].kill();
        self.entries[index] = self.spawn("entry", &name, &replaced);
    }

    fn store_address(&self) -> SocketAddr {
        self.store_proxy.unwrap_or(self.store.address())
    }

    /// Starts an agent again after its process has ended.
    pub fn restart_agent(&mut self, index: usize) {
        let name = format!("side-{index}");
        let settings = std::fs::read_to_string(self.settings_file(&name)).unwrap();
        self.agents[index] = self.spawn("agent", &name, &settings);
    }

    fn spawn(&self, role: &str, name: &str, settings: &str) -> ChildProcess {
        let file = self.dir.join(format!("{name}.toml"));
        std::fs::write(&file, settings).unwrap();
        let binary = Path::new(env!("CARGO_BIN_EXE_fulmarline"));
        ChildProcess::start_with_boot_file(binary, role, &file, &self.log_file(name)).unwrap()
    }

    /// Returns the path of the settings file of the process on a host.
    pub fn settings_file(&self, name: &str) -> PathBuf {
        self.dir.join(format!("{name}.toml"))
    }

    /// Returns the path of the log file of the process on a host.
    pub fn log_file(&self, name: &str) -> PathBuf {
        self.dir.join(format!("{name}.log"))
    }

    /// Publishes the next configuration, which consists of the default routes and `extra_routes`.
    pub fn configure(&mut self, extra_routes: &Value) {
        let limits = json!({
                "maxHeaderBytes": 16384, "maxBodyBytes": self.max_body_bytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
        });
        self.configure_with_limits(extra_routes, &limits);
    }

    /// Publishes the version of the last configuration again, with other routes.
    pub fn configure_again(&mut self, extra_routes: &Value) {
        self.config -= VERSION_STEP;
        self.configure(extra_routes);
    }

    /// Publishes the next configuration, with the limits `limits` for requests.
    pub fn configure_with_limits(&mut self, extra_routes: &Value, limits: &Value) {
        self.config += VERSION_STEP;
        let route = |prefix: &str, kind: &str, service: &str| {
            json!({
                "name": prefix, "host": "shop.example", "prefix": prefix, "kind": kind, "timeoutMs": 6000,
                "sloMs": 2000, "prio": 1, "service": service, "maxAttempts": 2, "public": false,
                "resumable": kind == "stream",
            })
        };
        let mut routes = vec![
            route("/draft/", "stream", "pool"),
            route("/order/", "non_idempotent", "orders"),
            route("/lookup/", "idempotent", "orders"),
        ];
        routes.extend(extra_routes.as_array().unwrap().iter().cloned());
        let engine = json!({
            "slots": 16, "stride": 5, "models": [{"name": "m", "warmS": 0.1}], "step_ms": 2.0, "per_seq_ms": 0.02,
            "context_per_k": 0.03, "read_per_s": 20000.0, "chunk": 2048, "usual": {"prompt": 100, "answer": 60},
            "chunks": self.weights.pieces,
        });
        let origin = self.origin_proxy.unwrap_or(self.origin.address());
        let tenants = self.tenants.iter();
        let tenants: Vec<Value> = tenants
            .map(|(name, keys)| json!({"name": name, "apiKeys": keys, "prio": 1}))
            .collect();
        let config = json!({
            "version": self.config, "routes": routes,
            "services": [
                {"name": "pool", "maxConns": 100, "engine": engine},
                {"name": "orders", "maxConns": 100},
                {"name": "plain", "maxConns": 100},
                {"name": "weights", "origin": origin.to_string(), "maxConns": 100},
            ],
            "limits": limits,
            "tenants": tenants,
        });
        self.store.put("op", "config", &config);
    }

    /// Declares a weight version.
    pub fn declare(&self, version: u64) {
        self.store.put(
            "op",
            "version/m",
            &json!({"model": "m", "version": version}),
        );
    }

    /// Publishes the current rows of the model replicas in the store.
    pub fn republish_rows(&self) {
        for (index, replica) in self.models.iter().enumerate() {
            let zone = ["a", "b"][index % 2];
            self.store.put(
                "servers",
                &format!("m-{index}"),
                &replica.row("pool", zone, "ready"),
            );
        }
    }

    /// Sends a request to an entry.
    pub fn call(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        id: &str,
        key: &str,
    ) -> Option<SiteResponse> {
        self.caller().call(entry, method, path, id, key)
    }

    /// Returns a client that does not borrow the site, so that it can send requests while the site is modified.
    pub fn caller(&self) -> SiteCaller {
        let hosts = self.hosts.iter();
        let front_addresses = hosts.map(|it| (it.ip, self.ports.front).into());
        SiteCaller::new(
            self.runtime.handle().clone(),
            self.client.clone(),
            front_addresses.collect(),
        )
    }

    /// Returns the address on which an entry accepts requests.
    pub fn front(&self, entry: usize) -> SocketAddr {
        (self.hosts[entry].ip, self.ports.front).into()
    }

    /// Returns the status of the readiness check of an entry.
    pub fn ready(&self, entry: usize) -> Option<StatusCode> {
        self.get(entry, self.ports.ready, "/fulmarline/ready")
            .map(|it| it.0)
    }

    /// Returns the addresses of entries that the directory of an entry lists for clients in `zone`.
    pub fn directory(&self, entry: usize, zone: &str) -> Vec<String> {
        let path = format!("/fulmarline/resolve?name=shop.example&region={zone}&zone={zone}");
        let response = self.get(entry, self.ports.directory, &path);
        let body: Value = response
            .and_then(|it| serde_json::from_str(&it.1).ok())
            .unwrap_or_default();
        let addresses = body["addrs"].as_array().cloned().unwrap_or_default();
        addresses
            .iter()
            .filter_map(|it| it.as_str().map(str::to_owned))
            .collect()
    }

    /// Returns the metrics of an entry in text format.
    pub fn metrics(&self, entry: usize) -> String {
        self.get(entry, self.ports.internal.1, "/metrics")
            .map(|it| it.1)
            .unwrap_or_default()
    }

    fn get(&self, entry: usize, port: u16, path: &str) -> Option<(StatusCode, String)> {
        let request = Request::builder().uri(path).body(httpio::empty()).unwrap();
        let address = (self.hosts[entry].ip, port).into();
        self.runtime.block_on(async {
            let response = self
                .client
                .fetch_on_new_connection(address, request)
                .await
                .ok()?;
            Some((
                response.status(),
                String::from_utf8_lossy(response.body()).into_owned(),
            ))
        })
    }

    /// Polls `probe` until it returns a value.
    pub fn wait<T>(&self, what: &str, probe: impl Fn(&Self) -> Option<T>) -> T {
        let start = Instant::now();
        loop {
            if let Some(found) = probe(self) {
                return found;
            }
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "timed out waiting for {what}"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}
