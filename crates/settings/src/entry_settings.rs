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
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Where the process runs.
    pub host: HostSettings,
    /// What it listens on.
    pub listen: EntryListen,
    /// Control addresses of other entries to start from; its own may be among them.
    pub entries: Vec<SocketAddr>,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// Where manifests are read.
    pub sources: SourceSettings,
    /// Key of the handshake between processes of the deployment.
    pub shared_key: SecretText,
    /// Who may give commands.
    pub operators: Vec<OperatorSettings>,
    /// Who may send requests.
    pub callers: Vec<CallerSettings>,
    /// What is taken from callers.
    pub limits: CallLimits,
    /// What a rollout may cost.
    pub spread: SpreadSettings,
    /// Where metrics go, if anywhere.
    pub metrics: Option<MetricSettings>,
    /// What is logged.
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

/// Shortest key of the handshake, in bytes.
pub(crate) const MIN_KEY_BYTES: usize = 16;
