//! Numbered results; `docs/RESULTS.md` holds the same table for callers and operators.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether the work behind an answer was carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RunStatus {
    /// The work ran to its end.
    Ran,
    /// The work did not run and will not: no target has seen it, or the gate has promised not to start it.
    NotRun,
    /// The work started and was cut off.
    Partial,
    /// The work may have run; nobody knows.
    Unknown,
}

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $text:literal, $http:literal, $status:ident, $retry:literal;)*) => {
        /// The result that every answer carries in [`crate::RESULT_HEADER`].
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum ResultCode {
            $($(#[$doc])* $name,)*
        }

        impl ResultCode {
            /// Every code, in the order of the table.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the number of the code, which never changes its meaning.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the name of the code.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// Returns the HTTP status that goes with the code.
            pub const fn http_status(self) -> u16 {
                match self { $(Self::$name => $http,)* }
            }

            /// Tells whether the work ran.
            pub const fn run_status(self) -> RunStatus {
                match self { $(Self::$name => RunStatus::$status,)* }
            }

            /// Tells whether the same request may succeed later without a change.
            pub const fn is_retryable(self) -> bool {
                match self { $(Self::$name => $retry,)* }
            }
        }
    };
}

result_codes! {
    /// The answer is whole.
    Ok = 0, "ok", 200, Ran, false;
    /// An order with this key had run before; this is its recorded outcome.
    Replayed = 1, "replayed", 200, Ran, false;
    /// The request is malformed.
    BadRequest = 100, "bad-request", 400, NotRun, false;
    /// A token is missing or unknown.
    Unauthorized = 101, "unauthorized", 401, NotRun, false;
    /// The organisation is denied.
    Denied = 102, "denied", 403, NotRun, false;
    /// The model or service does not exist, or the path is unknown.
    NotFound = 103, "not-found", 404, NotRun, false;
    /// The body is larger than the limit.
    TooLarge = 104, "too-large", 413, NotRun, false;
    /// The headers are larger or more than the limit.
    HeadersTooLarge = 105, "headers-too-large", 431, NotRun, false;
    /// The request arrived too slowly.
    TooSlow = 106, "too-slow", 408, NotRun, true;
    /// The method does not fit the path.
    MethodNotAllowed = 107, "method-not-allowed", 405, NotRun, false;
    /// The key was used before with another request.
    KeyReused = 108, "key-reused", 422, NotRun, false;
    /// The system is overloaded and refuses early.
    Overloaded = 200, "overloaded", 503, NotRun, true;
    /// The organisation is over its share while others wait.
    OverShare = 201, "over-share", 429, NotRun, true;
    /// No target is ready for this model or service.
    NoTarget = 202, "no-target", 503, NotRun, true;
    /// The deadline cannot be met or has passed before the work started.
    DeadlineNotRun = 203, "deadline-not-run", 504, NotRun, true;
    /// This process is not ready yet.
    NotReady = 204, "not-ready", 503, NotRun, true;
    /// The target is leaving.
    Leaving = 205, "leaving", 503, NotRun, true;
    /// The attempt was revoked before it started.
    Revoked = 206, "revoked", 409, NotRun, true;
    /// The platform's table is not available, so the order was not started.
    TableUnavailable = 207, "table-unavailable", 503, NotRun, true;
    /// The target serves another version than the one that was required.
    VersionMismatch = 208, "version-mismatch", 409, NotRun, true;
    /// The target refused or failed before it started the work.
    TargetRefused = 209, "target-refused", 502, NotRun, true;
    /// The same order is in progress.
    OrderInProgress = 300, "order-in-progress", 409, Unknown, true;
    /// The outcome of the order is not known; it is never run again under this key.
    OrderUnknown = 301, "order-unknown", 504, Unknown, false;
    /// The target was lost after the work may have started.
    TargetLost = 302, "target-lost", 502, Unknown, false;
    /// The deadline passed while the work ran.
    DeadlineUnknown = 303, "deadline-unknown", 504, Unknown, false;
    /// The answer was cut off: no replica of the same version could continue it.
    StreamCut = 304, "stream-cut", 502, Partial, true;
    /// The deadline passed in the middle of a streamed answer.
    DeadlineCut = 305, "deadline-cut", 504, Partial, true;
    /// The command text is not valid.
    BadCommand = 400, "bad-command", 400, NotRun, false;
    /// Another command won the race; nothing of this one was applied.
    Conflict = 401, "conflict", 409, NotRun, true;
    /// The outcome of the command is not known; ask again with the same command id.
    CommandUnknown = 402, "command-unknown", 504, Unknown, true;
    /// A fencing number is older than one already seen.
    Fenced = 403, "fenced", 409, NotRun, false;
    /// A defect in fulmarline itself.
    Internal = 500, "internal", 500, Unknown, false;
}

impl ResultCode {
    /// Finds the code with `number`.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.iter().copied().find(|it| it.number() == number)
    }

    /// Reads the value of a result header, `CODE name`.
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
