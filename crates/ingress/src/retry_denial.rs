//! Why a request is not sent to another replica.

use fleet::NoReplica;

/// Reason why a request is not sent to another replica, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryDenial {
    /// The route allows only one run.
    NotRepeatable,
    /// The deadline is too close.
    Deadline,
    /// The request was sent to as many replicas as its route allows.
    Attempts,
    /// A part of the request may crash replicas.
    SuspectedCrash,
    /// The retry budget of the service is used up.
    Budget,
    /// No other replica is registered and healthy.
    NoReplica,
    /// The weights of all other replicas are too old, or will be before they have served the request.
    Outdated,
    /// The other replicas are in zones that are ruled out for the request.
    Excluded,
    /// Even the best other replica is predicted to respond too late.
    Overloaded,
    /// The other replicas have limits that leave no room now.
    Limited,
}

impl RetryDenial {
    /// Returns whether a later attempt would be denied as well.
    pub(crate) fn is_final(self) -> bool {
        matches!(
            self,
            Self::NotRepeatable | Self::Deadline | Self::Attempts | Self::SuspectedCrash
        )
    }

    /// Returns the name of the reason in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::NotRepeatable => "not_repeatable",
            Self::Deadline => "deadline",
            Self::Attempts => "attempts",
            Self::SuspectedCrash => "suspected_crash",
            Self::Budget => "budget",
            Self::NoReplica => "no_replica",
            Self::Outdated => "outdated_weights",
            Self::Excluded => "excluded",
            Self::Overloaded => "overloaded",
            Self::Limited => "limited",
        }
    }
}

impl From<NoReplica> for RetryDenial {
    fn from(cause: NoReplica) -> Self {
        match cause {
            NoReplica::NoneUsable => Self::NoReplica,
            NoReplica::Outdated => Self::Outdated,
            NoReplica::Excluded(_) => Self::Excluded,
            NoReplica::Overloaded(_) | NoReplica::Full => Self::Overloaded,
            NoReplica::Limited => Self::Limited,
        }
    }
}
