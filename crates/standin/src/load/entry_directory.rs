//! The list of entries as callers keep it.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use httpio::{HttpClient, Request};
use rand::{RngExt, rngs::StdRng};
use serde::Deserialize;

/// Asks for the list of entries and keeps it for its time to live.
#[derive(Debug)]
pub(crate) struct EntryDirectory {
    seeds: Vec<SocketAddr>,
    kept: Mutex<KeptList>,
}

#[derive(Clone, Debug, Default)]
struct KeptList {
    entries: Vec<ListedEntry>,
    until: Option<Instant>,
}

#[derive(Clone, Debug, Deserialize)]
struct DirectoryAnswer {
    ttl_ms: u64,
    entries: Vec<ListedEntry>,
}

#[derive(Clone, Debug, Deserialize)]
struct ListedEntry {
    address: SocketAddr,
    #[serde(default = "default_weight")]
    weight: u32,
}

/// Longest wait for the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest list in bytes.
const MAX_LIST_BYTES: usize = 1 << 20;

impl EntryDirectory {
    pub(crate) fn new(seeds: Vec<SocketAddr>) -> Self {
        Self {
            seeds,
            kept: Mutex::default(),
        }
    }

    /// Returns an entry to call, none of `avoid` where there is another.
    pub(crate) async fn choose(
        &self,
        client: &HttpClient,
        avoid: &[SocketAddr],
        dice: &mut StdRng,
    ) -> SocketAddr {
        self.refresh(client).await;
        let kept = self.lock().clone();
        let fresh = |it: &&ListedEntry| !avoid.contains(&it.address);
        let mut candidates: Vec<_> = kept.entries.iter().filter(fresh).collect();
        if candidates.is_empty() {
            candidates = kept.entries.iter().collect();
        }
        let total: u32 = candidates.iter().map(|it| it.weight.max(1)).sum();
        if total == 0 {
            return self.seeds[dice.random_range(0..self.seeds.len())];
        }
        let mut draw = dice.random_range(0..total);
        for entry in &candidates {
            let weight = entry.weight.max(1);
            if draw < weight {
                return entry.address;
            }
            draw -= weight;
        }
        candidates[0].address
    }

    async fn refresh(&self, client: &HttpClient) {
        {
            let mut kept = self.lock();
            if kept.until.is_some_and(|it| it > Instant::now()) {
                return;
            }
            // One caller asks; the others go on with the old list meanwhile, unless there is none.
            if !kept.entries.is_empty() {
                kept.until = Some(Instant::now() + LIST_TIMEOUT);
            }
        }
        let listed = self.lock().entries.clone();
        let known = listed.iter().map(|it| it.address);
        for address in known.chain(self.seeds.iter().copied()) {
            let Some(answer) = ask(client, address).await else {
                continue;
            };
            if answer.entries.is_empty() {
                continue;
            }
            let mut kept = self.lock();
            kept.entries = answer.entries;
            kept.until = Some(Instant::now() + Duration::from_millis(answer.ttl_ms));
            return;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, KeptList> {
        self.kept
            .lock()
            .expect("no holder of the list's lock panics")
    }
}

async fn ask(client: &HttpClient, address: SocketAddr) -> Option<DirectoryAnswer> {
    let request = Request::get("/v1/entries").body(httpio::empty()).ok()?;
    let ask = async {
        let reply = client.send(address, request).await.ok()?;
        reply.read(client, MAX_LIST_BYTES, LIST_TIMEOUT).await.ok()
    };
    let response = tokio::time::timeout(LIST_TIMEOUT, ask).await.ok()??;
    serde_json::from_slice(response.body()).ok()
}

fn default_weight() -> u32 {
    1
}
