//! Connections to trackers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use model::{ChunkReport, GroupKey};
use settings::AgentSettings;
use wire::{ChunkReply, EntryControlClient, WireCounters, context};

use crate::control::AgentView;

/// Finds the tracker of each group by asking any entry, and remembers it and the entries that could not be reached.
pub(crate) struct TrackerLinks {
    settings: Arc<AgentSettings>,
    view: Arc<AgentView>,
    counters: WireCounters,
    known: Mutex<LinkTable>,
}

#[derive(Default)]
struct LinkTable {
    clients: BTreeMap<SocketAddr, EntryControlClient>,
    trackers: BTreeMap<GroupKey, SocketAddr>,
    lost: BTreeMap<SocketAddr, Instant>,
}

impl TrackerLinks {
    pub(crate) fn new(
        settings: Arc<AgentSettings>,
        view: Arc<AgentView>,
        counters: WireCounters,
    ) -> Self {
        Self {
            settings,
            view,
            counters,
            known: Mutex::default(),
        }
    }

    /// Sends `report` to the tracker of its group and returns the answer, or `None` when no tracker took it.
    pub(crate) async fn report(&self, report: &ChunkReport) -> Option<ChunkReply> {
        let key = report.key;
        let mut next = self.with(|it| it.trackers.get(&key).copied());
        for _ in 0..MAX_REDIRECTS {
            let avoid = self.lost_entries();
            let address = match next {
                Some(it) => it,
                None => self.any_entry(&avoid)?,
            };
            let Some(reply) = self.ask(address, report, avoid).await else {
                self.with(|it| {
                    it.clients.remove(&address);
                    it.trackers.remove(&key);
                    it.lost.insert(address, Instant::now());
                });
                next = None;
                continue;
            };
            match reply.redirect {
                Some(tracker) => next = Some(tracker),
                None => {
                    self.with(|it| it.trackers.insert(key, address));
                    return Some(reply);
                }
            }
        }
        None
    }

    async fn ask(
        &self,
        address: SocketAddr,
        report: &ChunkReport,
        avoid: Vec<SocketAddr>,
    ) -> Option<ChunkReply> {
        let known = self.with(|it| it.clients.get(&address).cloned());
        let client = match known {
            Some(it) => it,
            None => {
                let (local, secret) = (self.settings.bind_ip, self.settings.shared_key.reveal());
                let opened = wire::connect_entry(address, local, secret, &self.counters).await;
                let client = opened.ok()?;
                self.with(|it| it.clients.insert(address, client.clone()));
                client
            }
        };
        self.counters.add_message();
        let asked = client.report_chunks(context::current(), report.clone(), avoid);
        let reply = tokio::time::timeout(REPORT_TIMEOUT, asked).await;
        reply.ok()?.ok()
    }

    fn any_entry(&self, avoid: &[SocketAddr]) -> Option<SocketAddr> {
        let entries = self.view.entries_or(&self.settings.entries);
        let live = entries.iter().find(|it| !avoid.contains(it));
        live.or(entries.first()).copied()
    }

    fn lost_entries(&self) -> Vec<SocketAddr> {
        let now = Instant::now();
        self.with(|it| {
            it.lost
                .retain(|_, at| now.duration_since(*at) < FORGIVE_AFTER);
            it.lost.keys().copied().collect()
        })
    }

    fn with<T>(&self, act: impl FnOnce(&mut LinkTable) -> T) -> T {
        act(&mut self
            .known
            .lock()
            .expect("no holder of the links' lock panics"))
    }
}

/// Entries asked for one report, while they disagree about who tracks a group.
const MAX_REDIRECTS: usize = 4;

/// Time for one report, above the time that a tracker keeps it waiting.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an entry that was lost may be asked again.
const FORGIVE_AFTER: Duration = Duration::from_secs(6);
