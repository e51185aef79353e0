//! The fluid lower bound of a spread.

use std::time::Duration;

use crate::bench_spread::spread_run::BenchPlan;

/// Returns the least time in which any plan can bring every host a copy.
///
/// The largest of four times: a copy over a host's link, the first copy over the origin's link, all copies in and all
/// but those of the origin out over all host links together (a link carries in and out), and what has to enter a region
/// from another over their link when the origin gives one copy to all.
pub(crate) fn lower_bound(plan: &BenchPlan) -> Duration {
    let copy = plan.weight_bytes as f64;
    let hosts = plan.hosts as f64;
    let from_origin = plan.origin_copies();
    let receive = copy / plan.host_bytes_per_s();
    let enter = copy / plan.origin_bytes_per_s();
    let carried = (2.0 * hosts - from_origin).max(hosts);
    let carry = carried * copy / (hosts * plan.host_bytes_per_s());
    let cross = match from_origin < plan.regions as f64 && plan.regions > 1 {
        true => copy / plan.regions as f64 / plan.region_bytes_per_s(),
        false => 0.0,
    };
    let bound = receive.max(enter).max(carry).max(cross);
    Duration::from_secs_f64(bound)
}
