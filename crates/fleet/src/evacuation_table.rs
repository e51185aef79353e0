//! Availability zones that the operator has evacuated.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The zones whose replicas get no requests until the operator takes them back.
#[derive(Clone, Debug, Default)]
pub struct EvacuationTable {
    zones: BTreeMap<String, Evacuation>,
}

#[derive(Clone, Copy, Debug)]
struct Evacuation {
    /// When the evacuation ends if the store does not list it again until then.
    ends_at: Option<Instant>,
}

impl EvacuationTable {
    /// Records that the store lists the evacuation of `zone`; returns whether it begins.
    pub fn begin(&mut self, zone: &str) -> bool {
        let evacuation = Evacuation { ends_at: None };
        self.zones.insert(zone.to_owned(), evacuation).is_none()
    }

    /// Records that the store does not list the evacuation of `zone` any more; returns whether it ends.
    ///
    /// In an older copy of the store the row may be missing until the operator has written it again, so the evacuation goes on
    /// for a while (`from_copy`).
    pub fn end(&mut self, zone: &str, from_copy: bool, now: Instant) -> bool {
        if !from_copy {
            return self.zones.remove(zone).is_some();
        }
        if let Some(evacuation) = self.zones.get_mut(zone) {
            evacuation.ends_at.get_or_insert(now + REWRITE_TIME);
        }
        false
    }

    /// Removes the evacuations that the operator has not written again, and returns their zones.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        let is_over = |it: &Evacuation| it.ends_at.is_some_and(|it| it <= now);
        let ended = self.zones.extract_if(.., |_, it| is_over(it));
        ended.map(|it| it.0).collect()
    }

    /// Returns whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns whether `zone` is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// Returns the evacuated zones in alphabetical order.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.zones.keys().map(String::as_str)
    }
}

/// Time in which the operator writes rows again that a store has lost; the platform's documentation of discovery states "about two
/// seconds" for replicas, and rows of the operator may follow them.
const REWRITE_TIME: Duration = Duration::from_secs(5);
