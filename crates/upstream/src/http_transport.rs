//! The HTTP transport of all clients, with timeouts and the classification of errors.

use std::io::{ErrorKind, Read};
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::call_error::CallError;

/// Sends blocking HTTP requests to one address.
#[derive(Clone, Debug)]
pub(crate) struct HttpTransport {
    agent: ureq::Agent,
    address: SocketAddr,
}

/// A response that was read completely.
pub(crate) struct CallResponse {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

impl HttpTransport {
    pub(crate) fn new(address: SocketAddr, timeout: Duration) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(timeout))
            .http_status_as_error(false)
            .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS)
            .max_idle_age(MAX_IDLE_AGE)
            .build();
        Self {
            agent: config.into(),
            address,
        }
    }

    pub(crate) fn get(&self, path: &str) -> Result<CallResponse, CallError> {
        let response = self
            .agent
            .get(self.url(path))
            .call()
            .map_err(|err| classify_error(&err))?;
        read_response(response)
    }

    pub(crate) fn put(&self, path: &str, body: &[u8]) -> Result<CallResponse, CallError> {
        let response = self
            .agent
            .put(self.url(path))
            .send(body)
            .map_err(|err| classify_error(&err))?;
        read_response(response)
    }

    pub(crate) fn post<T: Serialize>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<CallResponse, CallError> {
        let body = serde_json::to_vec(body).map_err(|err| CallError::NoEffect(err.to_string()))?;
        let request = self
            .agent
            .post(self.url(path))
            .content_type("application/json");
        read_response(
            request
                .send(&body[..])
                .map_err(|err| classify_error(&err))?,
        )
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

impl CallResponse {
    /// Decodes the body of a successful response; any other status is returned as an error.
    pub(crate) fn decode<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        match self.status {
            200..=299 => serde_json::from_slice(&self.body)
                .map_err(|err| CallError::Malformed(err.to_string())),
            _ => Err(self.status_error()),
        }
    }

    /// Returns an error if the status is not a success.
    pub(crate) fn ensure_success(&self) -> Result<(), CallError> {
        match self.status {
            200..=299 => Ok(()),
            _ => Err(self.status_error()),
        }
    }

    fn status_error(&self) -> CallError {
        match self.status {
            404 => CallError::NotFound,
            status => {
                let text: String = String::from_utf8_lossy(&self.body)
                    .chars()
                    .take(MAX_REASON_CHARS)
                    .collect();
                CallError::NoEffect(format!("status {status}: {text}"))
            }
        }
    }
}

/// Percent-encodes a value of a query string.
pub(crate) fn percent_encode(value: &str) -> String {
    let mut text = String::with_capacity(value.len());
    for byte in value.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
                text.push(char::from(byte))
            }
            _ => text.push_str(&format!("%{byte:02X}")),
        }
    }
    text
}

fn read_response(response: ureq::http::Response<ureq::Body>) -> Result<CallResponse, CallError> {
    let status = response.status().as_u16();
    // Only the status of a final response says whether the call had an effect.
    if !(200..600).contains(&status) {
        return Err(CallError::NoResponse(format!("invalid status {status}")));
    }
    let mut body = Vec::new();
    response
        .into_body()
        .into_reader()
        .take(MAX_RESPONSE_BYTES + 1)
        .read_to_end(&mut body)
        .map_err(|err| CallError::NoResponse(err.to_string()))?;
    if body.len() as u64 > MAX_RESPONSE_BYTES {
        return Err(CallError::NoResponse(
            "the response exceeds the size limit".to_owned(),
        ));
    }
    Ok(CallResponse { status, body })
}

fn classify_error(err: &ureq::Error) -> CallError {
    let reason = err.to_string();
    match err {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound | ureq::Error::BadUri(_) => {
            CallError::NoEffect(reason)
        }
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            CallError::NoEffect(reason)
        }
        ureq::Error::Io(err) if err.kind() == ErrorKind::ConnectionRefused => {
            CallError::NoEffect(reason)
        }
        _ => CallError::NoResponse(reason),
    }
}

/// Maximum size of a response body; a larger one is an error. The largest responses are the manifests of large models.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Maximum number of characters of a response body that are included in an error message.
const MAX_REASON_CHARS: usize = 200;

/// Maximum number of idle connections to the address.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Maximum time for which an idle connection is kept.
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);
