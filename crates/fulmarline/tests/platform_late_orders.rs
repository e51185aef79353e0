//! Replicas that read an order to load late, after a newer version was declared.

#[path = "support/site.rs"]
mod site;

use std::time::Duration;

use site::TestSite;
use standin::{ChildProcess, ReplicaCalls, ReplicaFaults, SiteReplica};

/// Checks that a replica which reads its order only after `meanwhile` loads no pieces of the versions that were declared then, the last of
/// which is `newest`.
fn check(name: &str, first_index: u8, newest: u64, meanwhile: impl Fn(&TestSite, &SiteReplica)) {
    let site = TestSite::start(name, first_index, &[1]);
    let replica = &site.models[0];
    replica.set_silent(&[ReplicaCalls::Orders], true);
    site.declare(2);
    site.wait("an order", |_| {
        (replica.received(ReplicaCalls::Orders) > 0).then_some(())
    });
    meanwhile(&site, replica);
    replica.set_silent(&[ReplicaCalls::Orders], false);
    site.wait_for_weights(newest);
}

/// Guards against weights that mix two versions: an order to load is read late, after a newer version was staged.
#[test]
fn a_late_order_loads_no_mixed_weights() {
    check("late-order", 66, 3, |site, _| {
        site.declare(3);
        // The agent gives up waiting for the response, and could stage all pieces of the newer version.
        std::thread::sleep(Duration::from_millis(6000));
    });
}

/// Guards against weights that mix two versions: a replica answers its agent again after a long silence, before it reads the order that
/// it was sent.
#[test]
fn an_order_from_before_a_long_silence_loads_no_mixed_weights() {
    check("late-order-silence", 68, 3, |site, replica| {
        replica.set_silent(&[ReplicaCalls::Reports], true);
        site.declare(3);
        std::thread::sleep(Duration::from_secs(13));
        replica.set_silent(&[ReplicaCalls::Reports], false);
        // The agent could stage all pieces of the newer version.
        std::thread::sleep(Duration::from_secs(4));
    });
}

/// Guards against weights that mix two versions: the failure of a repeated order ends the record of the first one, which the replica
/// accepts after newer pieces were staged.
#[test]
fn an_order_before_a_failed_one_loads_no_mixed_weights() {
    check("late-order-failed", 74, 4, |site, replica| {
        replica.set_faults(ReplicaFaults {
            fail_orders: true,
            ..ReplicaFaults::default()
        });
        site.declare(3);
        site.declare(4);
        site.wait("a failed order", |_| {
            (replica.received(ReplicaCalls::Orders) > 1).then_some(())
        });
        std::thread::sleep(NEXT_AGENT_TIME);
        replica.set_faults(ReplicaFaults::default());
    });
}

/// Guards against a replica that is never updated again: its agent waits for a piece that no source has, of a version whose order is
/// lost.
#[test]
fn a_version_without_sources_is_given_up_when_its_order_is_lost() {
    check("late-order-lost", 64, 4, |site, replica| {
        replica.corrupt_staged_piece(0);
        site.declare(3);
        site.declare(4);
        site.origin.withdraw_before(3);
        replica.end_silence_with_loss(ReplicaCalls::Orders);
    });
}

/// Checks that an order which its agent did not see answered before it ended loads no mixed weights: `end` ends the agent, and the replica
/// reads the order after the next agent could have staged all pieces of a newer version.
fn check_restart(name: &str, first_index: u8, end: impl Fn(&mut ChildProcess)) {
    let mut site = TestSite::start(name, first_index, &[1]);
    site.models[0].set_silent(&[ReplicaCalls::Orders], true);
    site.declare(2);
    site.wait("an order", |it| {
        (it.models[0].received(ReplicaCalls::Orders) > 0).then_some(())
    });
    site.declare(3);
    for _ in 0..2 {
        end(&mut site.agents[0]);
        site.restart_agent(0);
        std::thread::sleep(NEXT_AGENT_TIME);
    }
    site.models[0].set_silent(&[ReplicaCalls::Orders], false);
    site.wait_for_weights(3);
}

/// Guards against weights that mix two versions: an agent is killed while its order is unanswered, and the next one stages a newer
/// version under it.
#[test]
fn an_order_of_an_agent_that_was_killed_loads_no_mixed_weights() {
    check_restart("late-order-killed", 70, ChildProcess::kill);
}

/// Guards against weights that mix two versions: an agent is stopped while its order is unanswered, and the next one stages a newer
/// version under it.
#[test]
fn an_order_of_an_agent_that_was_stopped_loads_no_mixed_weights() {
    check_restart("late-order-stopped", 72, |it| {
        it.terminate();
        it.wait(site::WAIT_TIMEOUT);
    });
}

/// Time in which an agent that has started learns of the newest version and could stage all its pieces.
const NEXT_AGENT_TIME: Duration = Duration::from_millis(3500);
