//! Byte counters of a switch.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

/// Bytes sent and received by a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct HostBytes {
    /// Bytes that the host sent.
    pub sent: u64,
    /// Bytes that the host received.
    pub received: u64,
}

/// Bytes forwarded by a switch, as counted by the switch itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SwitchCounters {
    /// Bytes by host name.
    pub hosts: BTreeMap<String, HostBytes>,
    /// Bytes between regions, keyed by source and destination.
    pub regions: BTreeMap<(String, String), u64>,
}

/// Source and destination node and the route of a flow, as indices into the lists of the switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FlowKey {
    pub(crate) from: usize,
    pub(crate) to: usize,
    pub(crate) route: usize,
}

/// Byte counters by flow.
#[derive(Debug, Default)]
pub(crate) struct FlowCounters {
    flows: BTreeMap<FlowKey, Arc<AtomicU64>>,
}

impl FlowCounters {
    /// Returns the counter of `key`, which is created if absent.
    pub(crate) fn counter(&mut self, key: FlowKey) -> Arc<AtomicU64> {
        self.flows.entry(key).or_default().clone()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (FlowKey, u64)> {
        self.flows
            .iter()
            .map(|(key, bytes)| (*key, bytes.load(Ordering::Relaxed)))
    }
}
