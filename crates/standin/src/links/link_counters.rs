//! Bytes that passed a switch.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

/// Bytes of one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct HostBytes {
    /// Bytes that the host sent.
    pub sent: u64,
    /// Bytes that the host received.
    pub received: u64,
}

/// Bytes that passed a switch, counted from what the switch itself carried.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SwitchCounters {
    /// Bytes of each host, by its name.
    pub hosts: BTreeMap<String, HostBytes>,
    /// Bytes from one region to another.
    pub regions: BTreeMap<(String, String), u64>,
}

/// Bytes from one host to another over one route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FlowKey {
    pub(crate) from: usize,
    pub(crate) to: usize,
    pub(crate) route: usize,
}

/// Counts bytes by flow.
#[derive(Debug, Default)]
pub(crate) struct FlowCounters {
    flows: BTreeMap<FlowKey, Arc<AtomicU64>>,
}

impl FlowCounters {
    /// Returns the counter of `key`.
    pub(crate) fn counter(&mut self, key: FlowKey) -> Arc<AtomicU64> {
        self.flows.entry(key).or_default().clone()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (FlowKey, u64)> {
        self.flows
            .iter()
            .map(|(key, bytes)| (*key, bytes.load(Ordering::Relaxed)))
    }
}
