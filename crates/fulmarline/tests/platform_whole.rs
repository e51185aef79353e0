//! Loads of weights whose staged pieces turn bad before the order.

#[path = "support/site.rs"]
mod site;

use std::time::Duration;

use site::TestSite;
use standin::{EXCUSED_CORRUPTION, SiteWeights};

/// Weights of which a newer version replaces only the last pieces.
const WEIGHTS: SiteWeights = SiteWeights {
    pieces: 24,
    piece_bytes: 4096,
    shared_pieces: 20,
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

/// Guards against an order to a replica that takes too long to return its pieces, which may be corrupt by then.
#[test]
fn a_replica_that_cannot_be_read_in_time_is_not_ordered_to_load() {
    let weights = SiteWeights {
        pieces: 6,
        shared_pieces: 4,
        ..WEIGHTS
    };
    let site = start_site("whole-too-slow", 174, weights);
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
