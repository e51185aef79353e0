//! Answers of our own.

use std::time::Duration;

use httpio::{ReplyBody, Response, StatusCode};
use rand::RngExt;

/// Why a request is answered by this system and not by a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The request's body is larger than the limit.
    TooLarge,
    /// The request's body did not arrive whole.
    BadBody,
    /// The configuration is not known or may be out of date; not run.
    NoConfig,
    /// No replica can take it now; not run.
    NoReplica,
    /// All replicas have too much to do; not run.
    Overloaded,
    /// This entry is leaving; not run.
    Leaving,
    /// Replicas refused it; not run.
    RefusedByReplicas,
    /// It was sent, and whether it ran is not known, or its answer is lost.
    Unknown,
    /// The time is over and it may have run.
    TimedOut,
    /// The time was over before it was sent; not run.
    Expired,
}

impl Refusal {
    /// Returns the status; 429 and 503 promise that the request has not run and never will.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BadBody => StatusCode::BAD_REQUEST,
            Self::NoConfig
            | Self::NoReplica
            | Self::Overloaded
            | Self::Leaving
            | Self::RefusedByReplicas
            | Self::Expired => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the reason for logs and metrics.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::TooLarge => "too_large",
            Self::BadBody => "bad_body",
            Self::NoConfig => "no_config",
            Self::NoReplica => "no_replica",
            Self::Overloaded => "overloaded",
            Self::Leaving => "leaving",
            Self::RefusedByReplicas => "refused_by_replicas",
            Self::Unknown => "unknown_outcome",
            Self::TimedOut => "timed_out",
            Self::Expired => "expired",
        }
    }

    /// Returns the time after which a client that was refused may come back, spread so that not all come at once.
    fn retry_after(self) -> Option<Duration> {
        let range = match self {
            Self::Overloaded | Self::RefusedByReplicas => OVERLOAD_RETRY_MS,
            Self::NoReplica | Self::NoConfig => OUTAGE_RETRY_MS,
            Self::Leaving => LEAVING_RETRY_MS,
            _ => return None,
        };
        Some(Duration::from_millis(
            rand::rng().random_range(range.0..range.1),
        ))
    }

    /// Builds the answer.
    pub(crate) fn response(self) -> Response<ReplyBody> {
        let mut response = Response::new(httpio::full(format!("{}\n", self.reason())));
        *response.status_mut() = self.status();
        *response.headers_mut() = platform::refusal_headers(self.status(), self.retry_after());
        response
    }
}

/// When to come back to overloaded replicas, in milliseconds: about the time of one stream.
const OVERLOAD_RETRY_MS: (u64, u64) = (600, 1600);

/// When to come back while something is away, in milliseconds.
const OUTAGE_RETRY_MS: (u64, u64) = (300, 900);

/// When to come back to another entry, in milliseconds.
const LEAVING_RETRY_MS: (u64, u64) = (5, 40);
