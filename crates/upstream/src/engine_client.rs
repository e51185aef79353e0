//! The client of a model engine's control calls.

use std::net::SocketAddr;
use std::time::Duration;
use std::{error, fmt};

use model::{FencingNumber, RequestId, WeightManifest};
use serde::Serialize;

use crate::call_error::CallError;
use crate::engine_state::EngineState;
use crate::http_caller::HttpCaller;

/// Orders loads and reads the state of the engine on this host.
#[derive(Clone, Debug)]
pub struct EngineClient {
    caller: HttpCaller,
}

/// An order to load a version.
#[derive(Clone, Debug, Serialize)]
pub struct LoadOrder<'a> {
    /// What to load.
    pub manifest: &'a WeightManifest,
    /// Where the engine reads the bytes.
    pub weights_url: String,
    /// The fencing number of the rollout driver that permitted the switch.
    pub fencing: FencingNumber,
    /// Whether the old version is to keep serving until the new one is ready.
    pub beside: bool,
}

/// Why an engine did not take an order.
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
struct CancelOrder {
    request_id: String,
}

impl EngineClient {
    /// Creates a client of the engine at `address`; each call ends after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            caller: HttpCaller::new(address, timeout),
        }
    }

    /// Reads the engine's state.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub fn state(&self) -> Result<EngineState, CallError> {
        self.caller.get("/engine/state")?.decode()
    }

    /// Orders a load; the engine answers before it has loaded.
    ///
    /// # Errors
    ///
    /// [`LoadError::Fenced`] when the engine checks fencing numbers and this one is old.
    pub fn load(&self, order: &LoadOrder<'_>) -> Result<(), LoadError> {
        let answer = self
            .caller
            .post("/engine/load", order)
            .map_err(LoadError::Call)?;
        if answer.status == FENCED_STATUS {
            return Err(LoadError::Fenced);
        }
        answer.succeeded().map_err(LoadError::Call)
    }

    /// Cancels a request.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub fn cancel(&self, request: RequestId) -> Result<(), CallError> {
        self.caller
            .post(
                "/engine/cancel",
                &CancelOrder {
                    request_id: request.to_string(),
                },
            )?
            .succeeded()
    }
}

/// HTTP status of an order with an old fencing number.
const FENCED_STATUS: u16 = 409;
