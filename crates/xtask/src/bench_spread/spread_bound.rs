//! Lower bound of the distribution time in a fluid model, in which links carry any fraction of a copy.

use std::time::Duration;

use crate::bench_spread::spread_run::BenchPlan;

/// Returns the minimum time in which any plan can deliver a copy to every host.
///
/// The bound is the largest of four times:
///
/// - one copy over the link of a host
/// - the first copy over the link of the origin
/// - over all host links together, one received copy per host and all sent copies that the origin does not send; both
///   directions share the capacity of a link
/// - if the origin sends fewer copies than there are regions, one region's share of a copy over the link between two
///   regions
pub(crate) fn lower_bound(plan: &BenchPlan) -> Duration {
    let copy_bytes = plan.weight_bytes as f64;
    let hosts = plan.hosts as f64;
    let origin_copies = plan.origin_copies();
    let host_link_s = copy_bytes / plan.host_bytes_per_s();
    let origin_link_s = copy_bytes / plan.origin_bytes_per_s();
    let carried_copies = (2.0 * hosts - origin_copies).max(hosts);
    let all_host_links_s = carried_copies * copy_bytes / (hosts * plan.host_bytes_per_s());
    let region_link_s = match origin_copies < plan.regions as f64 && plan.regions > 1 {
        true => copy_bytes / plan.regions as f64 / plan.region_bytes_per_s(),
        false => 0.0,
    };
    let bound = host_link_s
        .max(origin_link_s)
        .max(all_host_links_s)
        .max(region_link_s);
    Duration::from_secs_f64(bound)
}
