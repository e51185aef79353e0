//! Client for chunk trackers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use model::{ChunkReport, GroupKey};
use settings::AgentSettings;
use wire::{ChunkReportReply, EntryControlClient, WireCounters, context};

use crate::control::AgentView;

/// Sends reports to the tracker of each group, which any entry can look up. Caches connections, trackers and
/// unreachable entries.
pub(crate) struct TrackerClient {
    settings: Arc<AgentSettings>,
    view: Arc<AgentView>,
    counters: WireCounters,
    cache: Mutex<TrackerCache>,
}

#[derive(Default)]
struct TrackerCache {
    clients: BTreeMap<SocketAddr, EntryControlClient>,
    trackers: BTreeMap<GroupKey, SocketAddr>,
    unreachable: BTreeMap<SocketAddr, Instant>,
}

impl TrackerClient {
    pub(crate) fn new(
        settings: Arc<AgentSettings>,
        view: Arc<AgentView>,
        counters: WireCounters,
    ) -> Self {
        Self {
            settings,
            view,
            counters,
            cache: Mutex::default(),
        }
    }

    /// Sends `report` to the tracker of its group and returns the reply, or `None` if no tracker accepted it.
    pub(crate) async fn report(&self, report: &ChunkReport) -> Option<ChunkReportReply> {
        let key = report.key;
        let mut next = self.with_cache(|it| it.trackers.get(&key).copied());
        for _ in 0..MAX_REPORT_ATTEMPTS {
            let excluded = self.unreachable_entries();
            let address = match next {
                Some(it) => it,
                None => self.choose_entry(&excluded)?,
            };
            let Some(reply) = self.send_report(address, report, excluded).await else {
                self.with_cache(|it| {
                    it.clients.remove(&address);
                    it.trackers.remove(&key);
                    it.unreachable.insert(address, Instant::now());
                });
                next = None;
                continue;
            };
            match reply.redirect {
                Some(tracker) => next = Some(tracker),
                None => {
                    self.with_cache(|it| it.trackers.insert(key, address));
                    return Some(reply);
                }
            }
        }
        None
    }

    async fn send_report(
        &self,
        address: SocketAddr,
        report: &ChunkReport,
        excluded: Vec<SocketAddr>,
    ) -> Option<ChunkReportReply> {
        let cached = self.with_cache(|it| it.clients.get(&address).cloned());
        let client = match cached {
            Some(it) => it,
            None => {
                let (bind_ip, secret) = (self.settings.bind_ip, self.settings.shared_key.reveal());
                let connected = wire::connect_entry(address, bind_ip, secret, &self.counters).await;
                let client = connected.ok()?;
                self.with_cache(|it| it.clients.insert(address, client.clone()));
                client
            }
        };
        self.counters.add_message();
        let call = client.report_chunks(context::current(), report.clone(), excluded);
        let reply = tokio::time::timeout(REPORT_TIMEOUT, call).await;
        reply.ok()?.ok()
    }

    fn choose_entry(&self, excluded: &[SocketAddr]) -> Option<SocketAddr> {
        let entries = self.view.known_entries(&self.settings.entries);
        let live = entries.iter().find(|it| !excluded.contains(it));
        live.or(entries.first()).copied()
    }

    fn unreachable_entries(&self) -> Vec<SocketAddr> {
        let now = Instant::now();
        self.with_cache(|it| {
            it.unreachable
                .retain(|_, at| now.duration_since(*at) < UNREACHABLE_TTL);
            it.unreachable.keys().copied().collect()
        })
    }

    fn with_cache<T>(&self, operation: impl FnOnce(&mut TrackerCache) -> T) -> T {
        operation(
            &mut self
                .cache
                .lock()
                .expect("no thread panics while it holds the cache lock"),
        )
    }
}

/// Maximum number of entries that one report is sent to, since entries may disagree about the tracker of a group.
const MAX_REPORT_ATTEMPTS: usize = 4;

/// Timeout of a report, longer than the time for which a tracker delays its reply.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which an entry counts as unreachable after a failed call.
const UNREACHABLE_TTL: Duration = Duration::from_secs(6);
