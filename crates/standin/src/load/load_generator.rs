//! Arrivals that do not wait for answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use httpio::HttpClient;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::load::call_client::{CallClient, PlannedCall};
use crate::load::call_outcome::{CallKind, CallRecord};
use crate::load::entry_directory::EntryDirectory;
use crate::load::load_plan::LoadPlan;
use crate::load::load_report::LoadReport;
use crate::standin_runtime::StandinRuntime;

/// Starts load.
#[derive(Debug)]
pub struct LoadGenerator;

/// Load that runs.
#[derive(Debug)]
pub struct RunningLoad {
    plan: Arc<LoadPlan>,
    stop: Arc<AtomicBool>,
    started: Arc<AtomicUsize>,
    ended: Arc<AtomicUsize>,
    handle: tokio::runtime::Handle,
    collector: JoinHandle<Vec<CallRecord>>,
    begin: Instant,
}

/// Longest wait for a connection to an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

impl LoadGenerator {
    /// Starts the load of `plan`, which goes on until it is finished.
    pub fn start(runtime: &StandinRuntime, plan: LoadPlan) -> RunningLoad {
        let plan = Arc::new(plan);
        let (sender, mut receiver) = mpsc::unbounded_channel();
        let stop = Arc::new(AtomicBool::new(false));
        let started = Arc::new(AtomicUsize::new(0));
        let ended = Arc::new(AtomicUsize::new(0));
        let client = CallClient {
            plan: plan.clone(),
            directory: Arc::new(EntryDirectory::new(plan.bootstrap_entries.clone())),
            http: HttpClient::new(None, CONNECT_TIMEOUT),
        };
        let counted = ended.clone();
        let collector = runtime.handle().spawn(async move {
            let mut records = Vec::new();
            while let Some(record) = receiver.recv().await {
                counted.fetch_add(1, Ordering::Relaxed);
                records.push(record);
            }
            records
        });
        let rates = [
            (CallKind::Stream, plan.streams_per_s),
            (CallKind::Order, plan.orders_per_s),
            (CallKind::Lookup, plan.lookups_per_s),
        ];
        for (kind, per_second) in rates {
            if per_second > 0.0 {
                runtime.handle().spawn(arrive(
                    client.clone(),
                    kind,
                    per_second,
                    stop.clone(),
                    started.clone(),
                    sender.clone(),
                ));
            }
        }
        RunningLoad {
            plan,
            stop,
            started,
            ended,
            handle: runtime.handle().clone(),
            collector,
            begin: Instant::now(),
        }
    }

    /// Runs the load of `plan` for `duration` and waits for the answers that are under way then.
    pub fn run(runtime: &StandinRuntime, plan: LoadPlan, duration: Duration) -> LoadReport {
        let load = Self::start(runtime, plan);
        std::thread::sleep(duration);
        load.finish()
    }
}

impl RunningLoad {
    /// Returns the calls that were started and those that have ended.
    pub fn progress(&self) -> (usize, usize) {
        let ended = self.ended.load(Ordering::Relaxed);
        (self.started.load(Ordering::Relaxed), ended)
    }

    /// Stops the arrivals, waits for every answer under way, and reports.
    pub fn finish(self) -> LoadReport {
        self.stop.store(true, Ordering::Relaxed);
        let lasted = self.begin.elapsed();
        let records = self.handle.block_on(self.collector).unwrap_or_default();
        LoadReport::new(&self.plan, records, lasted)
    }
}

async fn arrive(
    client: CallClient,
    kind: CallKind,
    per_second: f64,
    stop: Arc<AtomicBool>,
    started: Arc<AtomicUsize>,
    sender: mpsc::UnboundedSender<CallRecord>,
) {
    let plan = client.plan.clone();
    let mut dice = StdRng::seed_from_u64(plan.seed ^ ((kind as u64 + 1) << 32));
    let mut planned = Instant::now();
    for number in 0_u64.. {
        // Independent callers arrive with exponential pauses.
        let pause = -(1.0 - dice.random::<f64>()).ln() / per_second;
        planned += Duration::from_secs_f64(pause);
        tokio::time::sleep_until(planned.into()).await;
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let call = PlannedCall {
            kind,
            marker: marker(&plan, kind, number),
            organisation: draw_organisation(&plan, &mut dice),
            planned,
        };
        started.fetch_add(1, Ordering::Relaxed);
        let (client, sender) = (client.clone(), sender.clone());
        let own_dice = StdRng::seed_from_u64(dice.random());
        tokio::spawn(async move {
            let _ = sender.send(client.call(call, own_dice).await);
        });
    }
}

/// Returns the text by which call `number` is known at engines and services.
fn marker(plan: &LoadPlan, kind: CallKind, number: u64) -> String {
    let seed = plan.seed;
    match kind {
        CallKind::Stream => format!("{}question {seed}-{number}", plan.shared_prompt),
        CallKind::Order => format!("order-{seed}-{number}"),
        CallKind::Lookup => format!("/stock?item={seed}-{number}"),
    }
}

fn draw_organisation(plan: &LoadPlan, dice: &mut StdRng) -> usize {
    let total: u32 = plan.organisations.iter().map(|it| it.weight.max(1)).sum();
    let mut draw = dice.random_range(0..total.max(1));
    for (idx, organisation) in plan.organisations.iter().enumerate() {
        let weight = organisation.weight.max(1);
        if draw < weight {
            return idx;
        }
        draw -= weight;
    }
    0
}
