//! Fetches offers of missing chunks from the trackers of other regions.

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
use crate::tracker::tracker_set::{self, OfferRequest, TrackerSet};

/// Fetches offers for this entry's trackers that miss chunks, until the runtime shuts down.
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
        let policy = tracker_set::spread_policy(&settings, snapshot.config.as_deref());
        if policy.strategy != SpreadStrategy::Regional {
            continue;
        }
        for request in trackers.offer_requests() {
            for region in other_regions(&snapshot, &request) {
                let call = fetch_offers(
                    &settings,
                    &snapshot,
                    &trackers,
                    &mut clients,
                    &counters,
                    &request,
                    &region,
                );
                if let Ok(Err(err)) = tokio::time::timeout(OFFER_TIMEOUT, call).await {
                    debug!(log, "cannot fetch chunk offers"; "region" => %region, "reason" => %err);
                }
            }
        }
    }
}

async fn fetch_offers(
    settings: &EntrySettings,
    snapshot: &ControlSnapshot,
    trackers: &TrackerSet,
    clients: &mut BTreeMap<SocketAddr, EntryControlClient>,
    counters: &WireCounters,
    request: &OfferRequest,
    region: &RegionName,
) -> anyhow::Result<()> {
    let strategy = SpreadStrategy::Regional;
    let tracker = tracker_set::tracker_entry(snapshot, &request.key, region, strategy, &[]);
    let Some(tracker) = tracker else {
        return Ok(());
    };
    if tracker.host == settings.host.name {
        let offers = trackers.select_offers(region, &request.key, request.known_chunks);
        trackers.add_offers(request, region, &offers);
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
    let call = client.offer_chunks(
        context::current(),
        request.key,
        region.clone(),
        request.known_chunks,
    );
    match call.await {
        Ok(offers) if offers.is_empty() => {}
        Ok(offers) => trackers.add_offers(request, region, &offers),
        Err(err) => {
            clients.remove(&address);
            return Err(err.into());
        }
    }
    Ok(())
}

fn other_regions(snapshot: &ControlSnapshot, request: &OfferRequest) -> BTreeSet<RegionName> {
    let rows = snapshot.targets.values().map(|it| it.row.region.clone());
    rows.filter(|it| *it != request.region).collect()
}

/// Interval between two rounds of requests.
const OFFER_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of one request for offers.
const OFFER_TIMEOUT: Duration = Duration::from_secs(1);
