//! Evidence that a manifest is wrong, and not the pieces that do not match it.

use std::collections::BTreeMap;

/// Counts how often a piece arrives with the same digest although the manifest names another one.
///
/// Bytes that were corrupted under way hardly ever have the same digest twice, so the manifest is in doubt then. See
/// `docs/incidents/spoilt-manifests.md`.
#[derive(Clone, Debug, Default)]
pub(crate) struct ManifestDoubt {
    /// Digest of the last mismatch of each piece, and how often in a row the piece had it.
    mismatches: BTreeMap<usize, ([u8; 32], u32)>,
    /// Number of times that the manifest was fetched again and was the same.
    confirmations: u32,
}

impl ManifestDoubt {
    /// Records that piece `index` arrived with `digest`, which the manifest does not name.
    pub(crate) fn record_mismatch(&mut self, index: usize, digest: [u8; 32]) {
        let mismatch = self.mismatches.entry(index).or_insert((digest, 0));
        if mismatch.0 == digest {
            mismatch.1 += 1;
        } else {
            *mismatch = (digest, 1);
        }
    }

    /// Records that no source has another manifest. Twice as many mismatches as before are necessary from then on.
    pub(crate) fn record_confirmation(&mut self) {
        self.confirmations += 1;
        self.mismatches.clear();
    }

    /// Returns whether the manifest should be fetched again.
    pub(crate) fn is_doubted(&self) -> bool {
        let required = MIN_MISMATCHES << self.confirmations.min(MAX_CONFIRMATIONS);
        self.mismatches.values().any(|it| it.1 >= required)
    }
}

/// Number of equal mismatches of a piece from which on its manifest is in doubt.
const MIN_MISMATCHES: u32 = 2;

/// Number of confirmations after which no more mismatches become necessary.
const MAX_CONFIRMATIONS: u32 = 6;
