//! A client that reads manifests from the origin or the weight store.

use std::net::SocketAddr;
use std::time::Duration;

use model::{ModelName, VersionLabel, WeightManifest};

use crate::call_error::CallError;
use crate::http_transport::HttpTransport;

/// A client that reads manifests. The weights themselves are fetched by the transfer module of the agents.
#[derive(Clone, Debug)]
pub struct SourceClient {
    transport: HttpTransport,
}

impl SourceClient {
    /// Creates a client for the source at `address`, with `timeout` for each call.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            transport: HttpTransport::new(address, timeout),
        }
    }

    /// Reads and validates the manifest of the version `label` of `model`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Malformed`] if the manifest is inconsistent or describes another version or model.
    pub fn manifest(
        &self,
        model: &ModelName,
        label: &VersionLabel,
    ) -> Result<WeightManifest, CallError> {
        let response = self
            .transport
            .get(&format!("/weights/{model}/{label}/manifest"))?;
        let manifest: WeightManifest = response.decode()?;
        manifest
            .validate()
            .map_err(|err| CallError::Malformed(err.to_string()))?;
        if manifest.model != *model || manifest.label != *label {
            return Err(CallError::Malformed(format!(
                "the manifest describes the version {} of the model {}",
                manifest.label, manifest.model
            )));
        }
        Ok(manifest)
    }
}
