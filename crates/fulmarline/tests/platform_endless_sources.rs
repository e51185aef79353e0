//! A store, an origin and another agent that send bytes which are no response, without end.

#[path = "support/site.rs"]
mod site;

use std::time::{Duration, Instant};

use httpio::{Method, StatusCode};
use serde_json::json;
use site::TestSite;
use standin::{EndlessBytes, EndlessProxy, RawFraming, RawReplica, RawResponse, RunCounts};

/// Where the responses have no end.
const KINDS: [EndlessBytes; 5] = [
    EndlessBytes::StatusLine,
    EndlessBytes::HeaderLines,
    EndlessBytes::Chunks,
    EndlessBytes::TinyChunks,
    EndlessBytes::BulkTrickle,
];

/// Time for which each of them lasts.
const KIND_TIME: Duration = Duration::from_millis(900);

/// Time in which a process asks again that could not read a response.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);

/// Half of the memory of the smallest entry and of the smallest agent, in kilobytes.
const MAX_ENTRY_PEAK_KB: u64 = 130_000;
const MAX_AGENT_PEAK_KB: u64 = 64_000;

/// Makes the proxy respond without end in each way, while clients of `entry` are served on `path`, which needs no key: a store
/// without end confirms no configuration, so requests with a key are refused after a while.
fn check_clients(site: &TestSite, proxy: &EndlessProxy, entry: usize, path: &str) {
    for kind in KINDS {
        let answered = proxy.endless_count();
        proxy.set_endless(Some(kind));
        let begin = Instant::now();
        let is_read = || proxy.endless_count() > answered;
        while begin.elapsed() < KIND_TIME || (!is_read() && begin.elapsed() < MAX_IDLE_TIME) {
            let response = site
                .caller()
                .call_without_key(entry, Method::GET, path, "during");
            let status = response.map(|it| it.status);
            assert_eq!(status, Some(StatusCode::OK), "{kind:?}");
            std::thread::sleep(Duration::from_millis(20));
        }
        assert!(is_read(), "{kind:?} is not read");
    }
    proxy.set_endless(None);
}

fn check_peaks(site: &TestSite) {
    let agents = site.agents.iter().map(|it| (it, MAX_AGENT_PEAK_KB));
    let entries = site.entries.iter().map(|it| (it, MAX_ENTRY_PEAK_KB));
    for (process, max_peak_kb) in agents.chain(entries) {
        let peak_kb = process.peak_memory_kb();
        println!("peak {peak_kb} kB of {max_peak_kb}");
        assert!(peak_kb < max_peak_kb, "a process used {peak_kb} kB");
    }
}

/// Guards against entries and agents that run out of memory, or stop serving, because the store responds without end.
#[test]
fn a_store_without_end_exhausts_no_process() {
    let mut site = TestSite::start("endless-store", 190, &[1]);
    let proxy = EndlessProxy::start(([127, 0, 0, 1], 0).into(), site.store.address()).unwrap();
    site.store_proxy = Some(proxy.address());
    site.configure(&site::route("open"));
    site.entries[1].kill();
    site.start_entry(1);
    site.add_model_replica(202, 1);
    site.wait_for_route(&[1], "open");
    check_clients(&site, &proxy, 1, "/open/1");
    site.declare(2);
    for replica in &site.models {
        site.wait("version 2", |_| (replica.version() == 2).then_some(()));
    }
    check_peaks(&site);
}

/// Guards against agents that run out of memory, or never load a version, because the origin responds without end at first.
#[test]
fn an_origin_without_end_exhausts_no_agent() {
    let mut site = TestSite::start("endless-origin", 192, &[1, 1]);
    let proxy = EndlessProxy::start(([127, 0, 0, 1], 0).into(), site.origin.address()).unwrap();
    site.origin_proxy = Some(proxy.address());
    site.configure(&site::route("open"));
    site.wait_for_route(&[0, 1], "open");
    // Agents ask for a configuration at long intervals.
    std::thread::sleep(Duration::from_secs(3));
    proxy.set_endless(Some(KINDS[0]));
    site.declare(2);
    check_clients(&site, &proxy, 0, "/open/1");
    for replica in &site.models {
        site.wait("version 2", |_| (replica.version() == 2).then_some(()));
        assert_eq!(replica.mixed_loads(), 0);
    }
    check_peaks(&site);
}

/// Guards against agents that run out of memory, or never load a version, because another agent responds without end.
#[test]
fn an_agent_without_end_exhausts_no_other() {
    let site = TestSite::start("endless-agent", 194, &[1, 1]);
    let ip = [127, 0, 1, 206];
    let address = (ip, site.ports.internal.0).into();
    let proxy = EndlessProxy::start(address, site.origin.address()).unwrap();
    proxy.set_endless(Some(EndlessBytes::Chunks));
    let runs = RunCounts::default();
    let replica = RawReplica::start("m-endless", ip, &runs, |_| {
        RawResponse::complete(RawFraming::Length, vec![json!({}).to_string()])
    });
    let replica = replica.unwrap();
    // Agents ask one that is said to serve the version first.
    let row = replica.row_with_version("pool", "a", 2);
    site.store.put("servers", replica.id(), &row);
    std::thread::sleep(Duration::from_secs(3));
    site.declare(2);
    for replica in &site.models {
        site.wait("version 2", |_| (replica.version() == 2).then_some(()));
        assert_eq!(replica.mixed_loads(), 0);
    }
    assert!(proxy.endless_count() > 0, "no agent asked the endless one");
    check_peaks(&site);
}
