//! Transfer budget of a rollout.

use crate::walker::Section;

/// The cost of a rollout that matters more. The profile determines the default of `origin_copies`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpreadProfile {
    /// Time until N replicas serve the version.
    Time,
    /// Bytes sent by the origin.
    Bytes,
}

/// Limits on the data that a rollout reads from the origin and the weight store.
#[derive(Clone, Debug, PartialEq)]
pub struct SpreadSettings {
    /// The cost of a rollout that matters more.
    pub profile: SpreadProfile,
    /// Maximum number of copies of the weights to read from the origin.
    pub origin_copies: f64,
    /// Maximum number of copies of the weights to read from the weight store.
    pub store_copies: f64,
}

impl SpreadSettings {
    pub(crate) fn read(mut section: Section<'_>) -> Option<Self> {
        let profile = section.required("profile", |it| match it.choice(&["time", "bytes"])? {
            0 => Some(SpreadProfile::Time),
            _ => Some(SpreadProfile::Bytes),
        });
        let origin_copies = section.optional("origin_copies", |it| it.float(ORIGIN_COPIES_RANGE));
        let store_copies = section.optional("store_copies", |it| it.float(STORE_COPIES_RANGE));
        section.finish();
        let profile = profile?;
        Some(Self {
            profile,
            origin_copies: origin_copies.unwrap_or_else(|| profile.default_origin_copies()),
            store_copies: store_copies.unwrap_or(DEFAULT_STORE_COPIES),
        })
    }
}

impl SpreadProfile {
    /// Returns the default of `origin_copies` for this profile.
    pub fn default_origin_copies(self) -> f64 {
        match self {
            Self::Time => 4.0,
            Self::Bytes => 1.0,
        }
    }
}

/// Allowed values of `origin_copies`; at least one full copy must come from the origin.
const ORIGIN_COPIES_RANGE: std::ops::RangeInclusive<f64> = 1.0..=64.0;

/// Allowed values of `store_copies`.
const STORE_COPIES_RANGE: std::ops::RangeInclusive<f64> = 0.0..=64.0;

/// Default of `store_copies`.
const DEFAULT_STORE_COPIES: f64 = 1.0;
