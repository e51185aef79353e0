//! Where a request may be served: in the home regions of its route and of its tenant, and in no evacuated zone.

use std::collections::BTreeMap;

use crate::evacuation_table::EvacuationTable;

/// Why the replicas of a zone may not receive a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneExclusion {
    /// The zone is in no region that is a home of the request.
    OutsideHomes,
    /// The operator has evacuated the zone.
    Evacuated,
}

/// The zones whose replicas may receive a request.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRule<'a> {
    /// Regions by availability zone.
    pub regions: &'a BTreeMap<String, String>,
    /// Home regions of the route; any region if empty.
    pub route_homes: &'a [String],
    /// Home regions of the tenant; any region if empty.
    pub tenant_homes: &'a [String],
    /// Zones that are evacuated.
    pub evacuated: &'a EvacuationTable,
}

impl ZoneExclusion {
    /// Returns the name of the reason in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::OutsideHomes => "homes",
            Self::Evacuated => "evacuated",
        }
    }
}

impl PlacementRule<'_> {
    /// Returns why the replicas of `zone` may not receive the request, if they may not. A zone whose region is unknown is in no home.
    pub fn exclusion(&self, zone: &str) -> Option<ZoneExclusion> {
        if !self.evacuated.is_empty() && self.evacuated.contains(zone) {
            return Some(ZoneExclusion::Evacuated);
        }
        let is_in = |homes: &[String]| {
            let region = self.regions.get(zone);
            homes.is_empty() || region.is_some_and(|it| homes.contains(it))
        };
        let is_home = is_in(self.route_homes) && is_in(self.tenant_homes);
        (!is_home).then_some(ZoneExclusion::OutsideHomes)
    }
}
