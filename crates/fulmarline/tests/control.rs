//! Control with real processes: racing operators, lost replies, restarts with the table up and down, and a driver
//! that pauses.

use std::path::PathBuf;
use std::time::Duration;

use standin::{EngineOptions, FleetPlan, ProcessFleet, TableFaults, TargetPlan};

const PATIENCE: Duration = Duration::from_secs(40);

fn plan(name: &str, zones: usize, engines: usize) -> FleetPlan {
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_fulmarline"));
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let mut plan = FleetPlan::uniform(binary, dir, zones, engines);
    plan.weight_bytes = 256 << 10;
    plan.chunk_bytes = 64 << 10;
    plan
}

/// Starts a fleet and waits until every entry is ready and knows the others.
fn start(plan: FleetPlan) -> ProcessFleet {
    let fleet = ProcessFleet::start(plan).unwrap();
    wait_ready(&fleet);
    fleet
}

fn entries(fleet: &ProcessFleet) -> Vec<String> {
    let names = fleet.process_names().into_iter();
    names.filter(|it| it.starts_with("entry")).collect()
}

fn is_ready(fleet: &ProcessFleet, name: &str) -> bool {
    fleet.state(name).is_ok_and(|it| it["own"]["ready"] == true)
}

fn revision(fleet: &ProcessFleet, name: &str) -> Option<u64> {
    let place = if name.starts_with("entry") {
        "own"
    } else {
        "view"
    };
    fleet.state(name).ok()?[place]["revision"].as_u64()
}

fn wait_ready(fleet: &ProcessFleet) {
    let count = entries(fleet).len();
    let whole = |it: &ProcessFleet| {
        let whole = |name: &String| {
            let Ok(state) = it.state(name) else {
                return false;
            };
            state["own"]["ready"] == true
                && state["entries"]
                    .as_array()
                    .is_some_and(|it| it.len() + 1 == count)
        };
        entries(it).iter().all(whole).then_some(())
    };
    fleet.wait_for("the entries", PATIENCE, whole).unwrap();
}

fn wait_revision(fleet: &ProcessFleet, at_least: u64) {
    let all = |it: &ProcessFleet| {
        let mut names = it.process_names().into_iter();
        names
            .all(|name| revision(it, &name).is_some_and(|it| it >= at_least))
            .then_some(())
    };
    fleet.wait_for("the revision", PATIENCE, all).unwrap();
}

#[test]
fn of_two_conflicting_commands_one_wins_and_the_other_is_told() {
    let fleet = start(plan("control-conflict", 2, 1));
    // A slow table keeps both commands between their read and their write.
    fleet.table.set_faults(TableFaults {
        delay_ms: 150,
        ..TableFaults::default()
    });
    let replies: Vec<_> = std::thread::scope(|scope| {
        let commands = [
            ("entry-1", "deny north", "a"),
            ("entry-2", "deny south", "b"),
        ];
        let give = |(entry, text, id)| {
            let fleet = &fleet;
            scope.spawn(move || fleet.command(entry, text, id).unwrap())
        };
        let threads = commands.map(give);
        threads.into_iter().map(|it| it.join().unwrap()).collect()
    });
    fleet.table.set_faults(TableFaults::default());
    let won: Vec<_> = replies.iter().filter(|it| it.code == 0).collect();
    let lost: Vec<_> = replies.iter().filter(|it| it.name == "conflict").collect();
    assert_eq!((won.len(), lost.len()), (1, 1), "{replies:?}");
    assert_eq!(won[0].body["revision"], 1);
    assert_eq!(lost[0].body["accepted"], false);
    assert!(
        lost[0].message.contains("revision 1 by operator"),
        "{}",
        lost[0].message
    );
    // The entry that lost the race learns of the winner as any other does, within seconds.
    wait_revision(&fleet, 1);
    let shown = fleet
        .command("entry-1", "show organisations where denied = yes", "q")
        .unwrap();
    assert_eq!(shown.body["rows"].as_array().map(Vec::len), Some(1));
}

#[test]
fn a_command_whose_reply_was_lost_is_applied_once() {
    let fleet = start(plan("control-lost-reply", 1, 1));
    fleet.table.set_faults(TableFaults {
        lose_next: 1,
        ..TableFaults::default()
    });
    let first = fleet
        .command_until_accepted("entry-1", "deny north", "once", PATIENCE)
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
fn a_command_during_an_outage_is_not_accepted_and_says_so() {
    let fleet = start(plan("control-outage", 1, 1));
    fleet.table.set_faults(TableFaults {
        outage: true,
        ..TableFaults::default()
    });
    let reply = fleet.command("entry-1", "deny north", "c").unwrap();
    assert_eq!(reply.name, "table-unavailable");
    assert_eq!(reply.body["accepted"], false);
    // The view is still shown, with its age.
    let shown = fleet
        .command("entry-1", "show entries host, ready", "q")
        .unwrap();
    assert_eq!(shown.body["rows"][0][1], "yes");
    fleet.table.set_faults(TableFaults::default());
    let reply = fleet
        .command_in_force("entry-1", "deny north", "c", PATIENCE)
        .unwrap();
    assert_eq!(reply["accepted"], true);
    assert_eq!(reply["in_force"]["count"], reply["in_force"]["of"]);
}

#[test]
fn all_entries_restarted_with_the_table_down_are_not_ready_until_it_is_back() {
    let mut fleet = start(plan("control-restart-down", 3, 1));
    fleet
        .command_until_accepted("entry-1", "deny north", "c", PATIENCE)
        .unwrap();
    wait_revision(&fleet, 1);
    fleet.table.set_faults(TableFaults {
        outage: true,
        ..TableFaults::default()
    });
    let names = entries(&fleet);
    for name in &names {
        fleet.process(name).kill();
    }
    for name in &names {
        fleet.start_process(name).unwrap();
    }
    let answers = |it: &ProcessFleet| {
        let mut names = names.iter();
        names.all(|name| it.state(name).is_ok()).then_some(())
    };
    fleet.wait_for("the dumps", PATIENCE, answers).unwrap();
    std::thread::sleep(Duration::from_secs(3));
    for name in &names {
        assert!(
            !is_ready(&fleet, name),
            "{name} knows nothing and must not be ready"
        );
    }
    for name in fleet
        .process_names()
        .iter()
        .filter(|it| it.starts_with("model"))
    {
        assert_eq!(revision(&fleet, name), Some(1), "{name} must not revert");
    }
    fleet.table.set_faults(TableFaults::default());
    wait_ready(&fleet);
    wait_revision(&fleet, 1);
}

#[test]
fn one_entry_restarted_with_the_table_down_learns_from_its_peers() {
    let mut fleet = start(plan("control-restart-one", 4, 0));
    fleet
        .command_until_accepted("entry-1", "deny north", "c", PATIENCE)
        .unwrap();
    wait_revision(&fleet, 1);
    fleet.table.set_faults(TableFaults {
        outage: true,
        ..TableFaults::default()
    });
    fleet.process("entry-4").kill();
    fleet.start_process("entry-4").unwrap();
    let learnt = |it: &ProcessFleet| (revision(it, "entry-4") == Some(1)).then_some(());
    fleet
        .wait_for("the peers' revision", PATIENCE, learnt)
        .unwrap();
    assert!(is_ready(&fleet, "entry-4"));
}

#[test]
fn a_rollout_goes_on_after_its_driver_is_frozen_and_the_woken_driver_changes_nothing() {
    let mut fleet = start(plan("control-driver", 3, 2));
    fleet
        .command_until_accepted("entry-1", "rollout demo v1", "r1", PATIENCE)
        .unwrap();
    let served = |label: &'static str| {
        move |it: &ProcessFleet| it.all_engines_serve(label, &[]).then_some(())
    };
    fleet.wait_for("v1", PATIENCE, served("v1")).unwrap();
    let lease = fleet.table.row("lease/rollout").unwrap();
    let holder = lease["holder"].as_str().unwrap();
    let driver = entries(&fleet)
        .into_iter()
        .find(|it| holder.starts_with(it.as_str()))
        .unwrap();
    let other = entries(&fleet)
        .into_iter()
        .find(|it| *it != driver)
        .unwrap();
    fleet.process(&driver).suspend();
    fleet
        .command_until_accepted(&other, "rollout demo v2", "r2", PATIENCE)
        .unwrap();
    fleet.wait_for("v2", PATIENCE, served("v2")).unwrap();
    let taken = fleet.table.row("lease/rollout").unwrap();
    assert!(
        taken["fencing"].as_u64() > lease["fencing"].as_u64(),
        "{lease} {taken}"
    );
    fleet.process(&driver).resume();
    std::thread::sleep(Duration::from_secs(2));
    assert!(fleet.all_engines_serve("v2", &[]));
    wait_revision(&fleet, 2);
}

/// Plans one zone with four engines that take a while to load, so that a rollout goes one by one.
fn slow_plan(name: &str, zones: usize) -> FleetPlan {
    let mut plan = plan(name, zones, 4 / zones);
    for agent in &mut plan.agents {
        agent.target = TargetPlan::Engine(EngineOptions {
            load_time: Duration::from_millis(1500),
            ..EngineOptions::default()
        });
    }
    plan
}

fn serving(fleet: &ProcessFleet, label: &str) -> usize {
    let version = fleet.manifests[label].version();
    let engines = fleet.engines.values();
    engines.filter(|it| it.serving() == Some(version)).count()
}

#[test]
fn a_rollout_waits_while_the_table_is_down_and_goes_on_after() {
    let fleet = start(slow_plan("control-table-down", 1));
    fleet
        .command_until_accepted("entry-1", "rollout demo v1", "r1", PATIENCE)
        .unwrap();
    let served = |label: &'static str| {
        move |it: &ProcessFleet| it.all_engines_serve(label, &[]).then_some(())
    };
    fleet.wait_for("v1", PATIENCE, served("v1")).unwrap();
    fleet
        .command_until_accepted("entry-1", "rollout demo v2", "r2", PATIENCE)
        .unwrap();
    let begun = |it: &ProcessFleet| (serving(it, "v1") < 4).then_some(());
    fleet.wait_for("the first switch", PATIENCE, begun).unwrap();
    fleet.table.set_faults(TableFaults {
        outage: true,
        ..TableFaults::default()
    });
    // The lease lapses after three seconds; what was granted before may end.
    std::thread::sleep(Duration::from_secs(6));
    let before = serving(&fleet, "v2");
    std::thread::sleep(Duration::from_secs(3));
    assert_eq!(
        serving(&fleet, "v2"),
        before,
        "no replica switches without the lease"
    );
    assert!(before < 4, "the outage came too late for this test");
    let shown = fleet
        .command("entry-1", "show rollouts state, serving", "q")
        .unwrap();
    assert_eq!(shown.body["rows"][0][0], "running");
    let leases = fleet.command("entry-1", "show leases state", "l").unwrap();
    assert_eq!(leases.body["rows"][0][0], "table unavailable");
    fleet.table.set_faults(TableFaults::default());
    fleet.wait_for("v2", PATIENCE, served("v2")).unwrap();
}

#[test]
fn a_rollout_goes_on_after_its_driver_is_killed() {
    let mut fleet = start(slow_plan("control-driver-killed", 2));
    fleet
        .command_until_accepted("entry-1", "rollout demo v1", "r1", PATIENCE)
        .unwrap();
    let served = |label: &'static str| {
        move |it: &ProcessFleet| it.all_engines_serve(label, &[]).then_some(())
    };
    fleet.wait_for("v1", PATIENCE, served("v1")).unwrap();
    let lease = fleet.table.row("lease/rollout").unwrap();
    let holder = lease["holder"].as_str().unwrap();
    let driver = entries(&fleet)
        .into_iter()
        .find(|it| holder.starts_with(it.as_str()))
        .unwrap();
    fleet
        .command_until_accepted(&driver, "rollout demo v2", "r2", PATIENCE)
        .unwrap();
    let begun = |it: &ProcessFleet| (serving(it, "v1") < 4).then_some(());
    fleet.wait_for("the first switch", PATIENCE, begun).unwrap();
    fleet.process(&driver).kill();
    fleet.wait_for("v2", PATIENCE, served("v2")).unwrap();
    let taken = fleet.table.row("lease/rollout").unwrap();
    assert!(
        taken["fencing"].as_u64() > lease["fencing"].as_u64(),
        "{lease} {taken}"
    );
}
