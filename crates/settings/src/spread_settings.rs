//! What a rollout may cost.

use crate::walker::Section;

/// Which cost of a rollout weighs more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpreadProfile {
    /// Time to N replicas.
    Time,
    /// Bytes from the origin.
    Bytes,
}

/// Budget of a rollout at its sources.
#[derive(Clone, Debug, PartialEq)]
pub struct SpreadSettings {
    /// Which cost weighs more.
    pub profile: SpreadProfile,
    /// Copies of the weights that the origin's link may carry.
    pub origin_copies: f64,
    /// Copies of the weights that the weight store may be asked for.
    pub store_copies: f64,
}

impl SpreadSettings {
    pub(crate) fn read(mut section: Section<'_>) -> Option<Self> {
        let profile = section.required("profile", |it| match it.choice(&["time", "bytes"])? {
            0 => Some(SpreadProfile::Time),
            _ => Some(SpreadProfile::Bytes),
        });
        let origin_copies = section.optional("origin_copies", |it| it.real(ORIGIN_COPIES));
        let store_copies = section.optional("store_copies", |it| it.real(STORE_COPIES));
        section.finish();
        let profile = profile?;
        Some(Self {
            profile,
            origin_copies: origin_copies.unwrap_or_else(|| profile.origin_copies()),
            store_copies: store_copies.unwrap_or(DEFAULT_STORE_COPIES),
        })
    }
}

impl SpreadProfile {
    /// Returns the copies that the origin gives where the settings do not say.
    pub fn origin_copies(self) -> f64 {
        match self {
            Self::Time => 4.0,
            Self::Bytes => 1.0,
        }
    }
}

/// Allowed copies from the origin; a whole copy must come from somewhere.
const ORIGIN_COPIES: std::ops::RangeInclusive<f64> = 1.0..=64.0;

/// Allowed copies from the weight store.
const STORE_COPIES: std::ops::RangeInclusive<f64> = 0.0..=64.0;

/// Copies from the weight store where the settings do not say.
const DEFAULT_STORE_COPIES: f64 = 1.0;
