//! Compares the membership views with the live agents after random losses, duplicates, restarts and
//! silent agents.

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use control::{PeerSync, TargetUpdate, TargetView};
use model::{ConfigRevision, GateState, HostName, TargetRow};
use support::target;

fn host(name: &str) -> HostName {
    HostName::new(name).unwrap()
}

fn direct(view: &TargetView) -> Vec<TargetRow> {
    let targets = view.targets().values().filter(|it| it.is_direct());
    targets.map(|it| it.row.clone()).collect()
}

/// Two entries receive the agents' heartbeats and send updates to a third entry, which receives no
/// heartbeats. Updates and acknowledgements get lost; entries and agents restart. All views must
/// converge once the losses stop.
#[test]
fn views_converge_on_the_live_agents_when_losses_stop() {
    for seed in 0..300 {
        arbtest::arbtest(|u| {
            let mut now = Instant::now();
            let senders = [host("e0"), host("e1")];
            let mut views = [TargetView::default(), TargetView::default()];
            let mut syncs = [PeerSync::default(), PeerSync::default()];
            let mut third = TargetView::default();
            let mut agents: BTreeMap<String, TargetRow> = BTreeMap::new();
            let mut incarnation = 0;
            for _ in 0..u.int_in_range(0..=60)? {
                now += Duration::from_millis(u.int_in_range(0..=900)?);
                let name = format!("h{}", u.int_in_range(0..=3)?);
                let sender = u.choose_index(2)?;
                match u.int_in_range(0..=7)? {
                    0 => {
                        incarnation += 1;
                        agents.insert(name.clone(), target(&name, incarnation, 0));
                    }
                    1 => drop(agents.remove(&name)),
                    2 => {
                        if let Some(row) = agents.get_mut(&name) {
                            row.state = GateState::Leaving;
                        }
                    }
                    3 => {
                        views[sender] = TargetView::default();
                        syncs[sender] = PeerSync::default();
                    }
                    4 => third = TargetView::default(),
                    5 => {
                        let update = syncs[sender].next_update(direct(&views[sender]).iter());
                        if u.ratio(1, 2)? {
                            third.apply_update(&senders[sender], update, now);
                        }
                        // Whether the update or its acknowledgement was lost, the next one is complete.
                        syncs[sender].reset();
                    }
                    _ => {
                        if let Some(row) = agents.get_mut(&name) {
                            row.sequence += 1;
                            views[sender].apply_heartbeat(row.clone(), now);
                        }
                    }
                }
            }
            // The third entry may have restarted. The senders notice the closed connections and reset.
            for sync in &mut syncs {
                sync.reset();
            }
            for _ in 0..8 {
                now += Duration::from_secs(1);
                for (sender, view) in views.iter_mut().enumerate() {
                    for row in agents.values_mut() {
                        row.sequence += 1;
                        view.apply_heartbeat(row.clone(), now);
                    }
                    view.remove_expired(now, |_| true);
                    let update = syncs[sender].next_update(direct(view).iter());
                    third.apply_update(&senders[sender], update.clone(), now);
                    syncs[sender].acknowledge(&update);
                }
                third.remove_expired(now, |_| true);
            }
            let live: Vec<_> = agents
                .values()
                .map(|it| (&it.host, it.incarnation, it.state))
                .collect();
            for view in views.iter().chain([&third]) {
                let rows = view.targets().values().map(|it| &it.row);
                let known: Vec<_> = rows
                    .map(|it| (&it.host, it.incarnation, it.state))
                    .collect();
                assert_eq!(known, live);
            }
            Ok(())
        })
        .seed(support::arbtest_seed(seed));
    }
}

#[test]
fn a_target_stays_while_one_entry_reports_it() {
    let now = Instant::now();
    let mut view = TargetView::default();
    let update = |is_removed: bool| TargetUpdate {
        rows: if is_removed {
            vec![]
        } else {
            vec![target("h", 1, 1)]
        },
        removed: if is_removed { vec![host("h")] } else { vec![] },
        ..TargetUpdate::default()
    };
    view.apply_update(&host("e0"), update(false), now);
    view.apply_update(&host("e1"), update(false), now);
    view.apply_update(&host("e0"), update(true), now);
    view.remove_expired(now + Duration::from_secs(3600), |_| true);
    assert_eq!(view.targets().len(), 1);
    view.remove_expired(now, |it| *it != host("e1"));
    assert!(view.targets().is_empty());
}

#[test]
fn the_newer_of_two_processes_with_one_host_name_wins() {
    let now = Instant::now();
    let mut view = TargetView::default();
    assert_eq!(view.apply_heartbeat(target("h", 2, 5), now), None);
    assert!(view.apply_heartbeat(target("h", 1, 900), now).is_some());
    assert_eq!(view.targets()[&host("h")].row.incarnation.0, 2);
    assert!(view.apply_heartbeat(target("h", 3, 0), now).is_some());
    assert_eq!(view.targets()[&host("h")].row.incarnation.0, 3);
}

#[test]
fn updates_contain_only_changes() {
    let mut sync = PeerSync::default();
    let mut rows = [target("a", 1, 1), target("b", 1, 1)];
    let first = sync.next_update(rows.iter());
    assert!(first.complete && sync.is_urgent(rows.iter()));
    sync.acknowledge(&first);
    rows[0].sequence = 2;
    assert_eq!(sync.next_update(rows.iter()), TargetUpdate::default());
    rows[0].revision = ConfigRevision(7);
    let revision_only = sync.next_update(rows.iter());
    assert!(revision_only.rows.is_empty() && !sync.is_urgent(rows.iter()));
    assert_eq!(revision_only.revisions[0].revision, ConfigRevision(7));
    let mut view = TargetView::default();
    view.apply_update(&host("e0"), first, Instant::now());
    view.apply_update(&host("e0"), revision_only.clone(), Instant::now());
    assert_eq!(view.targets()[&host("a")].row.revision, ConfigRevision(7));
    sync.acknowledge(&revision_only);
    assert_eq!(sync.next_update(rows.iter()), TargetUpdate::default());
    rows[1].state = GateState::Leaving;
    assert!(sync.is_urgent(rows.iter()));
    assert_eq!(sync.next_update(rows.iter()).rows, [rows[1].clone()]);
    let removal = sync.next_update(rows[..1].iter());
    assert_eq!(removal.removed, [host("b")]);
}
