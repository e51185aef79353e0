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
