//! Tests of the control plane with real processes: concurrent commands, lost replies, restarts and rollouts during an
//! outage of the table, and rollout drivers that are suspended or killed.

use std::path::PathBuf;
use std::time::Duration;

use standin::{EngineOptions, FleetPlan, ProcessFleet, TableFaults, TargetPlan};

const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

fn plan(name: &str, zones: usize, engines: usize) -> FleetPlan {
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_fulmarline"));
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let mut plan = FleetPlan::uniform(binary, dir, zones, engines);
    plan.weight_bytes = 256 << 10;
    plan.chunk_bytes = 64 << 10;
    plan
}

/// Starts a fleet and waits until every entry is ready and knows all other entries.
fn start_ready_fleet(plan: FleetPlan) -> ProcessFleet {
    let fleet = ProcessFleet::start(plan).unwrap();
    wait_ready(&fleet);
    fleet
}

fn entry_names(fleet: &ProcessFleet) -> Vec<String> {
    let names = fleet.process_names().into_iter();
    names.filter(|it| it.starts_with("entry")).collect()
}

fn is_ready(fleet: &ProcessFleet, name: &str) -> bool {
    fleet.state(name).is_ok_and(|it| it["own"]["ready"] == true)
}

/// Returns the revision that is in force on an entry or agent.
fn revision(fleet: &ProcessFleet, name: &str) -> Option<u64> {
    let section = if name.starts_with("entry") {
        "own"
    } else {
        "view"
    };
    fleet.state(name).ok()?[section]["revision"].as_u64()
}

fn wait_ready(fleet: &ProcessFleet) {
    let count = entry_names(fleet).len();
    let all_ready = |it: &ProcessFleet| {
        let sees_all_entries = |name: &String| {
            let Ok(state) = it.state(name) else {
                return false;
            };
            state["own"]["ready"] == true
                && state["entries"]
                    .as_array()
                    .is_some_and(|it| it.len() + 1 == count)
        };
        entry_names(it).iter().all(sees_all_entries).then_some(())
    };
    fleet
        .wait_for("the entries", WAIT_TIMEOUT, all_ready)
        .unwrap();
}

/// Waits until every process has at least the revision `at_least`.
fn wait_revision(fleet: &ProcessFleet, at_least: u64) {
    let all_updated = |it: &ProcessFleet| {
        let mut names = it.process_names().into_iter();
        names
            .all(|name| revision(it, &name).is_some_and(|it| it >= at_least))
            .then_some(())
    };
    fleet
        .wait_for("the revision", WAIT_TIMEOUT, all_updated)
        .unwrap();
}

#[test]
fn one_of_two_conflicting_commands_is_accepted_and_the_other_is_a_conflict() {
    let fleet = start_ready_fleet(plan("control-conflict", 2, 1));
    // The delay of the table ensures that both commands have read the revision before either of them writes.
    fleet.table.set_faults(TableFaults {
        delay_ms: 150,
        ..TableFaults::default()
    });
    let responses: Vec<_> = std::thread::scope(|scope| {
        let commands = [
            ("entry-1", "deny north", "a"),
            ("entry-2", "deny south", "b"),
        ];
        let execute = |(entry, text, id)| {
            let fleet = &fleet;
            scope.spawn(move || fleet.command(entry, text, id).unwrap())
        };
        let threads = commands.map(execute);
        threads.into_iter().map(|it| it.join().unwrap()).collect()
    });
    fleet.table.set_faults(TableFaults::default());
    let accepted: Vec<_> = responses.iter().filter(|it| it.code == 0).collect();
    let conflicting: Vec<_> = responses
        .iter()
        .filter(|it| it.name == "conflict")
        .collect();
    assert_eq!((accepted.len(), conflicting.len()), (1, 1), "{responses:?}");
    assert_eq!(accepted[0].body["revision"], 1);
    assert_eq!(conflicting[0].body["accepted"], false);
    assert!(
        conflicting[0].message.contains("revision 1 by operator"),
        "{}",
        conflicting[0].message
    );
    // The entry whose command conflicted receives the accepted command like every other entry, within seconds.
    wait_revision(&fleet, 1);
    let response = fleet
        .command("entry-1", "show organisations where denied = yes", "q")
        .unwrap();
    assert_eq!(response.body["rows"].as_array().map(Vec::len), Some(1));
}

#[test]
fn a_command_whose_reply_was_lost_is_applied_once() {
    let fleet = start_ready_fleet(plan("control-lost-reply", 1, 1));
    fleet.table.set_faults(TableFaults {
        lose_next: 1,
        ..TableFaults::default()
    });
    let first = fleet
        .command_until_accepted("entry-1", "deny north", "once", WAIT_TIMEOUT)
        .unwrap();
    let again = fleet.command("entry-1", "deny north", "once").unwrap();
    assert_eq!(first.body["revision"], 1);
    assert_eq!(again.body["revision"], 1);
    let other = fleet.command("entry-1", "allow north", "once").unwrap();
    assert_eq!(other.name, "key-reused");
    wait_revision(&fleet, 1);
    let row = fleet.table.row("config/newest").unwrap();
    assert_eq!(row["revision"], 1);
}

#[test]
fn a_command_during_an_outage_is_not_accepted_and_returns_table_unavailable() {
    let fleet = start_ready_fleet(plan("control-outage", 1, 1));
    fleet.table.set_faults(TableFaults {
        outage: true,
        ..TableFaults::default()
    });
    let response = fleet.command("entry-1", "deny north", "c").unwrap();
    assert_eq!(response.name, "table-unavailable");
    assert_eq!(response.body["accepted"], false);
    // Queries are still answered from the last known state, with its age.
    let response = fleet
        .command("entry-1", "show entries host, ready", "q")
        .unwrap();
    assert_eq!(response.body["rows"][0][1], "yes");
    fleet.table.set_faults(TableFaults::default());
    let response = fleet
        .command_in_force("entry-1", "deny north", "c", WAIT_TIMEOUT)
        .unwrap();
    assert_eq!(response["accepted"], true);
    assert_eq!(response["in_force"]["count"], response["in_force"]["of"]);
}

#[test]
fn all_entries_restarted_with_the_table_down_are_not_ready_until_it_is_back() {
    let mut fleet = start_ready_fleet(plan("control-restart-down", 3, 1));
    fleet
        .command_until_accepted("entry-1", "deny north", "c", WAIT_TIMEOUT)
        .unwrap();
    wait_revision(&fleet, 1);
    fleet.table.set_faults(TableFaults {
        outage: true,
        ..TableFaults::default()
    });
    let names = entry_names(&fleet);
    for name in &names {
        fleet.process(name).kill();
    }
    for name in &names {
        fleet.start_process(name).unwrap();
    }
    let responds = |it: &ProcessFleet| {
        let mut names = names.iter();
        names.all(|name| it.state(name).is_ok()).then_some(())
    };
    fleet.wait_for("the dumps", WAIT_TIMEOUT, responds).unwrap();
    std::thread::sleep(Duration::from_secs(3));
    for name in &names {
        assert!(
            !is_ready(&fleet, name),
            "{name} has no configuration and must not be ready"
        );
    }
    for name in fleet
        .process_names()
        .iter()
        .filter(|it| it.starts_with("model"))
    {
        assert_eq!(
            revision(&fleet, name),
            Some(1),
            "{name} must keep its revision"
        );
    }
    fleet.table.set_faults(TableFaults::default());
    wait_ready(&fleet);
    wait_revision(&fleet, 1);
}

#[test]
fn one_entry_restarted_with_the_table_down_receives_the_configuration_from_its_peers() {
    let mut fleet = start_ready_fleet(plan("control-restart-one", 4, 0));
    fleet
        .command_until_accepted("entry-1", "deny north", "c", WAIT_TIMEOUT)
        .unwrap();
    wait_revision(&fleet, 1);
    fleet.table.set_faults(TableFaults {
        outage: true,
        ..TableFaults::default()
    });
    fleet.process("entry-4").kill();
    fleet.start_process("entry-4").unwrap();
    let revision_received = |it: &ProcessFleet| (revision(it, "entry-4") == Some(1)).then_some(());
    fleet
        .wait_for("the peers' revision", WAIT_TIMEOUT, revision_received)
        .unwrap();
    assert!(is_ready(&fleet, "entry-4"));
}

#[test]
fn a_rollout_continues_while_its_driver_is_suspended_and_the_resumed_driver_changes_nothing() {
    let mut fleet = start_ready_fleet(plan("control-driver", 3, 2));
    fleet
        .command_until_accepted("entry-1", "rollout demo v1", "r1", WAIT_TIMEOUT)
        .unwrap();
    let all_serve = |label: &'static str| {
        move |it: &ProcessFleet| it.all_engines_serve(label, &[]).then_some(())
    };
    fleet.wait_for("v1", WAIT_TIMEOUT, all_serve("v1")).unwrap();
    let lease = fleet.table.row("lease/rollout").unwrap();
    let holder = lease["holder"].as_str().unwrap();
    let driver = entry_names(&fleet)
        .into_iter()
        .find(|it| holder.starts_with(it.as_str()))
        .unwrap();
    let other = entry_names(&fleet)
        .into_iter()
        .find(|it| *it != driver)
        .unwrap();
    fleet.process(&driver).suspend();
    fleet
        .command_until_accepted(&other, "rollout demo v2", "r2", WAIT_TIMEOUT)
        .unwrap();
    fleet.wait_for("v2", WAIT_TIMEOUT, all_serve("v2")).unwrap();
    let new_lease = fleet.table.row("lease/rollout").unwrap();
    assert!(
        new_lease["fencing"].as_u64() > lease["fencing"].as_u64(),
        "{lease} {new_lease}"
    );
    fleet.process(&driver).resume();
    std::thread::sleep(Duration::from_secs(2));
    assert!(fleet.all_engines_serve("v2", &[]));
    wait_revision(&fleet, 2);
}

/// Plans four engines, spread evenly over `zones`. They load slowly and switch one by one in each zone, so that a
/// rollout can be interrupted between switches.
fn slow_switch_plan(name: &str, zones: usize) -> FleetPlan {
    let mut plan = plan(name, zones, 4 / zones);
    for agent in &mut plan.agents {
        agent.target = TargetPlan::Engine(EngineOptions {
            load_time: Duration::from_millis(1500),
            ..EngineOptions::default()
        });
    }
    plan
}

/// Returns the number of engines that serve the version `label`.
fn serving_count(fleet: &ProcessFleet, label: &str) -> usize {
    let version = fleet.manifests[label].version();
    let engines = fleet.engines.values();
    engines.filter(|it| it.serving() == Some(version)).count()
}

#[test]
fn a_rollout_pauses_while_the_table_is_down_and_continues_afterwards() {
    let fleet = start_ready_fleet(slow_switch_plan("control-table-down", 1));
    fleet
        .command_until_accepted("entry-1", "rollout demo v1", "r1", WAIT_TIMEOUT)
        .unwrap();
    let all_serve = |label: &'static str| {
        move |it: &ProcessFleet| it.all_engines_serve(label, &[]).then_some(())
    };
    fleet.wait_for("v1", WAIT_TIMEOUT, all_serve("v1")).unwrap();
    fleet
        .command_until_accepted("entry-1", "rollout demo v2", "r2", WAIT_TIMEOUT)
        .unwrap();
    let switch_started = |it: &ProcessFleet| (serving_count(it, "v1") < 4).then_some(());
    fleet
        .wait_for("the first switch", WAIT_TIMEOUT, switch_started)
        .unwrap();
    fleet.table.set_faults(TableFaults {
        outage: true,
        ..TableFaults::default()
    });
    // The lease expires after three seconds. Switches that were permitted before may still complete.
    std::thread::sleep(Duration::from_secs(6));
    let serving_before = serving_count(&fleet, "v2");
    std::thread::sleep(Duration::from_secs(3));
    assert_eq!(
        serving_count(&fleet, "v2"),
        serving_before,
        "no replica may switch without the lease"
    );
    assert!(
        serving_before < 4,
        "the rollout was complete before the outage"
    );
    let response = fleet
        .command("entry-1", "show rollouts state, serving", "q")
        .unwrap();
    assert_eq!(response.body["rows"][0][0], "running");
    let leases = fleet.command("entry-1", "show leases state", "l").unwrap();
    assert_eq!(leases.body["rows"][0][0], "table unavailable");
    fleet.table.set_faults(TableFaults::default());
    fleet.wait_for("v2", WAIT_TIMEOUT, all_serve("v2")).unwrap();
}

#[test]
fn a_rollout_continues_after_its_driver_is_killed() {
    let mut fleet = start_ready_fleet(slow_switch_plan("control-driver-killed", 2));
    fleet
        .command_until_accepted("entry-1", "rollout demo v1", "r1", WAIT_TIMEOUT)
        .unwrap();
    let all_serve = |label: &'static str| {
        move |it: &ProcessFleet| it.all_engines_serve(label, &[]).then_some(())
    };
    fleet.wait_for("v1", WAIT_TIMEOUT, all_serve("v1")).unwrap();
    let lease = fleet.table.row("lease/rollout").unwrap();
    let holder = lease["holder"].as_str().unwrap();
    let driver = entry_names(&fleet)
        .into_iter()
        .find(|it| holder.starts_with(it.as_str()))
        .unwrap();
    fleet
        .command_until_accepted(&driver, "rollout demo v2", "r2", WAIT_TIMEOUT)
        .unwrap();
    let switch_started = |it: &ProcessFleet| (serving_count(it, "v1") < 4).then_some(());
    fleet
        .wait_for("the first switch", WAIT_TIMEOUT, switch_started)
        .unwrap();
    fleet.process(&driver).kill();
    fleet.wait_for("v2", WAIT_TIMEOUT, all_serve("v2")).unwrap();
    let new_lease = fleet.table.row("lease/rollout").unwrap();
    assert!(
        new_lease["fencing"].as_u64() > lease["fencing"].as_u64(),
        "{lease} {new_lease}"
    );
}
