//! What a call allows to be done with it.

use model::OrderPolicy;

/// How often a call may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// Idempotent: it may be retried and hedged.
    Lookup,
    /// A model's answer: it may be continued elsewhere, but costs too much to be hedged.
    Completion,
    /// Not idempotent: it runs at most once.
    Order,
}

/// Classifies a call to a plain service by its `method` and the service's `policy`.
pub fn call_kind(method: &str, policy: OrderPolicy) -> CallKind {
    match policy {
        OrderPolicy::Orders => CallKind::Order,
        OrderPolicy::Lookups => CallKind::Lookup,
        OrderPolicy::ByMethod if matches!(method, "GET" | "HEAD") => CallKind::Lookup,
        OrderPolicy::ByMethod => CallKind::Order,
    }
}

impl CallKind {
    /// Returns the kind as it stands in [`model::CALL_KIND_HEADER`].
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

/// The text names no kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownCallKind;
