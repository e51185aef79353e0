//! Open-loop generation of calls: arrivals do not depend on responses.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use httpio::HttpClient;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::load::call_client::{CallClient, ScheduledCall};
use crate::load::call_outcome::{CallKind, CallRecord};
use crate::load::entry_directory::EntryDirectory;
use crate::load::load_plan::LoadPlan;
use crate::load::load_report::LoadReport;
use crate::standin_runtime::StandinRuntime;

/// Generates load.
#[derive(Debug)]
pub struct LoadGenerator;

/// A running load.
#[derive(Debug)]
pub struct RunningLoad {
    plan: Arc<LoadPlan>,
    stop: Arc<AtomicBool>,
    started_calls: Arc<AtomicUsize>,
    ended_calls: Arc<AtomicUsize>,
    handle: tokio::runtime::Handle,
    collector: JoinHandle<Vec<CallRecord>>,
    started_at: Instant,
}

/// Timeout for connecting to an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

impl LoadGenerator {
    /// Starts the load of `plan`, which runs until [`RunningLoad::finish`] is called.
    pub fn start(runtime: &StandinRuntime, plan: LoadPlan) -> RunningLoad {
        let plan = Arc::new(plan);
        let (sender, mut receiver) = mpsc::unbounded_channel();
        let stop = Arc::new(AtomicBool::new(false));
        let started_calls = Arc::new(AtomicUsize::new(0));
        let ended_calls = Arc::new(AtomicUsize::new(0));
        let client = CallClient {
            plan: plan.clone(),
            directory: Arc::new(EntryDirectory::new(plan.bootstrap_entries.clone())),
            http: HttpClient::new(None, CONNECT_TIMEOUT),
        };
        let ended_counter = ended_calls.clone();
        let collector = runtime.handle().spawn(async move {
            let mut records = Vec::new();
            while let Some(record) = receiver.recv().await {
                ended_counter.fetch_add(1, Ordering::Relaxed);
                records.push(record);
            }
            records
        });
        let rates = [
            (CallKind::Stream, plan.streams_per_s),
            (CallKind::Order, plan.orders_per_s),
            (CallKind::Lookup, plan.lookups_per_s),
        ];
        for (kind, calls_per_s) in rates {
            if calls_per_s > 0.0 {
                runtime.handle().spawn(generate_arrivals(
                    client.clone(),
                    kind,
                    calls_per_s,
                    stop.clone(),
                    started_calls.clone(),
                    sender.clone(),
                ));
            }
        }
        RunningLoad {
            plan,
            stop,
            started_calls,
            ended_calls,
            handle: runtime.handle().clone(),
            collector,
            started_at: Instant::now(),
        }
    }

    /// Runs the load of `plan` for `duration`, then waits for the calls in flight.
    pub fn run(runtime: &StandinRuntime, plan: LoadPlan, duration: Duration) -> LoadReport {
        let load = Self::start(runtime, plan);
        std::thread::sleep(duration);
        load.finish()
    }
}

impl RunningLoad {
    /// Returns the numbers of started and of ended calls.
    pub fn progress(&self) -> (usize, usize) {
        let ended_calls = self.ended_calls.load(Ordering::Relaxed);
        (self.started_calls.load(Ordering::Relaxed), ended_calls)
    }

    /// Stops the arrivals, waits for all calls in flight, and returns the report.
    pub fn finish(self) -> LoadReport {
        self.stop.store(true, Ordering::Relaxed);
        let duration = self.started_at.elapsed();
        let records = self.handle.block_on(self.collector).unwrap_or_default();
        LoadReport::new(&self.plan, records, duration)
    }
}

/// Starts calls of `kind` at random times with an average rate of `calls_per_s`, until `stop` is set.
async fn generate_arrivals(
    client: CallClient,
    kind: CallKind,
    calls_per_s: f64,
    stop: Arc<AtomicBool>,
    started_calls: Arc<AtomicUsize>,
    sender: mpsc::UnboundedSender<CallRecord>,
) {
    let plan = client.plan.clone();
    let mut rng = StdRng::seed_from_u64(plan.seed ^ ((kind as u64 + 1) << 32));
    let mut scheduled_at = Instant::now();
    for number in 0_u64.. {
        // Independent callers form a Poisson process, whose inter-arrival times are exponentially distributed.
        let interval = -(1.0 - rng.random::<f64>()).ln() / calls_per_s;
        scheduled_at += Duration::from_secs_f64(interval);
        tokio::time::sleep_until(scheduled_at.into()).await;
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let call = ScheduledCall {
            kind,
            run_key: run_key(&plan, kind, number),
            organisation: pick_organisation(&plan, &mut rng),
            scheduled_at,
        };
        started_calls.fetch_add(1, Ordering::Relaxed);
        let (client, sender) = (client.clone(), sender.clone());
        let call_rng = StdRng::seed_from_u64(rng.random());
        tokio::spawn(async move {
            let _ = sender.send(client.call(call, call_rng).await);
        });
    }
}

/// Returns the key under which engines and services count call `number`.
fn run_key(plan: &LoadPlan, kind: CallKind, number: u64) -> String {
    let seed = plan.seed;
    match kind {
        CallKind::Stream => format!("{}question {seed}-{number}", plan.shared_prompt),
        CallKind::Order => format!("order-{seed}-{number}"),
        CallKind::Lookup => format!("/stock?item={seed}-{number}"),
    }
}

/// Returns the index of an organisation drawn at random by weight.
fn pick_organisation(plan: &LoadPlan, rng: &mut StdRng) -> usize {
    let total: u32 = plan.organisations.iter().map(|it| it.weight.max(1)).sum();
    let mut draw = rng.random_range(0..total.max(1));
    for (idx, organisation) in plan.organisations.iter().enumerate() {
        let weight = organisation.weight.max(1);
        if draw < weight {
            return idx;
        }
        draw -= weight;
    }
    0
}
