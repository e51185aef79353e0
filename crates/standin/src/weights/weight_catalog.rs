//! The versions that a source of weights serves.

use std::collections::BTreeMap;

use bytes::Bytes;
use model::{ModelName, VersionLabel, WeightManifest};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// The versions of all models that a source serves. Clones share the bytes, so that an origin and a weight store can
/// serve the same weights without a copy.
#[derive(Clone, Debug, Default)]
pub struct WeightCatalog {
    versions: BTreeMap<(ModelName, VersionLabel), CatalogEntry>,
}

/// A version: its manifest and its bytes.
#[derive(Clone, Debug)]
pub(crate) struct CatalogEntry {
    pub(crate) manifest: WeightManifest,
    pub(crate) data: Bytes,
}

impl WeightCatalog {
    /// Adds a version and returns its manifest.
    pub fn add(
        &mut self,
        model: ModelName,
        label: VersionLabel,
        chunk_bytes: u64,
        data: Bytes,
    ) -> WeightManifest {
        let manifest = WeightManifest::from_data(model.clone(), label.clone(), chunk_bytes, &data);
        let entry = CatalogEntry {
            manifest: manifest.clone(),
            data,
        };
        self.versions.insert((model, label), entry);
        manifest
    }

    pub(crate) fn get(&self, model: &str, label: &str) -> Option<&CatalogEntry> {
        let key = (ModelName::new(model).ok()?, VersionLabel::new(label).ok()?);
        self.versions.get(&key)
    }
}

/// Returns `len` pseudo-random bytes determined by `seed`.
pub fn synthetic_weights(seed: u64, len: usize) -> Bytes {
    let mut data = vec![0; len];
    StdRng::seed_from_u64(seed).fill_bytes(&mut data);
    data.into()
}
