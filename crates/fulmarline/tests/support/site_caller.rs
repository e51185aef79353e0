//! A client that sends requests to the entries of a site.

// Each test file uses only some of the helpers.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http_body_util::BodyExt;
use httpio::{HttpClient, Method, Request, StatusCode};

/// Response of an entry.
#[derive(Debug)]
pub struct SiteResponse {
    pub status: StatusCode,
    pub headers: httpio::HeaderMap,
    pub body: String,
    /// Whether the body was received up to its regular end.
    pub complete: bool,
}

/// Client that sends requests to entries.
#[derive(Clone)]
pub struct SiteCaller {
    handle: tokio::runtime::Handle,
    client: HttpClient,
    front_addresses: Vec<SocketAddr>,
    /// Whether connections are used for further requests.
    keeps_connections: bool,
    /// Time for which a response is waited for, as told to the entry.
    patience: Duration,
    /// Maximum number of tokens of the responses.
    answer_tokens: u32,
    /// Number of tokens of the prompts, unless a call sets its own.
    prompt_tokens: u32,
}

impl SiteCaller {
    /// Creates a caller that sends requests to entries at `front_addresses`.
    pub fn new(
        handle: tokio::runtime::Handle,
        client: HttpClient,
        front_addresses: Vec<SocketAddr>,
    ) -> Self {
        Self {
            handle,
            client,
            front_addresses,
            keeps_connections: false,
            patience: PATIENCE,
            answer_tokens: SHORT_ANSWER,
            prompt_tokens: SHORT_PROMPT,
        }
    }

    /// Sends an order to an entry after each `pause` until `has_ended` is set, and returns the statuses of the responses.
    pub fn order_until(
        &self,
        entry: usize,
        pause: Duration,
        has_ended: &AtomicBool,
    ) -> Vec<Option<StatusCode>> {
        let mut statuses = Vec::new();
        while !has_ended.load(Ordering::Relaxed) {
            let id = format!("order-{}", statuses.len());
            let response = self.call(entry, Method::POST, "/order/1", &id, "key-1");
            statuses.push(response.map(|it| it.status));
            std::thread::sleep(pause);
        }
        statuses
    }

    /// Sends each request on a connection that is open from an earlier one, if there is any.
    #[must_use]
    pub fn with_kept_connections(mut self) -> Self {
        self.keeps_connections = true;
        self
    }

    /// Waits for responses for `patience` instead of [`PATIENCE`].
    #[must_use]
    pub fn with_patience(mut self, patience: Duration) -> Self {
        self.patience = patience;
        self
    }

    /// Requests responses of up to `answer_tokens` tokens instead of [`SHORT_ANSWER`].
    #[must_use]
    pub fn with_answer_tokens(mut self, answer_tokens: u32) -> Self {
        self.answer_tokens = answer_tokens;
        self
    }

    /// Sends prompts of `prompt_tokens` tokens instead of [`SHORT_PROMPT`].
    #[must_use]
    pub fn with_prompt_tokens(mut self, prompt_tokens: u32) -> Self {
        self.prompt_tokens = prompt_tokens;
        self
    }

    /// Sends a request without a body to an entry.
    pub fn call(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        id: &str,
        key: &str,
    ) -> Option<SiteResponse> {
        let headers = [
            ("Request-Id", id),
            ("Authorization", &format!("Token {key}")),
        ];
        self.send(
            entry,
            method,
            path,
            &headers,
            self.prompt_tokens,
            Vec::new(),
        )
    }

    /// Sends a request without a key and without a body to an entry.
    pub fn call_without_key(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        id: &str,
    ) -> Option<SiteResponse> {
        let headers = [("Request-Id", id)];
        let body = Vec::new();
        self.send(entry, method, path, &headers, self.prompt_tokens, body)
    }

    /// Sends a request with a body to an entry.
    pub fn call_with_body(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        id: &str,
        key: &str,
        body: Vec<u8>,
    ) -> Option<SiteResponse> {
        let headers = [
            ("Request-Id", id),
            ("Authorization", &format!("Token {key}")),
        ];
        self.send(entry, method, path, &headers, SHORT_PROMPT, body)
    }

    /// Sends a request whose prompt has `prompt_tokens` tokens to an entry.
    pub fn call_with_prompt(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        id: &str,
        key: &str,
        prompt_tokens: u32,
    ) -> Option<SiteResponse> {
        let headers = [
            ("Request-Id", id),
            ("Authorization", &format!("Token {key}")),
        ];
        self.send(entry, method, path, &headers, prompt_tokens, Vec::new())
    }

    /// Sends a request whose prompt consists of `parts`, as `ID:TOKENS` separated by commas, to an entry.
    pub fn call_with_parts(
        &self,
        entry: usize,
        path: &str,
        id: &str,
        parts: &str,
    ) -> Option<SiteResponse> {
        let headers = [
            ("Request-Id", id),
            ("Authorization", "Token key-1"),
            ("Prefix-Hash", parts),
        ];
        let method = Method::POST;
        self.send(entry, method, path, &headers, SHORT_PROMPT, Vec::new())
    }

    /// Sends a lookup with a further header to an entry.
    pub fn call_with_header(
        &self,
        entry: usize,
        path: &str,
        header: (&str, &str),
    ) -> Option<SiteResponse> {
        let headers = [
            ("Request-Id", "with-header"),
            ("Authorization", "Token key-1"),
            header,
        ];
        let method = Method::GET;
        self.send(entry, method, path, &headers, SHORT_PROMPT, Vec::new())
    }

    fn send(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        prompt_tokens: u32,
        body: Vec<u8>,
    ) -> Option<SiteResponse> {
        let body = if body.is_empty() {
            httpio::empty()
        } else {
            httpio::full(body)
        };
        let answer_tokens = self.answer_tokens;
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header("Host", "shop.example")
            .header("Deadline-Ms", self.patience.as_millis().to_string())
            .header("Token-Count", format!("{prompt_tokens},{answer_tokens}"))
            .header("Tenant", "forged");
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(body).unwrap();
        let address = self.front_addresses[entry];
        self.handle.block_on(async {
            let pooled_response = if self.keeps_connections {
                self.client.send(address, request).await
            } else {
                self.client.send_on_new_connection(address, request).await
            };
            let (response, sender, _) = pooled_response.ok()?.into_parts();
            let (parts, mut body) = response.into_parts();
            let mut bytes = Vec::new();
            let complete = loop {
                match body.frame().await {
                    None => break true,
                    Some(Err(_)) => break false,
                    Some(Ok(frame)) => bytes.extend(frame.into_data().unwrap_or_default()),
                }
            };
            if complete && self.keeps_connections {
                self.client.recycle(sender, address);
            }
            Some(SiteResponse {
                status: parts.status,
                headers: parts.headers,
                body: String::from_utf8_lossy(&bytes).into_owned(),
                complete,
            })
        })
    }
}

/// Number of tokens in the prompt of a usual request.
const SHORT_PROMPT: u32 = 100;

/// Maximum number of tokens of the response to a usual request.
const SHORT_ANSWER: u32 = 60;

/// Time for which clients usually wait for a response.
const PATIENCE: Duration = Duration::from_secs(6);
