//! The binary `fulmarline-standin`, which runs individual stand-ins as processes.

mod flags;

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use flags::{FulmarlineStandin, FulmarlineStandinCmd, Load, Platform};
use model::{ModelName, VersionLabel};
use standin::{
    EngineOptions, HostList, LoadGenerator, LoadOrganisation, LoadPlan, ModelEngine, ObjectStore,
    PlainService, StandinRuntime, TableService, WeightCatalog, WeightSource, synthetic_weights,
};

/// Number of worker threads of a stand-in process.
const THREADS: usize = 2;

/// Chunk size of the weights that `platform` serves, in bytes.
const CHUNK_BYTES: u64 = 256 * 1024;

fn main() -> anyhow::Result<()> {
    let flags = FulmarlineStandin::from_env_or_exit();
    let runtime = StandinRuntime::new(THREADS)?;
    match flags.subcommand {
        FulmarlineStandinCmd::Platform(flags) => start_platform(&runtime, &flags)?,
        FulmarlineStandinCmd::Engine(flags) => {
            let mut options = EngineOptions {
                checks_fencing: !flags.ignore_fencing,
                loads_beside: flags.beside,
                ..EngineOptions::default()
            };
            if let Some(ms) = flags.token_ms {
                options.token_interval = Duration::from_millis(ms);
            }
            let engine = ModelEngine::start(&runtime, listen_address(flags.listen), options)?;
            println!("engine {}", engine.address());
        }
        FulmarlineStandinCmd::Service(flags) => {
            let service = PlainService::start(&runtime, listen_address(flags.listen), &flags.name)?;
            println!("service {}", service.address());
        }
        FulmarlineStandinCmd::Load(flags) => return run_load(&runtime, flags),
    }
    runtime
        .block_on(tokio::signal::ctrl_c())
        .context("cannot install the signal handler")
}

fn start_platform(runtime: &StandinRuntime, flags: &Platform) -> anyhow::Result<()> {
    let mut catalog = WeightCatalog::default();
    let bytes = flags.weights_bytes.unwrap_or(DEFAULT_WEIGHTS_BYTES);
    for number in 1..=flags.versions.unwrap_or(DEFAULT_VERSIONS) {
        let label = VersionLabel::new(format!("v{number}"))?;
        let data = synthetic_weights(number, bytes);
        catalog.add(ModelName::new("demo")?, label, CHUNK_BYTES, data);
    }
    let table = TableService::start(runtime, listen_address(None))?;
    let objects = ObjectStore::start(runtime, listen_address(None))?;
    let origin = WeightSource::start(runtime, listen_address(None), catalog.clone())?;
    let weight_store = WeightSource::start(runtime, listen_address(None), catalog)?;
    let hosts = HostList::start(runtime, listen_address(None), HOST_LIST_LAG)?;
    origin.set_faults(standin::WeightFaults {
        bytes_per_s: flags.origin_rate,
        ..standin::WeightFaults::default()
    });
    println!("table {}", table.address());
    println!("objects {}", objects.address());
    println!("origin {}", origin.address());
    println!("weight_store {}", weight_store.address());
    println!("hosts {}", hosts.address());
    Ok(())
}

/// Runs the load and prints the totals as JSON. Fails, with exit code 1, if any response is wrong or truncated.
fn run_load(runtime: &StandinRuntime, flags: Load) -> anyhow::Result<()> {
    let default = LoadPlan::default();
    let plan = LoadPlan {
        bootstrap_entries: vec![flags.entry],
        organisations: vec![LoadOrganisation {
            name: "caller".to_owned(),
            token: flags.token,
            weight: 1,
        }],
        streams_per_s: flags.streams.unwrap_or(default.streams_per_s),
        orders_per_s: flags.orders.unwrap_or(default.orders_per_s),
        lookups_per_s: flags.lookups.unwrap_or(default.lookups_per_s),
        model: flags.model.unwrap_or(default.model),
        service: flags.service.unwrap_or(default.service),
        tokens: flags.tokens.unwrap_or(default.tokens),
        seed: flags.seed.unwrap_or(default.seed),
        ..LoadPlan::default()
    };
    let seconds = flags.seconds.unwrap_or(DEFAULT_LOAD_SECONDS);
    let report = LoadGenerator::run(runtime, plan, Duration::from_secs(seconds));
    println!("{}", serde_json::to_string_pretty(&report.totals)?);
    let totals = &report.totals;
    anyhow::ensure!(
        totals.cut + totals.wrong + totals.mixed == 0,
        "some responses are wrong or truncated: {:?}",
        report.describe_faults(MAX_REPORTED_FAULTS)
    );
    Ok(())
}

fn listen_address(address: Option<SocketAddr>) -> SocketAddr {
    address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

/// Default size of the weights of a version, in bytes.
const DEFAULT_WEIGHTS_BYTES: usize = 8 << 20;

/// Default number of versions.
const DEFAULT_VERSIONS: u64 = 2;

/// Delay until a change of the host list becomes visible.
const HOST_LIST_LAG: Duration = Duration::from_secs(3);

/// Default duration of the load, in seconds.
const DEFAULT_LOAD_SECONDS: u64 = 10;

/// Maximum number of wrong or truncated responses that the error describes.
const MAX_REPORTED_FAULTS: usize = 5;
