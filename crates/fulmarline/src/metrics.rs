//! Metrics sent to a StatsD server.

use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};

use anyhow::Context;
use cadence::{QueuingMetricSink, StatsdClient, UdpMetricSink};
use settings::{HostSettings, MetricSettings};

/// Returns the StatsD client of a role. Without settings, the client discards all metrics.
///
/// # Errors
///
/// Returns an error when no UDP socket can be opened.
pub(crate) fn start(
    role: &str,
    host: &HostSettings,
    settings: Option<&MetricSettings>,
) -> anyhow::Result<StatsdClient> {
    let Some(settings) = settings else {
        return Ok(StatsdClient::from_sink("", cadence::NopMetricSink));
    };
    let local_address: SocketAddr = match settings.statsd {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(local_address).context("cannot open a socket for metrics")?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(settings.statsd, socket)?;
    // The queue prevents a slow network from blocking the threads that report metrics.
    let sink = QueuingMetricSink::with_capacity(sink, METRIC_QUEUE_CAPACITY);
    Ok(StatsdClient::builder(&settings.prefix, sink)
        .with_tag("role", role)
        .with_tag("host", host.name.as_str())
        .with_tag("zone", host.zone.as_str())
        .build())
}

/// Maximum number of metrics that are queued for sending. Further metrics are dropped.
const METRIC_QUEUE_CAPACITY: usize = 4096;
