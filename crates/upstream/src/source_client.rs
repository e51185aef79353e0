//! The client of the origin and of the weight store, as far as manifests go.

use std::net::SocketAddr;
use std::time::Duration;

use model::{ModelName, VersionLabel, WeightManifest};

use crate::call_error::CallError;
use crate::http_caller::HttpCaller;

/// Reads manifests; the bytes of the weights are fetched by the agents' transfer.
#[derive(Clone, Debug)]
pub struct SourceClient {
    caller: HttpCaller,
}

impl SourceClient {
    /// Creates a client of the source at `address`; each call ends after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            caller: HttpCaller::new(address, timeout),
        }
    }

    /// Reads and checks the manifest of `label` of `model`.
    ///
    /// # Errors
    ///
    /// [`CallError::Malformed`] when the manifest contradicts itself or describes something else.
    pub fn manifest(
        &self,
        model: &ModelName,
        label: &VersionLabel,
    ) -> Result<WeightManifest, CallError> {
        let answer = self
            .caller
            .get(&format!("/weights/{model}/{label}/manifest"))?;
        let manifest: WeightManifest = answer.decode()?;
        manifest
            .check()
            .map_err(|err| CallError::Malformed(err.to_string()))?;
        if manifest.model != *model || manifest.label != *label {
            return Err(CallError::Malformed(format!(
                "it describes {} of {}",
                manifest.label, manifest.model
            )));
        }
        Ok(manifest)
    }
}
