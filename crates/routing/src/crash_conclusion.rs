//! Changes of what is concluded from evidence about crashes.

use crate::part_id::PartId;

/// A change of what the table concludes, for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct CrashConclusion {
    /// The part.
    pub part: PartId,
    /// What changed.
    pub change: PartChange,
    /// Crashes at different moments that implicate the part.
    pub crashes: u32,
    /// Weight of the evidence; the natural logarithm of a likelihood ratio.
    pub weight: f64,
    /// Probability of an accident that the weight is based on.
    pub accident: f64,
}

/// A change of what is concluded about a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartChange {
    /// Its requests are sent one at a time from now on.
    Suspected,
    /// A start was survived, so its requests are sent as usual again.
    Cleared,
    /// Its requests are refused from now on.
    Held,
}

impl CrashConclusion {
    /// Returns the conclusion that nothing is known against `part` any more.
    pub(crate) fn cleared(part: PartId) -> Self {
        Self {
            part,
            change: PartChange::Cleared,
            crashes: 0,
            weight: 0.0,
            accident: 0.0,
        }
    }
}
