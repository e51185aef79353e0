//! Faults of a switch.

use std::collections::{BTreeMap, BTreeSet};

/// What goes wrong at one host of a switch; the default is none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeFaults {
    /// Whether no bytes reach or leave the host, while its connections stay open.
    pub stalled: bool,
    /// Whether the host's connections are cut and new ones are reset.
    pub cut: bool,
    /// Share of the pieces that the host sends in answers of which one byte is changed, 0 to 1.
    pub corrupt_share: f64,
}

/// The faults of all hosts and regions.
#[derive(Debug, Default)]
pub(crate) struct SwitchFaults {
    nodes: BTreeMap<usize, NodeFaults>,
    parted: BTreeSet<(String, String)>,
}

impl SwitchFaults {
    pub(crate) fn set_node(&mut self, node: usize, faults: NodeFaults) {
        self.nodes.insert(node, faults);
    }

    /// Parts or joins two regions.
    pub(crate) fn set_parted(&mut self, a: &str, b: &str, parted: bool) {
        for pair in [(a, b), (b, a)] {
            let pair = (pair.0.to_owned(), pair.1.to_owned());
            match parted {
                true => self.parted.insert(pair),
                false => self.parted.remove(&pair),
            };
        }
    }

    pub(crate) fn node(&self, node: usize) -> NodeFaults {
        self.nodes.get(&node).copied().unwrap_or_default()
    }

    pub(crate) fn is_parted(&self, from: Option<&str>, to: Option<&str>) -> bool {
        if self.parted.is_empty() {
            return false;
        }
        match (from, to) {
            (Some(from), Some(to)) => self.parted.contains(&(from.to_owned(), to.to_owned())),
            _ => false,
        }
    }
}
