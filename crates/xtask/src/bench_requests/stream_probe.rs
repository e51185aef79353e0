//! What entry and agent add to a stream, and how many streams one entry holds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::Context;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use httpio::{HttpClient, Request};
use serde_json::json;
use standin::{EngineOptions, FleetPlan, ProcessFleet, TargetPlan};

use crate::bench_requests::request_report::RequestReport;

/// Times of many streams at once.
struct ProbeTimes {
    first_token_us: Histogram<u64>,
    token_gap_us: Histogram<u64>,
    whole: usize,
}

/// Measures streams to the engine itself and through an entry and an agent, in turns, then how many an entry holds.
pub(crate) fn run(binary: PathBuf, dir: PathBuf, report: &mut RequestReport) -> anyhow::Result<()> {
    let fleet = start_fleet(binary.clone(), dir.clone(), 1)?;
    let engine = fleet.engines["model-1"].address();
    let entry = fleet.callers()[0];
    probe(&fleet, entry, STREAMS, "warm")?;
    let direct = probe(&fleet, engine, STREAMS, "direct")?;
    let through = probe(&fleet, entry, STREAMS, "through")?;
    let added = |through: &Histogram<u64>, direct: &Histogram<u64>| {
        (through.value_at_quantile(0.99) as f64 - direct.value_at_quantile(0.99) as f64) / 1_000.0
    };
    report.added_ttft_p99_ms = added(&through.first_token_us, &direct.first_token_us);
    report.added_gap_p99_ms = added(&through.token_gap_us, &direct.token_gap_us);
    drop(fleet);
    // One engine that serves every stream is late and its gate admits fewer, which says nothing of the entry.
    let mut fleet = start_fleet(binary, dir, MANY_ENGINES)?;
    let held = probe(&fleet, fleet.callers()[0], MANY_STREAMS, "many")?;
    report.streams_held = held.whole;
    let pid = fleet.process("entry-1").id();
    report.entry_rss_mb = resident_mb(pid)?;
    Ok(())
}

/// Starts one entry before `engines` engines that serve the same version.
fn start_fleet(binary: PathBuf, dir: PathBuf, engines: usize) -> anyhow::Result<ProcessFleet> {
    let mut plan = FleetPlan::uniform(binary, dir, 1, engines);
    plan.weight_bytes = 1 << 20;
    for agent in &mut plan.agents {
        agent.target = TargetPlan::Engine(EngineOptions {
            token_interval: TOKEN_INTERVAL,
            max_batch: 2 * STREAMS,
            ..EngineOptions::default()
        });
    }
    let fleet = ProcessFleet::start(plan)?;
    fleet.command_until_accepted("entry-1", "rollout demo v1", "rollout-1", START_TIMEOUT)?;
    fleet.wait_for("open targets", START_TIMEOUT, |it| {
        it.entries_see_targets(engines).then_some(())
    })?;
    Ok(fleet)
}

fn probe(
    fleet: &ProcessFleet,
    address: SocketAddr,
    streams: usize,
    label: &str,
) -> anyhow::Result<ProbeTimes> {
    let client = HttpClient::new(None, START_TIMEOUT);
    let new_histogram =
        || Histogram::new_with_bounds(1, MAX_TIME_US, 3).expect("the bounds are valid");
    let mut times = ProbeTimes {
        first_token_us: new_histogram(),
        token_gap_us: new_histogram(),
        whole: 0,
    };
    fleet.runtime().block_on(async {
        let mut tasks = Vec::new();
        let mut failures: BTreeMap<String, usize> = BTreeMap::new();
        for number in 0..streams {
            let (client, prompt) = (client.clone(), format!("{label} {number}"));
            tasks.push(tokio::spawn(one_stream(client, address, prompt)));
            tokio::time::sleep(START_PAUSE).await;
        }
        for task in tasks {
            let (first, gaps, is_whole) = match task.await {
                Ok(Ok(it)) => it,
                Ok(Err(err)) => {
                    *failures.entry(format!("{err:#}")).or_default() += 1;
                    continue;
                }
                Err(err) => return Err(err),
            };
            times
                .first_token_us
                .saturating_record(first.as_micros() as u64);
            for gap in gaps {
                times.token_gap_us.saturating_record(gap.as_micros() as u64);
            }
            times.whole += usize::from(is_whole);
        }
        for (failure, count) in failures {
            println!("probe {label}: {count} streams failed: {failure}");
        }
        Ok(())
    })?;
    Ok(times)
}

async fn one_stream(
    client: HttpClient,
    address: SocketAddr,
    prompt: String,
) -> anyhow::Result<(Duration, Vec<Duration>, bool)> {
    let body = json!({ "model": "demo", "prompt": prompt, "max_tokens": TOKENS, "stream": true });
    let request = Request::post("/v1/completions")
        .header("authorization", "Bearer token-north")
        .body(httpio::full(body.to_string()))?;
    let start = Instant::now();
    let reply = client.send(address, request).await?;
    let (response, _sender, _) = reply.into_parts();
    let result = response.headers().get(model::RESULT_HEADER);
    let result = result
        .map_or("no result", |it| it.to_str().unwrap_or("no text"))
        .to_owned();
    let mut body = response.into_body();
    let mut first = None;
    let mut gaps = Vec::new();
    let mut last = start;
    let mut tokens = 0;
    // A read may end inside of an event, so the end of the last one is looked at again.
    let mut text = Vec::new();
    let mut is_whole = false;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        text.extend_from_slice(&data);
        let arrived = text
            .windows(INDEX_FIELD.len())
            .filter(|it| *it == INDEX_FIELD)
            .count();
        let rest = text.len().min(END_MARK.len().max(INDEX_FIELD.len()) - 1);
        let is_end = text.ends_with(END_MARK);
        text.drain(..text.len() - rest);
        is_whole |= is_end;
        if arrived == 0 {
            continue;
        }
        let now = Instant::now();
        match first {
            None => first = Some(now - start),
            Some(_) => gaps.push(now - last),
        }
        last = now;
        tokens += arrived;
    }
    let first = first.with_context(|| format!("no token, result {result}"))?;
    anyhow::ensure!(is_whole, "the stream has no end mark, result {result}");
    Ok((first, gaps, tokens == TOKENS))
}

fn resident_mb(pid: u32) -> anyhow::Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find(|it| it.starts_with("VmRSS:"));
    let kib = line.and_then(|it| it.split_whitespace().nth(1)?.parse::<f64>().ok());
    Ok(kib.context("the process has no resident size")? / 1024.0)
}

/// What each token's event holds once.
const INDEX_FIELD: &[u8] = b"\"finish_reason\"";

/// The end of every whole answer.
const END_MARK: &[u8] = b"data: [DONE]\n\n";

/// Streams at once for the added delay.
const STREAMS: usize = 100;

/// Streams at once that one entry has to hold: five times its part at the stated size.
const MANY_STREAMS: usize = 600;

/// Engines that serve those streams.
const MANY_ENGINES: usize = 6;

/// Tokens of each stream.
const TOKENS: usize = 60;

/// Pause of the engine between tokens.
const TOKEN_INTERVAL: Duration = Duration::from_millis(40);

/// Pause between the starts of streams, so that they do not beat in step.
const START_PAUSE: Duration = Duration::from_micros(2_300);

/// Time for the fleet to come together.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest time that is told apart, in microseconds.
const MAX_TIME_US: u64 = 60_000_000;
