//! Versions that are declared one after the other, before an origin that goes away.

#[path = "support/site.rs"]
mod site;

use std::time::Duration;

use site::TestSite;
use standin::SiteWeights;

/// Weights of so many pieces that an origin can go away while it sends them.
const WEIGHTS: SiteWeights = SiteWeights {
    pieces: 600,
    piece_bytes: 2048,
    shared_pieces: 10,
};

/// Number of pieces of the newest version that the origin sends before it goes away.
const SENT_BEFORE: u64 = 60;

/// Guards against a whole version that is lost to pieces of a newer one, whose origin goes away, and against pieces of the newer
/// one that are dropped or mixed with others when the older one is loaded.
#[test]
fn a_whole_version_is_served_while_its_successor_is_not() {
    let site = TestSite::start_with_weights("versions-row", 230, &[1, 1, 1], WEIGHTS);
    let wait_for_agents = |message: &str| {
        for agent in 0..3 {
            site.wait(message, |it| {
                let log = it.agents[agent].log_text();
                log.contains(message).then_some(())
            });
        }
    };
    wait_for_agents("manifest fetched");
    site.declare(2);
    wait_for_agents("version is whole");
    let before = site.origin.pieces_sent();
    site.declare(3);
    while site.origin.pieces_sent() < before + SENT_BEFORE {
        std::thread::sleep(Duration::from_millis(1));
    }
    site.origin.set_silent(true);
    for replica in &site.models {
        site.wait("version 2", |_| (replica.version() == 2).then_some(()));
    }
    site.wait("version 3 from memory", |it| {
        let mut agents = it.agents.iter();
        agents
            .any(|it| it.log_text().contains("pieces in memory staged"))
            .then_some(())
    });
    site.origin.set_silent(false);
    for replica in &site.models {
        site.wait("version 3", |_| (replica.version() == 3).then_some(()));
        assert_eq!((replica.mixed_loads(), replica.invalid_loads()), (0, 0));
    }
}
