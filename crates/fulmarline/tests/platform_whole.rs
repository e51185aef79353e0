//! Loads of weights whose staged pieces turn bad before the order.

#[path = "support/site.rs"]
mod site;

use std::time::Duration;

use site::TestSite;
use standin::{EXCUSED_CORRUPTION, ReplicaCalls, SiteWeights};

/// Weights of which a newer version replaces only the last pieces.
const WEIGHTS: SiteWeights = SiteWeights {
    pieces: 24,
    piece_bytes: 4096,
    shared_pieces: 20,
};

/// Weights that a replica returns within seconds even if it is slow.
const SMALL_WEIGHTS: SiteWeights = SiteWeights {
    pieces: 4,
    shared_pieces: 3,
    ..WEIGHTS
};

/// A piece that both versions have.
const SHARED_PIECE: usize = 8;

/// Returns how often the agent of the only replica has logged `message`.
fn count_lines(site: &TestSite, message: &str) -> usize {
    let log = site.agents[0].log_text();
    log.lines().filter(|it| it.contains(message)).count()
}

/// Starts a site with one replica, whose agent has the manifest of the weights in service.
fn start_site(name: &str, first_index: u8, weights: SiteWeights) -> TestSite {
    let site = TestSite::start_with_weights(name, first_index, &[1], weights);
    site.wait("the manifest of version 1", |it| {
        (count_lines(it, "manifest fetched") > 0).then_some(())
    });
    site
}

/// Waits until the replica has loaded version 2, and checks the pieces that it was ordered to load.
fn check_load(site: &TestSite) {
    site.wait("version 2 on the replica", |it| {
        (it.models[0].version() == 2).then_some(())
    });
    assert_eq!(site.models[0].invalid_loads(), 0);
}

/// Guards against an agent that has just started and takes the pieces in service for verified, which it never read.
#[test]
fn an_agent_that_has_started_reads_the_pieces_in_service_before_a_load() {
    let mut site = start_site("whole-started", 170, WEIGHTS);
    site.models[0].corrupt_staged_piece(SHARED_PIECE);
    std::thread::sleep(EXCUSED_CORRUPTION + Duration::from_millis(100));
    site.agents[0].kill();
    let manifests = count_lines(&site, "manifest fetched");
    site.restart_agent(0);
    site.wait("the manifest of version 1 after the start", |it| {
        (count_lines(it, "manifest fetched") > manifests).then_some(())
    });
    site.declare(2);
    check_load(&site);
}

/// Guards against an order that relies on reads of the staged pieces which were recent only when the first of them began.
#[test]
fn a_piece_that_turns_bad_while_others_are_read_is_not_loaded() {
    let site = start_site("whole-slow", 172, WEIGHTS);
    site.models[0].set_read_time(Duration::from_millis(200));
    // The agent reads the shared pieces when it begins to stage the version, and again before the order.
    site.models[0].corrupt_after_reads(0, 2);
    site.declare(2);
    check_load(&site);
}

/// Guards against an agent that is suspended while it reads the pieces, and takes what it read before for recent afterwards.
#[test]
fn pieces_that_were_read_before_a_suspension_are_read_again() {
    let site = start_site("whole-suspended", 176, SMALL_WEIGHTS);
    site.models[0].set_read_time(Duration::from_millis(500));
    site.declare(2);
    // Each piece is read once when the agent begins to stage the version. The next reads are those before the order.
    let pieces = SMALL_WEIGHTS.pieces as u64;
    site.wait("a read before the order", |it| {
        (it.models[0].staged_reads() > pieces).then_some(())
    });
    site.agents[0].suspend();
    std::thread::sleep(Duration::from_secs(1));
    site.models[0].corrupt_staged_piece(0);
    std::thread::sleep(EXCUSED_CORRUPTION + Duration::from_millis(500));
    site.agents[0].resume();
    check_load(&site);
}

/// Guards against an order that is sent again, because the first one was not answered, with pieces that were verified for the
/// first one.
#[test]
fn pieces_are_read_again_before_an_order_is_repeated() {
    let site = start_site("whole-repeated", 178, WEIGHTS);
    let replica = &site.models[0];
    replica.set_silent(&[ReplicaCalls::Orders], true);
    site.declare(2);
    site.wait("the first order", |_| {
        (replica.received(ReplicaCalls::Orders) > 0).then_some(())
    });
    replica.corrupt_staged_piece(SHARED_PIECE);
    // The replica accepts the first of the orders when the silence ends.
    site.wait("a further order", |_| {
        (replica.received(ReplicaCalls::Orders) > 2).then_some(())
    });
    std::thread::sleep(EXCUSED_CORRUPTION);
    replica.set_silent(&[ReplicaCalls::Orders], false);
    check_load(&site);
}

/// Guards against an order to a replica that takes too long to return its pieces, which may be corrupt by then.
#[test]
fn a_replica_that_cannot_be_read_in_time_is_not_ordered_to_load() {
    let site = start_site("whole-too-slow", 174, SMALL_WEIGHTS);
    site.models[0].set_read_time(Duration::from_millis(1400));
    site.declare(2);
    site.wait("a verification that is given up", |it| {
        (count_lines(it, "staged pieces cannot be read fast enough") > 0).then_some(())
    });
    assert_eq!(site.models[0].version(), 1);
    site.models[0].corrupt_staged_piece(0);
    site.models[0].set_read_time(Duration::ZERO);
    check_load(&site);
    assert_eq!(site.models[0].mixed_loads(), 0);
}
