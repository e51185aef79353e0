//! Settings of an agent.

use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::agent_listen::{AgentAdvertise, AgentListen};
use crate::entry_settings::MIN_KEY_BYTES;
use crate::gate_limits::GateLimits;
use crate::host_settings::HostSettings;
use crate::identity_settings::OperatorSettings;
use crate::log_settings::LogSettings;
use crate::metric_settings::MetricSettings;
use crate::secret_text::SecretText;
use crate::setting_error_kind::SettingErrorKind;
use crate::source_settings::SourceSettings;
use crate::target_settings::TargetSettings;
use crate::transfer_settings::TransferSettings;
use crate::walker::{Field, Section};

/// Settings of `fulmarline agent`.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentSettings {
    /// Host of the process.
    pub host: HostSettings,
    /// Listen addresses.
    pub listen: AgentListen,
    /// Addresses announced to other processes.
    pub advertise: AgentAdvertise,
    /// Local address of outgoing connections, for hosts with several addresses.
    pub bind_ip: Option<IpAddr>,
    /// Control addresses of entries, preferably in the same zone.
    pub entries: Vec<SocketAddr>,
    /// The target that the agent forwards requests to.
    pub target: TargetSettings,
    /// Sources of weights.
    pub sources: SourceSettings,
    /// Resources for transfers of weights.
    pub spread: TransferSettings,
    /// Pre-shared key for the handshake between processes of the deployment.
    pub shared_key: SecretText,
    /// Operators that are allowed to request the state dump; if empty, nobody is.
    pub operators: Vec<OperatorSettings>,
    /// Limits on connections and requests from entries.
    pub limits: GateLimits,
    /// Time after which a drain that still has requests in flight is logged as a warning.
    pub drain_warn: Duration,
    /// Interval between heartbeats to the entries.
    pub heartbeat: Duration,
    /// Metrics receiver; `None` disables metrics.
    pub metrics: Option<MetricSettings>,
    /// Logging.
    pub log: LogSettings,
}

impl AgentSettings {
    pub(crate) fn read(mut root: Section<'_>) -> Option<Self> {
        let host = root.required("host", |it| HostSettings::read(it.section()?));
        let listen = root.required("listen", |it| AgentListen::read(it.section()?));
        let advertise_section = root.section_or_empty("advertise");
        let advertise = listen
            .as_ref()
            .and_then(|it| AgentAdvertise::read(advertise_section, it));
        let bind_ip = root.optional("bind_ip", |it| it.ip());
        let entries = root.required("entries", |it| read_entry_addresses(&it));
        let target = root.required("target", |it| TargetSettings::read(&it));
        let sources = root.required("sources", |it| SourceSettings::read(it.section()?));
        let spread = root.required("spread", |it| TransferSettings::read(it.section()?));
        let shared_key = root.required("shared_key_file", |it| it.secret_file(MIN_KEY_BYTES));
        let operators = root.optional("operators", |it| OperatorSettings::read_list(&it));
        let limits = GateLimits::read(root.section_or_empty("limits"));
        let drain_warn = root.millis_or("drain_warn_ms", DRAIN_WARN_MS_RANGE, DEFAULT_DRAIN_WARN);
        let heartbeat = root.millis_or("heartbeat_ms", HEARTBEAT_MS_RANGE, DEFAULT_HEARTBEAT);
        let metrics = root.optional("metrics", |it| MetricSettings::read(it.section()?));
        let log = LogSettings::read(root.section_or_empty("log"));
        if root.finish() {
            check_drain_warn(&root, drain_warn, heartbeat);
        }
        Some(Self {
            host: host?,
            listen: listen?,
            advertise: advertise?,
            bind_ip,
            entries: entries?,
            target: target?,
            sources: sources?,
            spread: spread?,
            shared_key: shared_key?,
            operators: operators.unwrap_or_default(),
            limits,
            drain_warn,
            heartbeat,
            metrics,
            log,
        })
    }
}

fn read_entry_addresses(field: &Field<'_>) -> Option<Vec<SocketAddr>> {
    if field.elements()?.is_empty() {
        field.report(SettingErrorKind::EmptyList);
    }
    field.peer_addresses()
}

fn check_drain_warn(root: &Section<'_>, drain_warn: Duration, heartbeat: Duration) {
    if drain_warn < heartbeat {
        let message = format!(
            "{} ms is less than heartbeat_ms ({} ms), so every drain would be logged as a warning",
            drain_warn.as_millis(),
            heartbeat.as_millis()
        );
        root.report_at(
            "drain_warn_ms",
            SettingErrorKind::ConflictingValues(message),
        );
    }
}

/// Allowed values of `drain_warn_ms`.
const DRAIN_WARN_MS_RANGE: RangeInclusive<u64> = 100..=86_400_000;

/// Default of `drain_warn_ms`.
const DEFAULT_DRAIN_WARN: Duration = Duration::from_secs(60);

/// Allowed values of `heartbeat_ms`; with longer intervals, a failed host would be detected too late.
const HEARTBEAT_MS_RANGE: RangeInclusive<u64> = 50..=5_000;

/// Default of `heartbeat_ms`.
const DEFAULT_HEARTBEAT: Duration = Duration::from_secs(1);
