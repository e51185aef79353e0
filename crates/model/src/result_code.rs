//! Result codes. `docs/RESULTS.md` documents the same table for callers and operators.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether the work of a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RunStatus {
    /// The work ran to completion.
    Ran,
    /// The work has not run and will not run: either no target has received it, or the gate guarantees not to start it.
    NotRun,
    /// The work started but was interrupted.
    Partial,
    /// It is unknown whether the work ran.
    Unknown,
}

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $text:literal, $http:literal, $status:ident, $retry:literal;)*) => {
        /// The result of a request, sent with every response in [`crate::RESULT_HEADER`].
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum ResultCode {
            $($(#[$doc])* $name,)*
        }

        impl ResultCode {
            /// All codes, in the order of the table.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the number of the code. The meaning of a number never changes.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the name of the code.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// Returns the HTTP status of responses with this code.
            pub const fn http_status(self) -> u16 {
                match self { $(Self::$name => $http,)* }
            }

            /// Returns whether the work ran.
            pub const fn run_status(self) -> RunStatus {
                match self { $(Self::$name => RunStatus::$status,)* }
            }

            /// Returns whether the same request may succeed when it is retried unchanged.
            pub const fn is_retryable(self) -> bool {
                match self { $(Self::$name => $retry,)* }
            }
        }
    };
}

result_codes! {
    /// The response is complete.
    Ok = 0, "ok", 200, Ran, false;
    /// An order with this key has run before; this is its recorded outcome.
    Replayed = 1, "replayed", 200, Ran, false;
    /// The request is malformed.
    BadRequest = 100, "bad-request", 400, NotRun, false;
    /// A token is missing or unknown.
    Unauthorized = 101, "unauthorized", 401, NotRun, false;
    /// The organisation is denied access.
    Denied = 102, "denied", 403, NotRun, false;
    /// The model or service does not exist, or the path is unknown.
    NotFound = 103, "not-found", 404, NotRun, false;
    /// The body is larger than the limit.
    TooLarge = 104, "too-large", 413, NotRun, false;
    /// The size or the number of the headers exceeds the limit.
    HeadersTooLarge = 105, "headers-too-large", 431, NotRun, false;
    /// The client sent the request too slowly.
    TooSlow = 106, "too-slow", 408, NotRun, true;
    /// The path does not support the method.
    MethodNotAllowed = 107, "method-not-allowed", 405, NotRun, false;
    /// The idempotency key was used before with a different request.
    KeyReused = 108, "key-reused", 422, NotRun, false;
    /// The system is overloaded and refuses the request early.
    Overloaded = 200, "overloaded", 503, NotRun, true;
    /// The organisation exceeds its share of the capacity while other organisations wait.
    OverShare = 201, "over-share", 429, NotRun, true;
    /// No target is ready for this model or service.
    NoTarget = 202, "no-target", 503, NotRun, true;
    /// The deadline cannot be met, or passed before the work started.
    DeadlineNotRun = 203, "deadline-not-run", 504, NotRun, true;
    /// This process is not ready yet.
    NotReady = 204, "not-ready", 503, NotRun, true;
    /// The target is draining.
    Leaving = 205, "leaving", 503, NotRun, true;
    /// The attempt was revoked before it started.
    Revoked = 206, "revoked", 409, NotRun, true;
    /// The platform's table is unavailable, so the order was not started.
    TableUnavailable = 207, "table-unavailable", 503, NotRun, true;
    /// The target does not serve the required version.
    VersionMismatch = 208, "version-mismatch", 409, NotRun, true;
    /// The target refused the request or failed before it started the work.
    TargetRefused = 209, "target-refused", 502, NotRun, true;
    /// A part of the request crashes the targets that run it, or may do so.
    HeldBack = 210, "held-back", 503, NotRun, true;
    /// The same order is in progress.
    OrderInProgress = 300, "order-in-progress", 409, Unknown, true;
    /// The outcome of the order is unknown. The order is never run again under this key.
    OrderUnknown = 301, "order-unknown", 504, Unknown, false;
    /// The target failed or became unreachable after the work may have started.
    TargetLost = 302, "target-lost", 502, Unknown, false;
    /// The deadline passed after the work may have started.
    DeadlineUnknown = 303, "deadline-unknown", 504, Unknown, false;
    /// The stream was interrupted, and no replica of the same version could resume it.
    StreamCut = 304, "stream-cut", 502, Partial, true;
    /// The deadline passed during a streamed response.
    DeadlineCut = 305, "deadline-cut", 504, Partial, true;
    /// The command text is invalid.
    BadCommand = 400, "bad-command", 400, NotRun, false;
    /// A concurrent command was applied first; no part of this command was applied.
    Conflict = 401, "conflict", 409, NotRun, true;
    /// The outcome of the command is unknown. It can be retried with the same command id.
    CommandUnknown = 402, "command-unknown", 504, Unknown, true;
    /// The fencing number is lower than one already seen.
    Fenced = 403, "fenced", 409, NotRun, false;
    /// An internal error in fulmarline.
    Internal = 500, "internal", 500, Unknown, false;
}

impl ResultCode {
    /// Returns the code with `number`, or `None` if there is none.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.iter().copied().find(|it| it.number() == number)
    }

    /// Parses the value of a result header, `CODE name`. Only the number is used.
    pub fn from_header(value: &str) -> Option<Self> {
        value
            .split(' ')
            .next()?
            .parse()
            .ok()
            .and_then(Self::from_number)
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}
