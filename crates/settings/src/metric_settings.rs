//! Where metrics go.

use std::net::SocketAddr;

use crate::walker::Section;

/// The receiver of metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricSettings {
    /// UDP address of a StatsD server.
    pub statsd: SocketAddr,
    /// Prefix of every metric's name.
    pub prefix: String,
}

/// Prefix of metrics where the settings name none.
const DEFAULT_PREFIX: &str = "fulmarline";

impl MetricSettings {
    pub(crate) fn read(mut section: Section<'_>) -> Option<Self> {
        let statsd = section.required("statsd", |it| it.peer_address());
        let prefix = section.optional("prefix", |it| it.text().map(str::to_owned));
        section.finish();
        Some(Self {
            statsd: statsd?,
            prefix: prefix.unwrap_or_else(|| DEFAULT_PREFIX.to_owned()),
        })
    }
}
