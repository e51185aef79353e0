//! Faults that can be injected into a switch.

use std::collections::{BTreeMap, BTreeSet};

/// Faults injected into one host of a switch. The default is no faults.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeFaults {
    /// Whether no bytes are forwarded from or to the host. Its connections stay open.
    pub stalled: bool,
    /// Whether the host is disconnected: its connections and new ones are reset.
    pub disconnected: bool,
    /// Fraction of response segments sent by the host in which one byte is corrupted, from 0 to 1.
    pub corrupt_share: f64,
}

/// Faults by node index, and pairs of partitioned regions.
#[derive(Debug, Default)]
pub(crate) struct SwitchFaults {
    nodes: BTreeMap<usize, NodeFaults>,
    partitions: BTreeSet<(String, String)>,
}

impl SwitchFaults {
    pub(crate) fn set_node(&mut self, node: usize, faults: NodeFaults) {
        self.nodes.insert(node, faults);
    }

    /// Starts or ends a partition of two regions, in both directions.
    pub(crate) fn set_partitioned(&mut self, a: &str, b: &str, partitioned: bool) {
        for pair in [(a, b), (b, a)] {
            let pair = (pair.0.to_owned(), pair.1.to_owned());
            match partitioned {
                true => self.partitions.insert(pair),
                false => self.partitions.remove(&pair),
            };
        }
    }

    pub(crate) fn node(&self, node: usize) -> NodeFaults {
        self.nodes.get(&node).copied().unwrap_or_default()
    }

    pub(crate) fn is_partitioned(&self, from: Option<&str>, to: Option<&str>) -> bool {
        if self.partitions.is_empty() {
            return false;
        }
        match (from, to) {
            (Some(from), Some(to)) => self.partitions.contains(&(from.to_owned(), to.to_owned())),
            _ => false,
        }
    }
}
