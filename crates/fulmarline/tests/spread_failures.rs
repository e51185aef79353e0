//! Failures in the middle of a spread, with real processes behind shaped links.

mod support;

use std::path::Path;
use std::time::Duration;

use standin::{
    FleetPlan, LinkPlan, NodeFaults, ProcessFleet, SwitchOptions, TableFaults, WeightFaults,
};

/// Two regions with an entry and three engines each, behind links that a version takes some seconds to pass.
fn spread_plan(dir: &Path) -> FleetPlan {
    let binary = support::small_plan(dir).binary;
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

/// Rolls `v1` out, brings `fault` about once some chunks have left the origin, and checks that every engine but those on
/// `lost` comes to serve `label` within the origin's budget.
fn check(
    name: &str,
    label: &str,
    lost: &[&str],
    fault: impl FnOnce(&mut ProcessFleet),
) -> ProcessFleet {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let mut fleet = ProcessFleet::start(spread_plan(&dir)).unwrap();
    fleet
        .command_until_accepted("entry-1", "rollout demo v1", "rollout-1", PATIENCE)
        .unwrap();
    fleet
        .wait_for("chunks under way", PATIENCE, |it| {
            (it.origin.served_copies("demo", "v1") > 0.3).then_some(())
        })
        .unwrap();
    fault(&mut fleet);
    fleet
        .wait_for(label, PATIENCE, |it| {
            it.all_engines_serve(label, lost).then_some(())
        })
        .unwrap();
    for (host, engine) in &fleet.engines {
        let known: Vec<_> = fleet.manifests.values().map(|it| it.version()).collect();
        let mut served = engine.served_versions().into_iter();
        assert!(
            served.all(|it| known.contains(&it)),
            "{host} served something else"
        );
    }
    let copies = fleet.origin.served_copies("demo", label);
    assert!(copies <= ORIGIN_COPIES, "{copies} copies left the origin");
    fleet
}

fn corrupting() -> NodeFaults {
    NodeFaults {
        corrupt_share: 1.0,
        ..NodeFaults::default()
    }
}

fn pause(time: Duration) {
    std::thread::sleep(time);
}

#[test]
fn host_that_dies_is_replaced_as_carrier() {
    check("spread-death", "v1", &["model-3"], |fleet| {
        fleet.process("model-3").kill();
    });
}

#[test]
fn origin_that_goes_away_and_returns_costs_time_only() {
    check("spread-origin", "v1", &[], |fleet| {
        fleet.origin.set_faults(WeightFaults {
            outage: true,
            ..WeightFaults::default()
        });
        pause(Duration::from_secs(2));
        fleet.origin.set_faults(WeightFaults::default());
    });
}

#[test]
fn peer_that_corrupts_all_along_spoils_nothing() {
    let mut fleet = check("spread-corrupt", "v1", &[], |fleet| {
        fleet
            .switch
            .as_ref()
            .unwrap()
            .set_node_faults("model-1", corrupting());
    });
    let others: Vec<String> = (2..=6).map(|it| format!("model-{it}")).collect();
    let seen = others.iter().any(|it| {
        let log = fleet.process(it).log_text();
        log.contains("chunk is corrupted")
    });
    assert!(seen, "the fault was not brought about");
}

#[test]
fn trackers_that_restart_are_rebuilt_from_reports() {
    check("spread-trackers", "v1", &[], |fleet| {
        for entry in ["entry-1", "entry-2"] {
            fleet.process(entry).kill();
            fleet.start_process(entry).unwrap();
        }
    });
}

#[test]
fn parted_regions_catch_up() {
    check("spread-parted", "v1", &[], |fleet| {
        let switch = fleet.switch.clone().unwrap();
        switch.set_partitioned("region-1", "region-2", true);
        pause(Duration::from_secs(2));
        switch.set_partitioned("region-1", "region-2", false);
    });
}

#[test]
fn version_that_arrives_half_way_supersedes() {
    check("spread-supersede", "v2", &[], |fleet| {
        fleet
            .command_until_accepted("entry-1", "rollout demo v2", "rollout-2", PATIENCE)
            .unwrap();
    });
}

#[test]
fn host_that_comes_back_at_the_end_catches_up() {
    check("spread-join", "v1", &[], |fleet| {
        fleet.process("model-2").kill();
        fleet
            .wait_for("the others", PATIENCE, |it| {
                it.all_engines_serve("v1", &["model-2"]).then_some(())
            })
            .unwrap();
        fleet.start_process("model-2").unwrap();
    });
}

#[test]
fn chunks_spread_while_the_table_is_down() {
    // Switching needs the table for the driver's lease, so only the transfer is expected to end during the outage.
    check("spread-table", "v1", &[], |fleet| {
        fleet.table.set_faults(TableFaults {
            outage: true,
            ..TableFaults::default()
        });
        fleet
            .wait_for("complete transfers", PATIENCE, |fleet| {
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
fn death_and_corruption_together() {
    check("spread-both", "v1", &["model-4"], |fleet| {
        fleet
            .switch
            .as_ref()
            .unwrap()
            .set_node_faults("model-1", corrupting());
        fleet.process("model-4").kill();
    });
}

/// The budget of the profile `time`.
const ORIGIN_COPIES: f64 = 4.0;

/// Longest wait for anything; far above what a busy machine needs.
const PATIENCE: Duration = Duration::from_secs(90);
