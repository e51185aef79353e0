//! Failures during a spread, with real processes that are connected by rate-limited links.

mod support;

use std::path::Path;
use std::time::Duration;

use standin::{
    FleetPlan, LinkPlan, NodeFaults, ProcessFleet, SwitchOptions, TableFaults, WeightFaults,
};

/// Plans two regions with one entry and three engines each. The links are so slow that a version takes some seconds to
/// spread.
fn spread_plan(dir: &Path) -> FleetPlan {
    let binary = support::single_zone_plan(dir).binary;
    let mut plan = FleetPlan::uniform(binary, dir.to_owned(), 2, 3);
    plan.weight_bytes = 1 << 20;
    plan.chunk_bytes = 32 << 10;
    plan.links = Some(LinkPlan {
        options: SwitchOptions {
            region_bytes_per_s: Some(700e3),
            local_delay: Duration::from_micros(500),
            region_delay: Duration::from_millis(3),
        },
        origin_bytes_per_s: 1.4e6,
        host_bytes_per_s: 700e3,
        live_share: 0.1,
        fetch_parallel: 3,
    });
    plan
}

/// Rolls out `v1`, calls `inject_fault` once the origin has sent some chunks, and checks that every engine except those
/// on `dead_hosts` eventually serves `label`, within the origin's egress budget.
fn check(
    name: &str,
    label: &str,
    dead_hosts: &[&str],
    inject_fault: impl FnOnce(&mut ProcessFleet),
) -> ProcessFleet {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let mut fleet = ProcessFleet::start(spread_plan(&dir)).unwrap();
    fleet
        .command_until_accepted("entry-1", "rollout demo v1", "rollout-1", WAIT_TIMEOUT)
        .unwrap();
    fleet
        .wait_for("chunks sent by the origin", WAIT_TIMEOUT, |it| {
            (it.origin.served_copies("demo", "v1") > 0.3).then_some(())
        })
        .unwrap();
    inject_fault(&mut fleet);
    fleet
        .wait_for(label, WAIT_TIMEOUT, |it| {
            it.all_engines_serve(label, dead_hosts).then_some(())
        })
        .unwrap();
    for (host, engine) in &fleet.engines {
        let known_versions: Vec<_> = fleet.manifests.values().map(|it| it.version()).collect();
        let mut served_versions = engine.served_versions().into_iter();
        assert!(
            served_versions.all(|it| known_versions.contains(&it)),
            "{host} served an unknown version"
        );
    }
    let copies = fleet.origin.served_copies("demo", label);
    assert!(
        copies <= MAX_ORIGIN_COPIES,
        "the origin sent {copies} copies"
    );
    fleet
}

fn corrupt_all() -> NodeFaults {
    NodeFaults {
        corrupt_share: 1.0,
        ..NodeFaults::default()
    }
}

fn sleep(time: Duration) {
    std::thread::sleep(time);
}

#[test]
fn dead_host_is_replaced_as_chunk_source() {
    check("spread-death", "v1", &["model-3"], |fleet| {
        fleet.process("model-3").kill();
    });
}

#[test]
fn temporary_origin_outage_only_delays_the_spread() {
    check("spread-origin", "v1", &[], |fleet| {
        fleet.origin.set_faults(WeightFaults {
            outage: true,
            ..WeightFaults::default()
        });
        sleep(Duration::from_secs(2));
        fleet.origin.set_faults(WeightFaults::default());
    });
}

#[test]
fn chunks_corrupted_by_a_peer_are_detected_and_never_served() {
    let mut fleet = check("spread-corrupt", "v1", &[], |fleet| {
        fleet
            .switch
            .as_ref()
            .unwrap()
            .set_node_faults("model-1", corrupt_all());
    });
    let others: Vec<String> = (2..=6).map(|it| format!("model-{it}")).collect();
    let detected = others.iter().any(|it| {
        let log = fleet.process(it).log_text();
        log.contains("chunk is corrupted")
    });
    assert!(detected, "no other host detected a corrupted chunk");
}

#[test]
fn restarted_trackers_are_rebuilt_from_reports() {
    check("spread-trackers", "v1", &[], |fleet| {
        for entry in ["entry-1", "entry-2"] {
            fleet.process(entry).kill();
            fleet.start_process(entry).unwrap();
        }
    });
}

#[test]
fn partitioned_regions_catch_up() {
    check("spread-parted", "v1", &[], |fleet| {
        let switch = fleet.switch.clone().unwrap();
        switch.set_partitioned("region-1", "region-2", true);
        sleep(Duration::from_secs(2));
        switch.set_partitioned("region-1", "region-2", false);
    });
}

#[test]
fn version_rolled_out_during_a_spread_supersedes_the_previous_one() {
    check("spread-supersede", "v2", &[], |fleet| {
        fleet
            .command_until_accepted("entry-1", "rollout demo v2", "rollout-2", WAIT_TIMEOUT)
            .unwrap();
    });
}

#[test]
fn host_that_restarts_after_the_spread_catches_up() {
    check("spread-join", "v1", &[], |fleet| {
        fleet.process("model-2").kill();
        fleet
            .wait_for("the others", WAIT_TIMEOUT, |it| {
                it.all_engines_serve("v1", &["model-2"]).then_some(())
            })
            .unwrap();
        fleet.start_process("model-2").unwrap();
    });
}

#[test]
fn chunks_spread_while_the_table_is_down() {
    // The rollout driver needs the table for its lease, so only the transfers can complete during the outage.
    check("spread-table", "v1", &[], |fleet| {
        fleet.table.set_faults(TableFaults {
            outage: true,
            ..TableFaults::default()
        });
        fleet
            .wait_for("complete transfers", WAIT_TIMEOUT, |fleet| {
                let state = fleet.state("entry-1").ok()?;
                let rows = state["targets"].as_array()?;
                let complete = rows.iter().filter(|it| {
                    let transfer = &it["row"]["transfer"];
                    transfer["have_chunks"] == transfer["total_chunks"] && !transfer.is_null()
                });
                (complete.count() == 6).then_some(())
            })
            .unwrap();
        fleet.table.set_faults(TableFaults::default());
    });
}

#[test]
fn host_death_and_corruption_combined() {
    check("spread-both", "v1", &["model-4"], |fleet| {
        fleet
            .switch
            .as_ref()
            .unwrap()
            .set_node_faults("model-1", corrupt_all());
        fleet.process("model-4").kill();
    });
}

/// Egress budget of the spread profile `time`, which the plan uses by default, in copies of the weights.
const MAX_ORIGIN_COPIES: f64 = 4.0;

/// Timeout of every wait, well above what a loaded machine needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);
