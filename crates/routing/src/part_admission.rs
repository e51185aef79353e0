//! Whether a request may be sent in view of the evidence about crashes.

use std::time::Duration;

use crate::part_id::PartId;

/// Whether a request may be sent to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartAdmission {
    /// Nothing is known against its parts.
    Clear,
    /// A part is suspected to crash replicas.
    Suspected(PartId),
    /// A part is held back for about this time.
    Held(PartId, Duration),
    /// A part is held back, and the next request with it tests whether that is still necessary.
    TrialDue(PartId),
}
