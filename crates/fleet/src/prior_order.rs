//! Which load an earlier process of an agent may have ordered, as far as the staged pieces show it.
//!
//! A replica loads what is staged when it accepts an order, and it may accept an order after the agent that sent it has ended. The
//! next agent does not know of that order, but it can rely on what every agent does: it orders a load only once all pieces of
//! the version are staged, and stages no other version until the order is settled. See `docs/incidents/forgotten-orders.md`.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::piece_manifest::PieceManifest;

/// What the staged pieces show of loads that an earlier process of the agent may have ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PriorOrder {
    /// None that would load pieces of two versions if the target is staged.
    None,
    /// A load of this version, whose pieces are staged.
    Possible(u64),
    /// Perhaps one of a version whose manifest is not known.
    Undetermined,
}

/// Versions that an earlier process may have ordered and that must not be staged over: all that are newer than the one that is
/// served, except the target. Staging the target under an order for it only completes or repairs what that order loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderCandidates {
    first: u64,
    last: u64,
    target: u64,
}

impl OrderCandidates {
    /// Creates the candidates if the replica serves version `serving`, or none, and `newest` is the newest declared version.
    pub fn new(serving: Option<u64>, target: u64, newest: u64) -> Self {
        Self {
            first: serving.map_or(FIRST_VERSION, |it| it.saturating_add(1)),
            last: newest.max(target),
            target,
        }
    }

    /// Returns whether no version but the target can have been ordered.
    pub fn is_empty(&self) -> bool {
        self.iter().next().is_none()
    }

    /// Returns the candidates, the newest one first.
    pub fn iter(&self) -> impl Iterator<Item = u64> {
        let versions = (self.first..=self.last).rev();
        versions.filter(|it| *it != self.target)
    }

    fn contains(&self, version: u64) -> bool {
        (self.first..=self.last).contains(&version) && version != self.target
    }
}

/// Returns which load an earlier process may have ordered.
///
/// `staged` contains the digest of each staged piece, and `manifests` the known manifests by version. A piece that no manifest
/// names may be corrupt, or belong to a version whose manifest is not known.
pub fn prior_order(
    staged: &[Option<[u8; 32]>],
    manifests: &BTreeMap<u64, Arc<PieceManifest>>,
    candidates: OrderCandidates,
) -> PriorOrder {
    let Some(staged) = staged.iter().copied().collect::<Option<Vec<_>>>() else {
        return PriorOrder::None;
    };
    let names = |manifest: &PieceManifest, index: usize| {
        manifest.digests.get(index) == Some(&staged[index])
    };
    let is_named = |index: usize| manifests.values().any(|it| names(it, index));
    let named: Vec<usize> = (0..staged.len()).filter(|it| is_named(*it)).collect();
    // A few corrupt pieces do not show that a version was incomplete when it was ordered. Pieces of another version do, and so do
    // many that no manifest names.
    let unnamed = staged.len() - named.len();
    let may_be_complete = unnamed <= staged.len() / CORRUPT_DIVISOR;
    let is_staged =
        |manifest: &PieceManifest| may_be_complete && named.iter().all(|it| names(manifest, *it));
    let mut newest_first = manifests.iter().rev();
    let ordered = newest_first.find(|it| candidates.contains(*it.0) && is_staged(it.1));
    if let Some((version, _)) = ordered {
        return PriorOrder::Possible(*version);
    }
    if unnamed == 0 || candidates.iter().all(|it| manifests.contains_key(&it)) {
        PriorOrder::None
    } else {
        PriorOrder::Undetermined
    }
}

/// Part of the staged pieces that may have become corrupt since an order; several times as many as one disruption of the platform
/// corrupts.
const CORRUPT_DIVISOR: usize = 4;

/// The version that replicas may serve before any is declared.
const FIRST_VERSION: u64 = 1;
