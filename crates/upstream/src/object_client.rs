//! The client of the object store.

use std::net::SocketAddr;
use std::time::Duration;

use crate::call_error::CallError;
use crate::http_caller::HttpCaller;

/// Stores and reads objects.
#[derive(Clone, Debug)]
pub struct ObjectClient {
    caller: HttpCaller,
}

impl ObjectClient {
    /// Creates a client of the object store at `address`; each call ends after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            caller: HttpCaller::new(address, timeout),
        }
    }

    /// Stores `bytes` under `key`; storing the same object twice is the same as once.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub fn put(&self, key: &str, bytes: &[u8]) -> Result<(), CallError> {
        self.caller
            .put(&format!("/objects/{key}"), bytes)?
            .succeeded()
    }

    /// Reads the object under `key`, or `None` when there is none.
    ///
    /// # Errors
    ///
    /// Any [`CallError`] but [`CallError::NotFound`].
    pub fn get(&self, key: &str) -> Result<Option<Vec<u8>>, CallError> {
        let answer = self.caller.get(&format!("/objects/{key}"))?;
        match answer.succeeded() {
            Ok(()) => Ok(Some(answer.body)),
            Err(CallError::NotFound) => Ok(None),
            Err(err) => Err(err),
        }
    }
}
