//! A client for the control interface of model engines.

use std::net::SocketAddr;
use std::time::Duration;
use std::{error, fmt};

use model::{FencingNumber, RequestId, WeightManifest};
use serde::Serialize;

use crate::call_error::CallError;
use crate::engine_state::EngineState;
use crate::http_transport::HttpTransport;

/// A client for the control interface of the engine on this host.
#[derive(Clone, Debug)]
pub struct EngineClient {
    transport: HttpTransport,
}

/// An order to load a version.
#[derive(Clone, Debug, Serialize)]
pub struct LoadOrder<'a> {
    /// The manifest of the version to load.
    pub manifest: &'a WeightManifest,
    /// The URL from which the engine reads the weights.
    pub weights_url: String,
    /// The fencing number of the rollout driver that permitted the switch.
    pub fencing: FencingNumber,
    /// Whether the engine should serve the old version until the new one is ready.
    pub beside: bool,
}

/// Why an engine did not accept a [`LoadOrder`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadError {
    /// The engine has seen a higher fencing number.
    Fenced,
    /// The call failed.
    Call(CallError),
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fenced => f.write_str("the engine has seen a higher fencing number"),
            Self::Call(err) => err.fmt(f),
        }
    }
}

impl error::Error for LoadError {}

#[derive(Serialize)]
struct CancelRequest {
    request_id: String,
}

impl EngineClient {
    /// Creates a client for the engine at `address`, with `timeout` for each call.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            transport: HttpTransport::new(address, timeout),
        }
    }

    /// Reads the engine's state.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the call fails.
    pub fn state(&self) -> Result<EngineState, CallError> {
        self.transport.get("/engine/state")?.decode()
    }

    /// Orders the engine to load a version. The engine responds before the load completes.
    ///
    /// # Errors
    ///
    /// Returns [`LoadError::Fenced`] if the engine checks fencing numbers and has seen a higher one.
    pub fn load(&self, order: &LoadOrder<'_>) -> Result<(), LoadError> {
        let response = self
            .transport
            .post("/engine/load", order)
            .map_err(LoadError::Call)?;
        if response.status == FENCED_STATUS {
            return Err(LoadError::Fenced);
        }
        response.ensure_success().map_err(LoadError::Call)
    }

    /// Cancels the processing of a request.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the call fails.
    pub fn cancel(&self, request: RequestId) -> Result<(), CallError> {
        self.transport
            .post(
                "/engine/cancel",
                &CancelRequest {
                    request_id: request.to_string(),
                },
            )?
            .ensure_success()
    }
}

/// The HTTP status for a load order with an outdated fencing number.
const FENCED_STATUS: u16 = 409;
