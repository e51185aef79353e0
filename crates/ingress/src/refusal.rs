//! Error responses that the entry itself generates.

use std::time::Duration;

use httpio::{HttpBody, Response, StatusCode};
use rand::RngExt;

/// Why the entry responds to a request itself instead of relaying a replica's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The request's body exceeds the limit.
    TooLarge,
    /// The request's body was not received completely.
    BadBody,
    /// The bodies of other requests leave too little memory for this one's; not run.
    OutOfMemory,
    /// The configuration is not known or may be outdated; not run.
    NoConfig,
    /// No replica is registered and healthy; not run.
    NoReplica,
    /// The weights of all replicas are too old, or about to be replaced; not run.
    OutdatedWeights,
    /// All replicas that could serve it are outside its home regions or in evacuated zones; not run.
    NoPlacement,
    /// Even the best replica is predicted to respond too late; not run.
    Overloaded,
    /// This entry is shutting down; not run.
    Leaving,
    /// A part of the request crashes replicas and is held back for this time; not run.
    HeldBack(Duration),
    /// A part of the request may crash replicas, and another request with it is being tried; not run.
    Suspected,
    /// The replicas' limits leave no room before this time has passed; not run.
    Limited(Duration),
    /// All attempts were refused by replicas; not run.
    RefusedByReplicas,
    /// The request was sent, and either it is not known whether it ran or its response was lost.
    Unknown,
    /// The deadline has passed and the request may have run.
    TimedOut,
    /// The deadline passed before the request was sent; not run.
    Expired,
}

impl Refusal {
    /// Returns the status code. 429 and 503 guarantee that the request has not run and never will.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BadBody => StatusCode::BAD_REQUEST,
            Self::OutOfMemory
            | Self::NoConfig
            | Self::NoReplica
            | Self::OutdatedWeights
            | Self::NoPlacement
            | Self::Overloaded
            | Self::Leaving
            | Self::HeldBack(_)
            | Self::Suspected
            | Self::Limited(_)
            | Self::RefusedByReplicas
            | Self::Expired => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the value of `reason` in logs, metrics and the response body.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::TooLarge => "too_large",
            Self::BadBody => "bad_body",
            Self::OutOfMemory => "out_of_memory",
            Self::NoConfig => "no_config",
            Self::NoReplica => "no_replica",
            Self::OutdatedWeights => "outdated_weights",
            Self::NoPlacement => "no_placement",
            Self::Overloaded => "overloaded",
            Self::Leaving => "leaving",
            Self::HeldBack(_) => "held_back",
            Self::Suspected => "suspected",
            Self::Limited(_) => "limited",
            Self::RefusedByReplicas => "refused_by_replicas",
            Self::Unknown => "unknown_outcome",
            Self::TimedOut => "timed_out",
            Self::Expired => "expired",
        }
    }

    /// Returns the delay after which the client may retry, randomized so that not all clients retry at once.
    fn retry_after(self) -> Option<Duration> {
        let range = match self {
            Self::Overloaded | Self::RefusedByReplicas | Self::OutOfMemory => OVERLOAD_RETRY_MS,
            Self::NoReplica | Self::NoPlacement | Self::NoConfig => OUTAGE_RETRY_MS,
            Self::OutdatedWeights => WEIGHTS_RETRY_MS,
            Self::Leaving => LEAVING_RETRY_MS,
            Self::HeldBack(delay) | Self::Limited(delay) => return Some(delay),
            Self::Suspected => TRIAL_RETRY_MS,
            _ => return None,
        };
        Some(Duration::from_millis(
            rand::rng().random_range(range.0..range.1),
        ))
    }

    /// Builds the response for the client.
    pub(crate) fn response(self) -> Response<HttpBody> {
        let mut response = Response::new(httpio::full(format!("{}\n", self.reason())));
        *response.status_mut() = self.status();
        *response.headers_mut() = platform::refusal_headers(self.status(), self.retry_after());
        response
    }
}

/// Range of the retry delay after overload, in milliseconds: about the duration of one stream.
const OVERLOAD_RETRY_MS: (u64, u64) = (600, 1600);

/// Range of the retry delay while replicas or the configuration are unavailable, in milliseconds.
const OUTAGE_RETRY_MS: (u64, u64) = (300, 900);

/// Range of the retry delay while no weights may serve, in milliseconds: replicas load new ones within seconds, and a client that
/// comes back before is refused again.
const WEIGHTS_RETRY_MS: (u64, u64) = (1200, 2400);

/// Range of the delay after which a trial of a suspected part has ended, in milliseconds.
const TRIAL_RETRY_MS: (u64, u64) = (500, 1000);

/// Range of the delay before retrying at another entry, in milliseconds.
const LEAVING_RETRY_MS: (u64, u64) = (5, 40);
