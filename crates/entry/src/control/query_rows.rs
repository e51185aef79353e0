//! Builds the rows of the tables that operators can query.

use std::collections::{BTreeMap, BTreeSet};

use control::{Cell, KnownTarget, TableName};
use model::{
    EntryRow, FleetConfig, GateState, HostName, ModelName, TargetKind, TargetRow, VersionDigest,
    WeightManifest,
};
use upstream::{HostListClient, ListedHostState, TableClient};

use crate::calls::CrashGuard;
use crate::control::control_snapshot::ControlSnapshot;
use crate::control::rollout_driver::{LEASE_KEY, LeaseRow};

/// Returns the rows of `table`, with a cell for each of its columns.
pub(crate) fn collect_rows(
    table: TableName,
    snapshot: &ControlSnapshot,
    client: &TableClient,
    hosts: Option<&HostListClient>,
    guard: &CrashGuard,
) -> Vec<Vec<Cell>> {
    let default = FleetConfig::default();
    let config = snapshot.config.as_deref().unwrap_or(&default);
    match table {
        TableName::Targets => target_rows(snapshot, config),
        TableName::Hosts => host_rows(snapshot, config, hosts),
        TableName::Entries => entry_rows(snapshot),
        TableName::Load => load_rows(snapshot),
        TableName::Rollouts => rollout_rows(snapshot, config),
        TableName::Versions => version_rows(snapshot, config),
        TableName::Organisations => organisation_rows(config),
        TableName::Config => config_rows(config),
        TableName::Leases => lease_rows(client),
        TableName::Parts => part_rows(guard),
        TableName::Processes => process_rows(snapshot),
    }
}

fn part_rows(guard: &CrashGuard) -> Vec<Vec<Cell>> {
    let (holds, suspects) = guard.states();
    let held = holds.iter().map(|it| {
        vec![
            Cell::text(it.part),
            Cell::text(if it.is_held { "held" } else { "released" }),
            Cell::count(it.crashes),
            Cell::count(it.age.as_secs()),
            Cell::count(it.time_to_trial.as_secs()),
            Cell::count(it.failed_trials),
        ]
    });
    let suspected = suspects
        .iter()
        .map(|it| vec![Cell::text(it), Cell::text("suspected")]);
    held.chain(suspected).collect()
}

fn target_rows(snapshot: &ControlSnapshot, config: &FleetConfig) -> Vec<Vec<Cell>> {
    let row = |target: &KnownTarget| {
        let it = &target.row;
        let (kind, name) = kind_and_name(&it.kind);
        let fetched = it.transfer.filter(|it| it.total_chunks > 0).map(|it| {
            let fraction = f64::from(it.have_chunks) / f64::from(it.total_chunks);
            Cell::Number((fraction * 1000.0).floor() / 10.0)
        });
        vec![
            Cell::text(&it.host),
            Cell::text(&it.zone),
            Cell::text(&it.region),
            Cell::text(kind),
            Cell::text(name),
            Cell::text(state_name(it.state)),
            Cell::optional_text(it.serving.map(|it| it.short())),
            Cell::optional_text(it.serving.and_then(|it| version_label(config, it))),
            fetched.unwrap_or(Cell::None),
            Cell::count(it.load.in_flight),
            Cell::count(it.load.limit),
            Cell::count(it.revision.0),
            Cell::count(it.fencing.0),
            Cell::text(it.gate),
            Cell::count(target.last_seen.elapsed().as_millis()),
        ]
    };
    snapshot.targets.values().map(|it| row(it)).collect()
}

fn host_rows(
    snapshot: &ControlSnapshot,
    config: &FleetConfig,
    client: Option<&HostListClient>,
) -> Vec<Vec<Cell>> {
    let listed = client.map(HostListClient::hosts);
    let list_available = matches!(listed, Some(Ok(_)));
    let listed: BTreeMap<_, _> = listed
        .and_then(Result::ok)
        .unwrap_or_default()
        .into_iter()
        .map(|it| (it.host.clone(), it))
        .collect();
    let names: BTreeSet<&HostName> = listed
        .keys()
        .chain(snapshot.targets.keys())
        .chain(&config.drains)
        .collect();
    let row = |host: &HostName| {
        let target = snapshot.targets.get(host);
        let listed_host = listed.get(host);
        let platform = match listed_host.map(|it| it.state) {
            Some(ListedHostState::Live) => Cell::text("live"),
            Some(ListedHostState::Leaving) => Cell::text("leaving"),
            None if list_available => Cell::text("unlisted"),
            None => Cell::None,
        };
        let zone = target
            .map(|it| &it.row.zone)
            .or(listed_host.map(|it| &it.zone));
        let ip = target
            .map(|it| it.row.gate.ip())
            .or(listed_host.map(|it| it.ip));
        vec![
            Cell::text(host),
            Cell::optional_text(zone),
            Cell::optional_text(ip),
            platform,
            Cell::yes_no(config.drains.contains(host)),
            Cell::text(target.map_or("silent", |it| state_name(it.row.state))),
            target.map_or(Cell::None, |it| Cell::count(it.row.load.in_flight)),
            target.map_or(Cell::None, |it| Cell::count(it.row.revision.0)),
            target.map_or(Cell::None, |it| {
                Cell::count(it.last_seen.elapsed().as_millis())
            }),
        ]
    };
    names.into_iter().map(row).collect()
}

/// Returns all live entries and the age of their rows in milliseconds.
fn all_entries(snapshot: &ControlSnapshot) -> impl Iterator<Item = (&EntryRow, u128)> {
    let others = snapshot.entries.values();
    let own = snapshot.own.iter().map(|it| (it, 0));
    own.chain(others.map(|it| (&it.row, it.last_seen.elapsed().as_millis())))
}

fn entry_rows(snapshot: &ControlSnapshot) -> Vec<Vec<Cell>> {
    let row = |(it, age): (&EntryRow, u128)| {
        vec![
            Cell::text(&it.host),
            Cell::text(&it.zone),
            Cell::text(&it.region),
            Cell::text(it.callers),
            Cell::text(it.operators),
            Cell::yes_no(it.ready),
            Cell::yes_no(it.leaving),
            Cell::count(it.streams),
            Cell::count(it.revision.0),
            Cell::count(age),
        ]
    };
    all_entries(snapshot).map(row).collect()
}

fn load_rows(snapshot: &ControlSnapshot) -> Vec<Vec<Cell>> {
    let seconds = |ms: Option<u64>| ms.map_or(Cell::None, |it| Cell::Number(it as f64 / 1000.0));
    let target_row = |target: &KnownTarget| {
        let (it, load) = (&target.row, &target.row.load);
        let (kind, name) = kind_and_name(&it.kind);
        let age_ms = target.last_seen.elapsed().as_millis() as u64;
        vec![
            Cell::text(&it.host),
            Cell::text(&it.zone),
            Cell::text(kind),
            Cell::text(name),
            Cell::count(load.in_flight),
            Cell::count(load.limit),
            Cell::count(load.tokens_owed),
            Cell::count(load.first_token_ms),
            Cell::Number(f64::from(load.token_gap_us) / 1000.0),
            load.named_limit
                .map_or(Cell::None, |it| Cell::Number(f64::from(it) / 1000.0)),
            Cell::count(load.refused),
            Cell::yes_no(load.overloaded_ms.is_some()),
            seconds(load.overloaded_ms.map(|it| it + age_ms)),
            Cell::optional_text(load.overload_cause),
        ]
    };
    let entry_row = |(it, age): (&EntryRow, u128)| {
        let overloaded_ms = it.overloaded_ms.map(|it| it + age as u64);
        vec![
            Cell::text(&it.host),
            Cell::text(&it.zone),
            Cell::text("entry"),
            Cell::text(&it.host),
            Cell::count(it.streams),
            Cell::None,
            Cell::None,
            Cell::None,
            Cell::None,
            Cell::None,
            Cell::None,
            Cell::yes_no(it.overloaded_ms.is_some()),
            seconds(overloaded_ms),
            Cell::optional_text(it.overload_cause),
        ]
    };
    let targets = snapshot.targets.values().map(|it| target_row(it));
    targets
        .chain(all_entries(snapshot).map(entry_row))
        .collect()
}

fn rollout_rows(snapshot: &ControlSnapshot, config: &FleetConfig) -> Vec<Vec<Cell>> {
    let driver = snapshot.permits.iter().max_by_key(|it| it.fencing);
    let row = |(name, model_config): (&ModelName, &model::ModelConfig)| {
        let version = model_config.manifest.version();
        let rows = replicas(snapshot, name);
        let count =
            |predicate: &dyn Fn(&TargetRow) -> bool| rows.iter().filter(|it| predicate(it)).count();
        let serving = count(&|it| it.serving == Some(version) && it.state == GateState::Open);
        let fetched = count(&|it| {
            let complete = it
                .transfer
                .is_some_and(|it| it.version == version && it.is_complete());
            it.serving == Some(version) || complete
        });
        let state = match () {
            () if rows.is_empty() => "no replicas",
            () if serving == rows.len() => "done",
            () if model_config.paused => "paused",
            () => "running",
        };
        vec![
            Cell::text(name),
            Cell::text(model_config.label()),
            Cell::text(version.short()),
            Cell::text(state),
            Cell::count(rows.len()),
            Cell::count(serving),
            Cell::count(fetched),
            Cell::count(count(&|it| it.state != GateState::Open)),
            Cell::count(model_config.max_out_percent),
            Cell::optional_text(model_config.previous.as_ref().map(|it| &it.label)),
            Cell::text(&model_config.rollout),
            Cell::optional_text(driver.map(|it| format!("fencing {}", it.fencing))),
        ]
    };
    config.models.iter().map(row).collect()
}

fn version_rows(snapshot: &ControlSnapshot, config: &FleetConfig) -> Vec<Vec<Cell>> {
    let mut rows = Vec::new();
    for (name, model_config) in &config.models {
        let mut listed = BTreeSet::new();
        let previous = model_config.previous.as_ref().map(|it| ("previous", it));
        for (usage, manifest) in [("wanted", &model_config.manifest)]
            .into_iter()
            .chain(previous)
        {
            let version = manifest.version();
            listed.insert(version);
            rows.push(version_row(snapshot, name, usage, version, Some(manifest)));
        }
        let served = replicas(snapshot, name).into_iter();
        let served: BTreeSet<_> = served.filter_map(|it| it.serving).collect();
        for version in served.difference(&listed) {
            rows.push(version_row(snapshot, name, "served", *version, None));
        }
    }
    rows
}

fn version_row(
    snapshot: &ControlSnapshot,
    model: &ModelName,
    usage: &str,
    version: VersionDigest,
    manifest: Option<&WeightManifest>,
) -> Vec<Cell> {
    let serving = replicas(snapshot, model);
    let serving = serving.iter().filter(|it| it.serving == Some(version));
    vec![
        Cell::text(model),
        Cell::optional_text(manifest.map(|it| &it.label)),
        Cell::text(version.short()),
        Cell::text(usage),
        Cell::count(serving.count()),
        manifest.map_or(Cell::None, |it| Cell::count(it.total_bytes)),
        manifest.map_or(Cell::None, |it| Cell::count(it.chunk_count())),
    ]
}

fn organisation_rows(config: &FleetConfig) -> Vec<Vec<Cell>> {
    let rows = config.organisations.iter().map(|(name, it)| {
        vec![
            Cell::text(name),
            Cell::count(it.weight),
            Cell::count(it.priority),
            Cell::yes_no(it.denied),
        ]
    });
    rows.collect()
}

fn config_rows(config: &FleetConfig) -> Vec<Vec<Cell>> {
    let row = |kind: &str, name: &dyn ToString, field: &str, value: &dyn ToString| {
        let cells = [
            kind.to_string(),
            name.to_string(),
            field.to_string(),
            value.to_string(),
        ];
        cells.map(Cell::Text).to_vec()
    };
    let mut rows = vec![row("revision", &"newest", "number", &config.revision)];
    for (name, it) in &config.models {
        rows.push(row("model", name, "version", it.label()));
        rows.push(row("model", name, "paused", &it.paused));
        rows.push(row("model", name, "max_out_percent", &it.max_out_percent));
    }
    for (name, it) in &config.services {
        rows.push(row("service", name, "orders", &format!("{:?}", it.orders)));
        rows.push(row("service", name, "keep_outcome_s", &it.keep_outcome_s));
    }
    for (name, it) in &config.organisations {
        rows.push(row("organisation", name, "weight", &it.weight));
        rows.push(row("organisation", name, "priority", &it.priority));
        rows.push(row("organisation", name, "denied", &it.denied));
    }
    for host in &config.drains {
        rows.push(row("host", host, "drained", &true));
    }
    for (name, value) in &config.parameters {
        rows.push(row("parameter", name, "value", value));
    }
    rows
}

fn lease_rows(client: &TableClient) -> Vec<Vec<Cell>> {
    let lease = match client.read(LEASE_KEY) {
        Err(_) => Err("table unavailable"),
        Ok(None) => Err("never taken"),
        Ok(Some(row)) => serde_json::from_value::<LeaseRow>(row.value).map_err(|_| "not readable"),
    };
    let row = lease.as_ref().ok();
    vec![vec![
        Cell::text("rollout"),
        Cell::optional_text(row.map(|it| &it.holder)),
        row.map_or(Cell::None, |it| Cell::count(it.fencing.0)),
        Cell::None,
        Cell::text(lease.as_ref().err().copied().unwrap_or("taken")),
    ]]
}

fn process_rows(snapshot: &ControlSnapshot) -> Vec<Vec<Cell>> {
    let entry_row = |(it, age): (&EntryRow, u128)| {
        let state = match (it.leaving, it.ready) {
            (true, _) => "leaving",
            (false, true) => "ready",
            (false, false) => "not ready",
        };
        vec![
            Cell::text("entry"),
            Cell::text(&it.host),
            Cell::text(&it.zone),
            Cell::text(it.control),
            Cell::text(it.incarnation.0),
            Cell::text(state),
            Cell::count(it.revision.0),
            Cell::count(age),
        ]
    };
    let agent_row = |target: &KnownTarget| {
        let it = &target.row;
        vec![
            Cell::text("agent"),
            Cell::text(&it.host),
            Cell::text(&it.zone),
            Cell::text(it.control),
            Cell::text(it.incarnation.0),
            Cell::text(state_name(it.state)),
            Cell::count(it.revision.0),
            Cell::count(target.last_seen.elapsed().as_millis()),
        ]
    };
    let agents = snapshot.targets.values().map(|it| agent_row(it));
    all_entries(snapshot).map(entry_row).chain(agents).collect()
}

fn replicas<'a>(snapshot: &'a ControlSnapshot, model: &ModelName) -> Vec<&'a TargetRow> {
    let rows = snapshot.targets.values().map(|it| &it.row);
    rows.filter(|it| it.kind == TargetKind::Model(model.clone()))
        .collect()
}

fn version_label(config: &FleetConfig, version: VersionDigest) -> Option<&model::VersionLabel> {
    let manifests = config
        .models
        .values()
        .flat_map(|it| [Some(&it.manifest), it.previous.as_ref()]);
    let mut manifests = manifests.flatten();
    manifests
        .find(|it| it.version() == version)
        .map(|it| &it.label)
}

fn kind_and_name(kind: &TargetKind) -> (&'static str, &str) {
    match kind {
        TargetKind::Model(name) => ("model", name.as_str()),
        TargetKind::Service(name) => ("service", name.as_str()),
    }
}

fn state_name(state: GateState) -> &'static str {
    match state {
        GateState::Starting => "starting",
        GateState::Open => "open",
        GateState::Switching => "switching",
        GateState::Leaving => "leaving",
    }
}
