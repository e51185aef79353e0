//! Exchange between zones: the reporter of a zone sends its state to other zones and passes on what they send.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{AgentStatus, FleetMessage, LoadSample, PeerRecord, RelayScope, ZoneReport};
use rand::seq::IndexedRandom;
use routing::DigestSource;
use slog::info;
use tokio::net::UdpSocket;

use crate::declared_versions::DeclarationSource;
use crate::entry_shared::EntryShared;
use crate::peer_exchange::{recent_declarations, record_declarations};
use crate::{departure_guard, limit_guard, peer_evidence};

/// Drops reports that arrive late or twice, since several entries may pass on the same one.
#[derive(Debug, Default)]
pub(crate) struct ReportFilter {
    /// Number of the newest report of each reporter, and when it arrived.
    newest: BTreeMap<String, ((u64, u64), Instant)>,
}

impl ReportFilter {
    /// Returns whether `report` is newer than all earlier ones of its reporter. A reporter that has been silent may have
    /// started again on a clock that was set back.
    fn accept(&mut self, report: &ZoneReport, now: Instant) -> bool {
        let number = (report.incarnation, report.sequence);
        let newest = self.newest.get(&report.reporter);
        let is_newer = newest.is_none_or(|(newest, arrived_at)| {
            let is_silent = now.saturating_duration_since(*arrived_at) >= REPORTER_TIMEOUT;
            number > *newest || number.0 != newest.0 && is_silent
        });
        if is_newer {
            self.newest.insert(report.reporter.clone(), (number, now));
        }
        is_newer
    }
}

/// Sends reports for as long as this entry is the reporter of its zone.
pub(crate) async fn send_reports(shared: Arc<EntryShared>, socket: Arc<UdpSocket>) {
    let mut sequence = 0;
    let mut last_sent: Option<(Instant, Vec<(u64, LoadSample)>)> = None;
    let mut last_roster: Option<Instant> = None;
    loop {
        let settings = &shared.settings;
        let now = Instant::now();
        let is_reporter =
            fleet::is_zone_reporter(&shared.state().peers, &settings.node, &settings.zone, now);
        if !is_reporter {
            tokio::time::sleep(MAX_REPORT_INTERVAL).await;
            continue;
        }
        let zone_count = settings.regions.len().saturating_sub(1);
        let scale = u32::try_from(zone_count.div_ceil(ZONES_AT_MIN_INTERVAL)).unwrap_or(u32::MAX);
        let interval = MIN_REPORT_INTERVAL * scale.max(1);
        let urgent = tokio::time::timeout(interval, shared.urgent_report.notified()).await;
        let loads: Vec<_> = shared.state().loads.zone_samples().into_iter().collect();
        let is_due = last_sent
            .as_ref()
            .is_none_or(|(at, sent)| at.elapsed() >= MAX_REPORT_INTERVAL || *sent != loads);
        let is_due = is_due || urgent.is_ok() || shared.state().report_digest.has_change();
        if !is_due {
            continue;
        }
        let round = usize::try_from(sequence).unwrap_or_default();
        let targets = other_zones(&shared, round).concat();
        if targets.is_empty() {
            // The others are not listed yet. The first report tells them that this entry has started.
            continue;
        }
        sequence += 1;
        let with_roster = last_roster.is_none_or(|it| it.elapsed() >= MAX_REPORT_INTERVAL);
        let report = own_report(&shared, sequence, loads.clone(), with_roster);
        send_report(&shared, &socket, report, &targets);
        let now = Instant::now();
        last_sent = Some((now, loads));
        if with_roster {
            last_roster = Some(now);
        }
    }
}

fn own_report(
    shared: &EntryShared,
    sequence: u64,
    loads: Vec<(u64, LoadSample)>,
    with_roster: bool,
) -> ZoneReport {
    let now = Instant::now();
    let own = shared.own_record();
    let zone = &shared.settings.zone;
    let mut state = shared.state();
    let is_due = state.report_digest.is_due(now);
    let crashes = is_due.then(|| {
        state.report_digest.record_sent(now);
        state.crashes.zone_digest(now, zone)
    });
    let limits = is_due.then(|| limit_guard::digest(shared, &mut state));
    let departures = is_due.then(|| departure_guard::digest(&state, now));
    let mut entries: Vec<PeerRecord> = Vec::new();
    if with_roster {
        let alive = state.peers.alive(now).filter(|it| it.zone == *zone);
        entries.extend(alive.cloned());
        entries.push(own);
    }
    ZoneReport {
        zone: zone.clone(),
        reporter: shared.settings.node.clone(),
        incarnation: shared.incarnation,
        sequence,
        loads,
        weights: recent_declarations(&state),
        entries,
        crashes,
        limits: limits.flatten(),
        departures: departures.unwrap_or_default(),
    }
}

fn send_report(
    shared: &EntryShared,
    socket: &UdpSocket,
    report: ZoneReport,
    targets: &[SocketAddr],
) {
    let bytes =
        postcard::to_allocvec(&FleetMessage::Zone(report)).expect("encoding a report cannot fail");
    shared
        .metrics
        .count_sent("zone_reports", bytes.len() * targets.len());
    send_all(socket, &bytes, targets);
}

/// Applies the report of another zone and passes it on if this entry is the reporter of its zone.
pub(crate) fn handle_report(
    shared: &EntryShared,
    socket: &UdpSocket,
    report: ZoneReport,
    bytes: &[u8],
    filter: &mut ReportFilter,
) {
    let settings = &shared.settings;
    let now = Instant::now();
    if report.zone == settings.zone || !filter.accept(&report, now) {
        return;
    }
    record_declarations(shared, &report.weights, DeclarationSource::Zone);
    let (crashes, limits) = (report.crashes.as_ref(), report.limits.as_ref());
    let departures = &report.departures;
    peer_evidence::merge(shared, crashes, limits, departures, DigestSource::Zone);
    let loads = report.loads.into_iter().collect();
    let mut state = shared.state();
    state.loads.update_zone(&report.zone, loads, now);
    state.loads.expire(now);
    let mut discovered = Vec::new();
    for record in report.entries {
        let node = record.node.clone();
        if state.peers.record_heartbeat(record, now) {
            discovered.push(node);
        }
    }
    if !discovered.is_empty() {
        state.report_digest.record_change();
        state.limits.record_discovery();
        departure_guard::record_discovery(&mut state, now);
    }
    let must_relay = fleet::is_zone_reporter(&state.peers, &settings.node, &settings.zone, now);
    drop(state);
    if !discovered.is_empty() {
        info!(shared.log, "entries of a zone discovered"; "in" => &report.zone, "entries" => discovered.join(","));
    }
    if must_relay {
        send_all(socket, bytes, &own_zone(shared));
    }
}

/// Applies the status of an agent and passes it on as far as it says.
pub(crate) fn handle_agent_status(
    shared: &EntryShared,
    socket: &UdpSocket,
    mut status: AgentStatus,
) {
    let is_changed = shared
        .state()
        .catalog
        .update_weights(status.replica, &status.models);
    if is_changed {
        info!(
            shared.log, "weights of a replica changed";
            "address" => status.replica.to_string(),
            "version" => status.models.first().map(|it| it.version),
        );
    }
    let replica = {
        let state = shared.state();
        let mut replicas = state.catalog.all();
        replicas.find(|it| it.address == status.replica).cloned()
    };
    if let Some(replica) = replica {
        limit_guard::record_report(shared, &replica, status.limit);
        if status.leaving && status.limit.started_ms == replica.started_ms {
            departure_guard::record_said(shared, replica.lifetime(), "agent");
        }
    }
    let relay = status.relay;
    if relay == RelayScope::AllZones {
        // The agent repeats its status; a random choice makes up for an entry that has just died.
        let zones = other_zones(shared, rand::random_range(0..MAX_ROUND));
        let one_per_zone = zones.iter().filter_map(|it| it.choose(&mut rand::rng()));
        let targets: Vec<SocketAddr> = one_per_zone.copied().collect();
        status.relay = RelayScope::OwnZone;
        send_all(socket, &encode_status(&status), &targets);
    }
    if relay != RelayScope::None {
        status.relay = RelayScope::None;
        send_all(socket, &encode_status(&status), &own_zone(shared));
    }
}

fn encode_status(status: &AgentStatus) -> Vec<u8> {
    postcard::to_allocvec(&FleetMessage::Agent(status.clone()))
        .expect("encoding a status cannot fail")
}

fn own_zone(shared: &EntryShared) -> Vec<SocketAddr> {
    let state = shared.state();
    let alive = state.peers.alive(Instant::now());
    alive
        .filter(|it| it.zone == shared.settings.zone)
        .map(|it| it.inner)
        .collect()
}

fn other_zones(shared: &EntryShared, round: usize) -> Vec<Vec<SocketAddr>> {
    let zone = &shared.settings.zone;
    let now = Instant::now();
    fleet::report_targets(&shared.state().peers, zone, TARGETS_PER_ZONE, round, now)
}

fn send_all(socket: &UdpSocket, bytes: &[u8], targets: &[SocketAddr]) {
    for target in targets {
        // A lost datagram needs no resend: a later one contains the complete state.
        let _ = socket.try_send_to(bytes, *target);
    }
}

/// Minimum time between two reports; a few times the period in which a replica's load changes (one forward pass, 50 ms
/// or more).
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum time between two reports, and minimum time between two lists of entries. Entries are considered dead after
/// a few times as long.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a report after which a reporter may be another process; a few times the maximum interval.
const REPORTER_TIMEOUT: Duration = Duration::from_millis(1800);

/// Number of other zones up to which reports are sent at the minimum interval. With more zones the interval grows, so
/// that an entry receives a bounded number of reports.
const ZONES_AT_MIN_INTERVAL: usize = 5;

/// Upper bound of the random round of a status.
const MAX_ROUND: usize = 1000;

/// Number of entries of each other zone that receive a report: the one that passes it on, and the one that does so if
/// the first has just died.
const TARGETS_PER_ZONE: usize = 2;
