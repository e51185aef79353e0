//! Asks the trackers of other regions for chunks that this region lacks.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::RegionName;
use settings::EntrySettings;
use slog::{Logger, debug};
use spread::SpreadStrategy;
use wire::{EntryControlClient, WireCounters, context};

use crate::control::{ControlSnapshot, SnapshotCell};
use crate::tracker::tracker_set::{self, OfferWish, TrackerSet};

/// Fills this entry's trackers with offers while they lack chunks, until the runtime ends.
pub(crate) async fn offer_loop(
    settings: Arc<EntrySettings>,
    snapshots: Arc<SnapshotCell>,
    trackers: Arc<TrackerSet>,
    counters: WireCounters,
    log: Logger,
) {
    let mut clients: BTreeMap<SocketAddr, EntryControlClient> = BTreeMap::new();
    let mut interval = tokio::time::interval(OFFER_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let snapshot = snapshots.load();
        let policy = tracker_set::policy(&settings, snapshot.config.as_deref());
        if policy.strategy != SpreadStrategy::Regional {
            continue;
        }
        for wish in trackers.offer_wishes() {
            for region in other_regions(&snapshot, &wish) {
                let asked = ask(
                    &settings,
                    &snapshot,
                    &trackers,
                    &mut clients,
                    &counters,
                    &wish,
                    &region,
                );
                if let Ok(Err(err)) = tokio::time::timeout(ASK_TIMEOUT, asked).await {
                    debug!(log, "no offers"; "region" => %region, "reason" => %err);
                }
            }
        }
    }
}

async fn ask(
    settings: &EntrySettings,
    snapshot: &ControlSnapshot,
    trackers: &TrackerSet,
    clients: &mut BTreeMap<SocketAddr, EntryControlClient>,
    counters: &WireCounters,
    wish: &OfferWish,
    region: &RegionName,
) -> anyhow::Result<()> {
    let strategy = SpreadStrategy::Regional;
    let tracker = tracker_set::tracker_entry(snapshot, &wish.key, region, strategy, &[]);
    let Some(tracker) = tracker else {
        return Ok(());
    };
    if tracker.host == settings.host.name {
        let offers = trackers.offer(region, &wish.key, wish.known);
        trackers.take_offers(wish, region, &offers);
        return Ok(());
    }
    let address = tracker.control;
    let client = match clients.get(&address) {
        Some(it) => it.clone(),
        None => {
            let secret = settings.shared_key.reveal();
            let client = wire::connect_entry(address, None, secret, counters).await?;
            clients.insert(address, client.clone());
            client
        }
    };
    counters.add_message();
    let asked = client.offer_chunks(context::current(), wish.key, region.clone(), wish.known);
    match asked.await {
        Ok(offers) if offers.is_empty() => {}
        Ok(offers) => trackers.take_offers(wish, region, &offers),
        Err(err) => {
            clients.remove(&address);
            return Err(err.into());
        }
    }
    Ok(())
}

fn other_regions(snapshot: &ControlSnapshot, wish: &OfferWish) -> BTreeSet<RegionName> {
    let rows = snapshot.targets.values().map(|it| it.row.region.clone());
    rows.filter(|it| *it != wish.region).collect()
}

/// Time between two rounds of questions.
const OFFER_INTERVAL: Duration = Duration::from_millis(200);

/// Time for one question.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);
