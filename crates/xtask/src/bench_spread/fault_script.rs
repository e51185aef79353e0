//! Faults that are injected while weights are distributed.

use std::time::{Duration, Instant};

use standin::{NodeFaults, ProcessFleet, WeightFaults};

/// Injects faults on a fixed schedule: a peer that corrupts what it sends, an outage of the origin, the loss of a tenth
/// of the hosts, and a temporary partition between two regions.
#[derive(Debug)]
pub(crate) struct FaultScript {
    start: Instant,
    window: Duration,
    next_step: usize,
    killed_hosts: Vec<String>,
}

impl FaultScript {
    /// Starts the schedule for a distribution that takes about `window`; `hosts` are the names of all agents.
    pub(crate) fn start(window: Duration, hosts: &[String]) -> Self {
        let killed_hosts = hosts.iter().skip(3).step_by(10).cloned().collect();
        Self {
            start: Instant::now(),
            window,
            next_step: 0,
            killed_hosts,
        }
    }

    /// Returns the hosts whose agents the script kills.
    pub(crate) fn killed_hosts(&self) -> &[String] {
        &self.killed_hosts
    }

    /// Executes all steps that are due and were not executed yet.
    pub(crate) fn run_due_steps(&mut self, fleet: &mut ProcessFleet, hosts: &[String]) {
        let elapsed_share = self.start.elapsed().as_secs_f64() / self.window.as_secs_f64();
        let due = STEP_TIMES.iter().filter(|at| elapsed_share >= **at).count();
        while self.next_step < due {
            self.run_step(self.next_step, fleet, hosts);
            self.next_step += 1;
        }
    }

    fn run_step(&self, step: usize, fleet: &mut ProcessFleet, hosts: &[String]) {
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
                for host in &self.killed_hosts {
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

/// Start of each step as a share of the window.
const STEP_TIMES: [f64; 6] = [0.0, 0.15, 0.3, 0.33, 0.35, 0.66];
