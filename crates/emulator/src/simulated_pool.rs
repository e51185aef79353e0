//! The replicas of an emulation.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

/// A request at a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningRequest {
    pub(crate) id: u64,
    pub(crate) entry: usize,
    /// Virtual time at which the replica begins to respond.
    pub(crate) begins_at: Duration,
}

/// A replica, up or down.
#[derive(Clone, Debug, Default)]
pub(crate) struct SimulatedReplica {
    /// Number of starts so far.
    pub(crate) life: u64,
    pub(crate) up_from: Duration,
    pub(crate) running: Vec<RunningRequest>,
}

/// The replicas of an emulation.
#[derive(Clone, Debug)]
pub(crate) struct SimulatedPool {
    pub(crate) replicas: Vec<SimulatedReplica>,
}

impl SimulatedPool {
    pub(crate) fn new(replicas: usize) -> Self {
        Self {
            replicas: vec![SimulatedReplica::default(); replicas],
        }
    }

    /// Returns a random replica that is up.
    pub(crate) fn choose(&self, now: Duration, random: &mut StdRng) -> Option<usize> {
        // A host without a replica refuses the connection, and the entry tries another one.
        (0..CONNECT_ATTEMPTS)
            .map(|_| random.random_range(0..self.replicas.len()))
            .find(|it| self.replicas[*it].up_from <= now)
    }

    /// Ends a replica; returns the requests that it was processing.
    pub(crate) fn crash(&mut self, index: usize, now: Duration) -> Vec<RunningRequest> {
        let replica = &mut self.replicas[index];
        replica.life += 1;
        replica.up_from = now + RESTART_TIME;
        std::mem::take(&mut replica.running)
    }

    pub(crate) fn remove(&mut self, index: usize, id: u64) {
        self.replicas[index].running.retain(|it| it.id != id);
    }
}

/// Connections that are tried for one attempt.
const CONNECT_ATTEMPTS: usize = 8;

/// Time until a replica that crashed accepts requests again.
const RESTART_TIME: Duration = Duration::from_secs(3);
