//! A client for the object store.

use std::net::SocketAddr;
use std::time::Duration;

use crate::call_error::CallError;
use crate::http_transport::HttpTransport;

/// A client that stores and reads objects.
#[derive(Clone, Debug)]
pub struct ObjectClient {
    transport: HttpTransport,
}

impl ObjectClient {
    /// Creates a client for the object store at `address`, with `timeout` for each call.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            transport: HttpTransport::new(address, timeout),
        }
    }

    /// Stores `bytes` under `key`. The call is idempotent.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the call fails.
    pub fn put(&self, key: &str, bytes: &[u8]) -> Result<(), CallError> {
        self.transport
            .put(&format!("/objects/{key}"), bytes)?
            .ensure_success()
    }

    /// Reads the object stored under `key`; returns `None` if there is none.
    ///
    /// # Errors
    ///
    /// Returns any [`CallError`] except [`CallError::NotFound`].
    pub fn get(&self, key: &str) -> Result<Option<Vec<u8>>, CallError> {
        let response = self.transport.get(&format!("/objects/{key}"))?;
        match response.ensure_success() {
            Ok(()) => Ok(Some(response.body)),
            Err(CallError::NotFound) => Ok(None),
            Err(err) => Err(err),
        }
    }
}
