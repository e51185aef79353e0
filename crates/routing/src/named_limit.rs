//! Limits that replicas name in their responses.

use crate::request_rate::RequestRate;

/// What a response says about the requests that its replica takes from all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NamedLimit {
    /// It names no limit.
    None,
    /// It names a limit.
    Limit(RequestRate),
    /// It names a limit that cannot be read, which neither sets nor ends one.
    Unreadable,
}
