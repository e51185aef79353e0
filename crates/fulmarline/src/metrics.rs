//! Metrics over StatsD.

use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};

use anyhow::Context;
use cadence::{QueuingMetricSink, StatsdClient, UdpMetricSink};
use settings::{HostSettings, MetricSettings};

/// Returns the client that a role reports its metrics through; without settings it reports nowhere.
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
    let local: SocketAddr = match settings.statsd {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(local).context("cannot open a socket for metrics")?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(settings.statsd, socket)?;
    // The queue keeps a slow network away from the threads that report.
    let sink = QueuingMetricSink::with_capacity(sink, QUEUE_METRICS);
    Ok(StatsdClient::builder(&settings.prefix, sink)
        .with_tag("role", role)
        .with_tag("host", host.name.as_str())
        .with_tag("zone", host.zone.as_str())
        .build())
}

/// Metrics that wait to be sent; more are dropped.
const QUEUE_METRICS: usize = 4096;
