//! Measures the latency that entry and agent add to a stream, and how many concurrent streams one entry sustains.

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

/// Latencies of concurrent streams.
struct StreamLatencies {
    first_token_us: Histogram<u64>,
    token_gap_us: Histogram<u64>,
    /// Streams that delivered all tokens and the end marker.
    complete: usize,
}

/// Compares the latencies of streams to an engine directly and through an entry and an agent, then measures how many
/// concurrent streams one entry sustains.
pub(crate) fn run(binary: PathBuf, dir: PathBuf, report: &mut RequestReport) -> anyhow::Result<()> {
    let fleet = start_fleet(binary.clone(), dir.clone(), 1)?;
    let engine = fleet.engines["model-1"].address();
    let entry = fleet.callers()[0];
    run_streams(&fleet, entry, LATENCY_STREAMS, "warm")?;
    let direct = run_streams(&fleet, engine, LATENCY_STREAMS, "direct")?;
    let proxied = run_streams(&fleet, entry, LATENCY_STREAMS, "through")?;
    let added = |proxied: &Histogram<u64>, direct: &Histogram<u64>| {
        (proxied.value_at_quantile(0.99) as f64 - direct.value_at_quantile(0.99) as f64) / 1_000.0
    };
    report.added_ttft_p99_ms = added(&proxied.first_token_us, &direct.first_token_us);
    report.added_gap_p99_ms = added(&proxied.token_gap_us, &direct.token_gap_us);
    drop(fleet);
    // With a single engine, the engine would slow down and its gate would admit fewer streams, so the result would not
    // measure the entry.
    let mut fleet = start_fleet(binary, dir, CAPACITY_ENGINES)?;
    let sustained = run_streams(&fleet, fleet.callers()[0], CAPACITY_STREAMS, "many")?;
    report.streams_held = sustained.complete;
    let pid = fleet.process("entry-1").id();
    report.entry_rss_mb = resident_mb(pid)?;
    Ok(())
}

/// Starts one entry with `engines` engines that serve the same version.
fn start_fleet(binary: PathBuf, dir: PathBuf, engines: usize) -> anyhow::Result<ProcessFleet> {
    let mut plan = FleetPlan::uniform(binary, dir, 1, engines);
    plan.weight_bytes = 1 << 20;
    for agent in &mut plan.agents {
        agent.target = TargetPlan::Engine(EngineOptions {
            token_interval: TOKEN_INTERVAL,
            max_batch: 2 * LATENCY_STREAMS,
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

/// Runs `streams` concurrent streams to `address` and returns their latencies; failures are printed.
fn run_streams(
    fleet: &ProcessFleet,
    address: SocketAddr,
    streams: usize,
    label: &str,
) -> anyhow::Result<StreamLatencies> {
    let client = HttpClient::new(None, START_TIMEOUT);
    let new_histogram =
        || Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid");
    let mut latencies = StreamLatencies {
        first_token_us: new_histogram(),
        token_gap_us: new_histogram(),
        complete: 0,
    };
    fleet.runtime().block_on(async {
        let mut tasks = Vec::new();
        let mut failures: BTreeMap<String, usize> = BTreeMap::new();
        for number in 0..streams {
            let (client, prompt) = (client.clone(), format!("{label} {number}"));
            tasks.push(tokio::spawn(run_stream(client, address, prompt)));
            tokio::time::sleep(START_INTERVAL).await;
        }
        for task in tasks {
            let (first, gaps, is_complete) = match task.await {
                Ok(Ok(it)) => it,
                Ok(Err(err)) => {
                    *failures.entry(format!("{err:#}")).or_default() += 1;
                    continue;
                }
                Err(err) => return Err(err),
            };
            latencies
                .first_token_us
                .saturating_record(first.as_micros() as u64);
            for gap in gaps {
                latencies
                    .token_gap_us
                    .saturating_record(gap.as_micros() as u64);
            }
            latencies.complete += usize::from(is_complete);
        }
        for (failure, count) in failures {
            println!("{label}: {count} streams failed: {failure}");
        }
        Ok(())
    })?;
    Ok(latencies)
}

/// Runs one stream and returns the time to first token, the times between tokens, and whether all tokens arrived.
async fn run_stream(
    client: HttpClient,
    address: SocketAddr,
    prompt: String,
) -> anyhow::Result<(Duration, Vec<Duration>, bool)> {
    let body = json!({ "model": "demo", "prompt": prompt, "max_tokens": TOKENS, "stream": true });
    let request = Request::post("/v1/completions")
        .header("authorization", "Bearer token-north")
        .body(httpio::full(body.to_string()))?;
    let start = Instant::now();
    let pooled_response = client.send(address, request).await?;
    let (response, _sender, _) = pooled_response.into_parts();
    let result = response.headers().get(model::RESULT_HEADER);
    let result = result
        .map_or("no result", |it| it.to_str().unwrap_or("no text"))
        .to_owned();
    let mut body = response.into_body();
    let mut first = None;
    let mut gaps = Vec::new();
    let mut last = start;
    let mut tokens = 0;
    // A read may end within a marker, so the end of the previous data is kept and searched again.
    let mut text = Vec::new();
    let mut has_end_marker = false;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        text.extend_from_slice(&data);
        let new_tokens = text
            .windows(TOKEN_MARKER.len())
            .filter(|it| *it == TOKEN_MARKER)
            .count();
        let kept = text.len().min(END_MARKER.len().max(TOKEN_MARKER.len()) - 1);
        let is_end = text.ends_with(END_MARKER);
        text.drain(..text.len() - kept);
        has_end_marker |= is_end;
        if new_tokens == 0 {
            continue;
        }
        let now = Instant::now();
        match first {
            None => first = Some(now - start),
            Some(_) => gaps.push(now - last),
        }
        last = now;
        tokens += new_tokens;
    }
    let first = first.with_context(|| format!("the stream has no token, result {result}"))?;
    anyhow::ensure!(
        has_end_marker,
        "the stream has no end marker, result {result}"
    );
    Ok((first, gaps, tokens == TOKENS))
}

/// Returns the resident memory of the process `pid`.
fn resident_mb(pid: u32) -> anyhow::Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find(|it| it.starts_with("VmRSS:"));
    let kib = line.and_then(|it| it.split_whitespace().nth(1)?.parse::<f64>().ok());
    Ok(kib.context("/proc/PID/status has no resident size")? / 1024.0)
}

/// Field that occurs exactly once in the event of each token.
const TOKEN_MARKER: &[u8] = b"\"finish_reason\"";

/// End of every complete stream.
const END_MARKER: &[u8] = b"data: [DONE]\n\n";

/// Number of concurrent streams for the measurement of added latency.
const LATENCY_STREAMS: usize = 100;

/// Number of concurrent streams that one entry must sustain: five times its share at the stated size of
/// `docs/CAPACITY.md`.
const CAPACITY_STREAMS: usize = 600;

/// Number of engines that serve these streams.
const CAPACITY_ENGINES: usize = 6;

/// Tokens of each stream.
const TOKENS: usize = 60;

/// Time between tokens that the engine generates.
const TOKEN_INTERVAL: Duration = Duration::from_millis(40);

/// Delay between the starts of streams, so that their tokens do not arrive in lockstep.
const START_INTERVAL: Duration = Duration::from_micros(2_300);

/// Timeout for the start of the fleet.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Upper bound of the latency histograms, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
