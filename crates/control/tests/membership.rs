//! Membership under any order of loss, duplicates, restarts and silence, against what really lives.

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

/// Two homes hear the agents and tell a third entry, which hears none. Shares and acknowledgements
/// get lost; homes, agents and the third entry restart.
#[test]
fn a_quiet_network_leaves_every_view_as_the_world_is() {
    for seed in 0..300 {
        arbtest::arbtest(|u| {
            let mut now = Instant::now();
            let homes = [host("e0"), host("e1")];
            let mut views = [TargetView::default(), TargetView::default()];
            let mut shares = [PeerSync::default(), PeerSync::default()];
            let mut third = TargetView::default();
            let mut agents: BTreeMap<String, TargetRow> = BTreeMap::new();
            let mut incarnation = 0;
            for _ in 0..u.int_in_range(0..=60)? {
                now += Duration::from_millis(u.int_in_range(0..=900)?);
                let name = format!("h{}", u.int_in_range(0..=3)?);
                let home = u.choose_index(2)?;
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
                        views[home] = TargetView::default();
                        shares[home] = PeerSync::default();
                    }
                    4 => third = TargetView::default(),
                    5 => {
                        let share = shares[home].next_update(direct(&views[home]).iter());
                        if u.ratio(1, 2)? {
                            third.apply_update(&homes[home], share, now);
                        }
                        // Whether it was lost or only its answer was, the next one is complete.
                        shares[home].reset();
                    }
                    _ => {
                        if let Some(row) = agents.get_mut(&name) {
                            row.sequence += 1;
                            views[home].apply_heartbeat(row.clone(), now);
                        }
                    }
                }
            }
            // A restarted third entry has lost its connections, which resets the shares to it.
            for share in &mut shares {
                share.reset();
            }
            for _ in 0..8 {
                now += Duration::from_secs(1);
                for (home, view) in views.iter_mut().enumerate() {
                    for row in agents.values_mut() {
                        row.sequence += 1;
                        view.apply_heartbeat(row.clone(), now);
                    }
                    view.remove_expired(now, |_| true);
                    let share = shares[home].next_update(direct(view).iter());
                    third.apply_update(&homes[home], share.clone(), now);
                    shares[home].acknowledge(&share);
                }
                third.remove_expired(now, |_| true);
            }
            let lives: Vec<_> = agents
                .values()
                .map(|it| (&it.host, it.incarnation, it.state))
                .collect();
            for view in views.iter().chain([&third]) {
                let rows = view.targets().values().map(|it| &it.row);
                let known: Vec<_> = rows
                    .map(|it| (&it.host, it.incarnation, it.state))
                    .collect();
                assert_eq!(known, lives);
            }
            Ok(())
        })
        .seed(support::arbtest_seed(seed));
    }
}

#[test]
fn a_target_lives_as_long_as_one_home_hears_it() {
    let now = Instant::now();
    let mut view = TargetView::default();
    let share = |gone: bool| TargetUpdate {
        rows: if gone {
            vec![]
        } else {
            vec![target("h", 1, 1)]
        },
        removed: if gone { vec![host("h")] } else { vec![] },
        ..TargetUpdate::default()
    };
    view.apply_update(&host("e0"), share(false), now);
    view.apply_update(&host("e1"), share(false), now);
    view.apply_update(&host("e0"), share(true), now);
    view.remove_expired(now + Duration::from_secs(3600), |_| true);
    assert_eq!(view.targets().len(), 1);
    view.remove_expired(now, |it| *it != host("e1"));
    assert!(view.targets().is_empty());
}

#[test]
fn of_two_processes_that_claim_a_host_the_newer_wins() {
    let now = Instant::now();
    let mut view = TargetView::default();
    assert_eq!(view.apply_heartbeat(target("h", 2, 5), now), None);
    assert!(view.apply_heartbeat(target("h", 1, 900), now).is_some());
    assert_eq!(view.targets()[&host("h")].row.incarnation.0, 2);
    assert!(view.apply_heartbeat(target("h", 3, 0), now).is_some());
    assert_eq!(view.targets()[&host("h")].row.incarnation.0, 3);
}

#[test]
fn only_changes_are_told_again() {
    let mut share = PeerSync::default();
    let mut rows = [target("a", 1, 1), target("b", 1, 1)];
    let first = share.next_update(rows.iter());
    assert!(first.complete && share.is_urgent(rows.iter()));
    share.acknowledge(&first);
    rows[0].sequence = 2;
    assert_eq!(share.next_update(rows.iter()), TargetUpdate::default());
    rows[0].revision = ConfigRevision(7);
    let short = share.next_update(rows.iter());
    assert!(short.rows.is_empty() && !share.is_urgent(rows.iter()));
    assert_eq!(short.revisions[0].revision, ConfigRevision(7));
    let mut view = TargetView::default();
    view.apply_update(&host("e0"), first, Instant::now());
    view.apply_update(&host("e0"), short.clone(), Instant::now());
    assert_eq!(view.targets()[&host("a")].row.revision, ConfigRevision(7));
    share.acknowledge(&short);
    assert_eq!(share.next_update(rows.iter()), TargetUpdate::default());
    rows[1].state = GateState::Leaving;
    assert!(share.is_urgent(rows.iter()));
    assert_eq!(share.next_update(rows.iter()).rows, [rows[1].clone()]);
    let gone = share.next_update(rows[..1].iter());
    assert_eq!(gone.removed, [host("b")]);
}
