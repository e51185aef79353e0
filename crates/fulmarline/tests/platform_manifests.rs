//! Manifests of weights that arrive with a wrong digest.

#[path = "support/site.rs"]
mod site;

use site::TestSite;

/// Guards against a version that no replica ever loads, because a wrong manifest is kept and no piece matches it.
#[test]
fn a_version_is_loaded_although_its_first_manifests_are_wrong() {
    let site = TestSite::start("manifests-wrong", 186, &[1, 1, 1]);
    for agent in 0..3 {
        site.wait("the manifest of version 1", |it| {
            let log = it.agents[agent].log_text();
            log.contains("manifest fetched").then_some(())
        });
    }
    site.origin.corrupt_manifests(2);
    site.declare(2);
    for replica in &site.models {
        site.wait("version 2", |_| (replica.version() == 2).then_some(()));
        assert_eq!(replica.mixed_loads(), 0);
    }
}
