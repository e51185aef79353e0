//! Settings of an entry.

use std::net::SocketAddr;

use crate::call_limits::CallLimits;
use crate::entry_listen::EntryListen;
use crate::host_settings::HostSettings;
use crate::identity_settings::{CallerSettings, OperatorSettings};
use crate::log_settings::LogSettings;
use crate::metric_settings::MetricSettings;
use crate::platform_settings::PlatformSettings;
use crate::secret_text::SecretText;
use crate::source_settings::SourceSettings;
use crate::spread_settings::SpreadSettings;
use crate::walker::Section;

/// Settings of `fulmarline entry`.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Host of the process.
    pub host: HostSettings,
    /// Listen addresses.
    pub listen: EntryListen,
    /// Control addresses of the entries to contact at startup; may include the own address.
    pub entries: Vec<SocketAddr>,
    /// Addresses of the platform services.
    pub platform: PlatformSettings,
    /// Sources of weight manifests.
    pub sources: SourceSettings,
    /// Pre-shared key for the handshake between processes of the deployment.
    pub shared_key: SecretText,
    /// Operators that are allowed to send commands.
    pub operators: Vec<OperatorSettings>,
    /// Callers that are allowed to send requests.
    pub callers: Vec<CallerSettings>,
    /// Limits on connections and requests from callers.
    pub limits: CallLimits,
    /// Transfer budget of a rollout.
    pub spread: SpreadSettings,
    /// Metrics receiver; `None` disables metrics.
    pub metrics: Option<MetricSettings>,
    /// Logging.
    pub log: LogSettings,
}

impl EntrySettings {
    pub(crate) fn read(mut root: Section<'_>) -> Option<Self> {
        let host = root.required("host", |it| HostSettings::read(it.section()?));
        let listen = root.required("listen", |it| EntryListen::read(it.section()?));
        let entries = root.optional("entries", |it| it.peer_addresses());
        let platform = root.required("platform", |it| PlatformSettings::read(it.section()?));
        let sources = root.required("sources", |it| SourceSettings::read(it.section()?));
        let shared_key = root.required("shared_key_file", |it| it.secret_file(MIN_KEY_BYTES));
        let operators = root.required("operators", |it| OperatorSettings::read_list(&it));
        let callers = root.required("callers", |it| CallerSettings::read_list(&it));
        let limits = CallLimits::read(root.section_or_empty("limits"));
        let spread = root.required("spread", |it| SpreadSettings::read(it.section()?));
        let metrics = root.optional("metrics", |it| MetricSettings::read(it.section()?));
        let log = LogSettings::read(root.section_or_empty("log"));
        root.finish();
        Some(Self {
            host: host?,
            listen: listen?,
            entries: entries.unwrap_or_default(),
            platform: platform?,
            sources: sources?,
            shared_key: shared_key?,
            operators: operators?,
            callers: callers?,
            limits,
            spread: spread?,
            metrics,
            log,
        })
    }
}

/// Minimum length of the pre-shared key, in bytes.
pub(crate) const MIN_KEY_BYTES: usize = 16;
