//! The list of entries, cached on the client side.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use httpio::{HttpClient, Request};
use rand::{RngExt, rngs::StdRng};
use serde::Deserialize;

/// Fetches the list of entries and caches it for its time to live.
#[derive(Debug)]
pub(crate) struct EntryDirectory {
    bootstrap_entries: Vec<SocketAddr>,
    cached: Mutex<CachedList>,
}

#[derive(Clone, Debug, Default)]
struct CachedList {
    entries: Vec<ListedEntry>,
    expires_at: Option<Instant>,
}

#[derive(Clone, Debug, Deserialize)]
struct DirectoryResponse {
    ttl_ms: u64,
    entries: Vec<ListedEntry>,
}

#[derive(Clone, Debug, Deserialize)]
struct ListedEntry {
    address: SocketAddr,
    #[serde(default = "default_weight")]
    weight: u32,
}

/// Timeout for fetching the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of the list in bytes.
const MAX_LIST_BYTES: usize = 1 << 20;

impl EntryDirectory {
    pub(crate) fn new(bootstrap_entries: Vec<SocketAddr>) -> Self {
        Self {
            bootstrap_entries,
            cached: Mutex::default(),
        }
    }

    /// Returns an entry drawn at random by weight. Entries in `avoid` are only chosen if there is no other.
    pub(crate) async fn choose(
        &self,
        client: &HttpClient,
        avoid: &[SocketAddr],
        rng: &mut StdRng,
    ) -> SocketAddr {
        self.refresh(client).await;
        let cached = self.lock().clone();
        let untried = |it: &&ListedEntry| !avoid.contains(&it.address);
        let mut candidates: Vec<_> = cached.entries.iter().filter(untried).collect();
        if candidates.is_empty() {
            candidates = cached.entries.iter().collect();
        }
        let total: u32 = candidates.iter().map(|it| it.weight.max(1)).sum();
        if total == 0 {
            return self.bootstrap_entries[rng.random_range(0..self.bootstrap_entries.len())];
        }
        let mut draw = rng.random_range(0..total);
        for entry in &candidates {
            let weight = entry.weight.max(1);
            if draw < weight {
                return entry.address;
            }
            draw -= weight;
        }
        candidates[0].address
    }

    /// Fetches the list again if it has expired.
    async fn refresh(&self, client: &HttpClient) {
        {
            let mut cached = self.lock();
            if cached.expires_at.is_some_and(|it| it > Instant::now()) {
                return;
            }
            // One caller fetches the list while the others continue to use the old one, unless there is none.
            if !cached.entries.is_empty() {
                cached.expires_at = Some(Instant::now() + LIST_TIMEOUT);
            }
        }
        let listed = self.lock().entries.clone();
        let known = listed.iter().map(|it| it.address);
        for address in known.chain(self.bootstrap_entries.iter().copied()) {
            let Some(response) = fetch_list(client, address).await else {
                continue;
            };
            if response.entries.is_empty() {
                continue;
            }
            let mut cached = self.lock();
            cached.entries = response.entries;
            cached.expires_at = Some(Instant::now() + Duration::from_millis(response.ttl_ms));
            return;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, CachedList> {
        self.cached
            .lock()
            .expect("no thread panics while it holds the list lock")
    }
}

async fn fetch_list(client: &HttpClient, address: SocketAddr) -> Option<DirectoryResponse> {
    let request = Request::get("/v1/entries").body(httpio::empty()).ok()?;
    let exchange = async {
        let pooled_response = client.send(address, request).await.ok()?;
        pooled_response
            .read(client, MAX_LIST_BYTES, LIST_TIMEOUT)
            .await
            .ok()
    };
    let response = tokio::time::timeout(LIST_TIMEOUT, exchange).await.ok()??;
    serde_json::from_slice(response.body()).ok()
}

fn default_weight() -> u32 {
    1
}
