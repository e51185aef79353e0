//! One place for timeouts and the sorting of errors of outgoing calls.

use std::io::{ErrorKind, Read};
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::call_error::CallError;

/// Sends calls to one address.
#[derive(Clone, Debug)]
pub(crate) struct HttpCaller {
    agent: ureq::Agent,
    address: SocketAddr,
}

/// An answer read to its end.
pub(crate) struct CallAnswer {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

impl HttpCaller {
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

    pub(crate) fn get(&self, path: &str) -> Result<CallAnswer, CallError> {
        let answer = self
            .agent
            .get(self.url(path))
            .call()
            .map_err(|err| sort_error(&err))?;
        read_answer(answer)
    }

    pub(crate) fn put(&self, path: &str, body: &[u8]) -> Result<CallAnswer, CallError> {
        let answer = self
            .agent
            .put(self.url(path))
            .send(body)
            .map_err(|err| sort_error(&err))?;
        read_answer(answer)
    }

    pub(crate) fn post<T: Serialize>(&self, path: &str, body: &T) -> Result<CallAnswer, CallError> {
        let body = serde_json::to_vec(body).map_err(|err| CallError::NoEffect(err.to_string()))?;
        let request = self
            .agent
            .post(self.url(path))
            .content_type("application/json");
        read_answer(request.send(&body[..]).map_err(|err| sort_error(&err))?)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

impl CallAnswer {
    /// Decodes a successful answer; other statuses become errors.
    pub(crate) fn decode<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        match self.status {
            200..=299 => serde_json::from_slice(&self.body)
                .map_err(|err| CallError::Malformed(err.to_string())),
            _ => Err(self.refusal()),
        }
    }

    /// Checks that the answer is a success.
    pub(crate) fn succeeded(&self) -> Result<(), CallError> {
        match self.status {
            200..=299 => Ok(()),
            _ => Err(self.refusal()),
        }
    }

    fn refusal(&self) -> CallError {
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

/// Percent-encodes a value of a query.
pub(crate) fn encode(value: &str) -> String {
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

fn read_answer(answer: ureq::http::Response<ureq::Body>) -> Result<CallAnswer, CallError> {
    let status = answer.status().as_u16();
    let mut body = Vec::new();
    answer
        .into_body()
        .into_reader()
        .take(MAX_ANSWER_BYTES)
        .read_to_end(&mut body)
        .map_err(|err| CallError::NoResponse(err.to_string()))?;
    Ok(CallAnswer { status, body })
}

fn sort_error(err: &ureq::Error) -> CallError {
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

/// Largest answer that is read; manifests of large models are the largest.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Characters of a refusal's text that are kept.
const MAX_REASON_CHARS: usize = 200;

/// Idle connections that are kept to one address.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Age at which an idle connection is closed.
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);
