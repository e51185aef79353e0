//! Faults in the middle of a spread.

use std::time::{Duration, Instant};

use standin::{NodeFaults, ProcessFleet, WeightFaults};

/// Brings about, one after the other: a peer that corrupts what it sends, the loss of a tenth of the hosts, regions that
/// are parted for a while, and an origin that goes away and returns.
#[derive(Debug)]
pub(crate) struct FaultScript {
    start: Instant,
    window: Duration,
    step: usize,
    lost: Vec<String>,
}

impl FaultScript {
    /// Starts the script of a spread that takes about `window`; `hosts` are the names of all agents.
    pub(crate) fn start(window: Duration, hosts: &[String]) -> Self {
        let lost = hosts.iter().skip(3).step_by(10).cloned().collect();
        Self {
            start: Instant::now(),
            window,
            step: 0,
            lost,
        }
    }

    /// Returns the hosts that the script takes away.
    pub(crate) fn lost(&self) -> &[String] {
        &self.lost
    }

    /// Does what is due.
    pub(crate) fn advance(&mut self, fleet: &mut ProcessFleet, hosts: &[String]) {
        let passed = self.start.elapsed().as_secs_f64() / self.window.as_secs_f64();
        let due = STEPS.iter().filter(|at| passed >= **at).count();
        while self.step < due {
            self.act(self.step, fleet, hosts);
            self.step += 1;
        }
    }

    fn act(&self, step: usize, fleet: &mut ProcessFleet, hosts: &[String]) {
        let Some(switch) = fleet.switch.clone() else {
            return;
        };
        match step {
            0 => switch.set_node_faults(
                &hosts[0],
                NodeFaults {
                    corrupt_share: 1.0,
                    ..NodeFaults::default()
                },
            ),
            1 => fleet.origin.set_faults(WeightFaults {
                outage: true,
                ..WeightFaults::default()
            }),
            2 => {
                for host in &self.lost {
                    fleet.process(host).kill();
                }
            }
            3 => switch.set_partitioned("region-1", "region-2", true),
            4 => fleet.origin.set_faults(WeightFaults::default()),
            5 => switch.set_partitioned("region-1", "region-2", false),
            _ => {}
        }
    }
}

/// Times of the steps as shares of the window.
const STEPS: [f64; 6] = [0.0, 0.15, 0.3, 0.33, 0.35, 0.66];
