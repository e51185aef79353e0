//! Settings of metrics export.

use std::net::SocketAddr;

use crate::walker::Section;

/// The metrics receiver and the prefix of metric names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricSettings {
    /// UDP address of a StatsD server.
    pub statsd: SocketAddr,
    /// Prefix of all metric names.
    pub prefix: String,
}

/// Default of `prefix`.
const DEFAULT_PREFIX: &str = "fulmarline";

impl MetricSettings {
    pub(crate) fn read(mut section: Section<'_>) -> Option<Self> {
        let statsd = section.required("statsd", |it| it.peer_address());
        let prefix = section.optional("prefix", |it| it.string().map(str::to_owned));
        section.finish();
        Some(Self {
            statsd: statsd?,
            prefix: prefix.unwrap_or_else(|| DEFAULT_PREFIX.to_owned()),
        })
    }
}
