//! Classification of calls by whether they may run more than once.

use model::OrderPolicy;

/// Determines whether a call may be retried, hedged or resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// Idempotent request that may be retried and hedged.
    Lookup,
    /// Model completion that may be resumed on another replica, but is too expensive to be hedged.
    Completion,
    /// Non-idempotent request that runs at most once.
    Order,
}

/// Classifies a call to a plain service by its HTTP `method` and the service's `policy`.
pub fn call_kind(method: &str, policy: OrderPolicy) -> CallKind {
    match policy {
        OrderPolicy::Orders => CallKind::Order,
        OrderPolicy::Lookups => CallKind::Lookup,
        OrderPolicy::ByMethod if matches!(method, "GET" | "HEAD") => CallKind::Lookup,
        OrderPolicy::ByMethod => CallKind::Order,
    }
}

impl CallKind {
    /// Returns the value of the kind in [`model::CALL_KIND_HEADER`].
    pub const fn name(self) -> &'static str {
        match self {
            Self::Lookup => "lookup",
            Self::Completion => "completion",
            Self::Order => "order",
        }
    }
}

impl std::str::FromStr for CallKind {
    type Err = UnknownCallKind;

    fn from_str(text: &str) -> Result<Self, UnknownCallKind> {
        [Self::Lookup, Self::Completion, Self::Order]
            .into_iter()
            .find(|it| it.name() == text)
            .ok_or(UnknownCallKind)
    }
}

/// Error for a text that is not the name of a [`CallKind`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownCallKind;
