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
use crate::setting_problem::SettingProblem;
use crate::source_settings::SourceSettings;
use crate::target_settings::TargetSettings;
use crate::transfer_settings::TransferSettings;
use crate::walker::{Field, Section};

/// Settings of `fulmarline agent`.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Where the process runs.
    pub host: HostSettings,
    /// What it listens on.
    pub listen: AgentListen,
    /// What it tells others to use.
    pub advertise: AgentAdvertise,
    /// Local address of outgoing connections, where the host has several.
    pub bind_ip: Option<IpAddr>,
    /// Control addresses of entries, preferably in the same zone.
    pub entries: Vec<SocketAddr>,
    /// What the agent stands before.
    pub target: TargetSettings,
    /// Where weights come from.
    pub sources: SourceSettings,
    /// What the host gives to transfers of weights.
    pub spread: TransferSettings,
    /// Key of the handshake between processes of the deployment.
    pub shared_key: SecretText,
    /// Who may ask for the state dump; nobody when it is empty.
    pub operators: Vec<OperatorSettings>,
    /// What is taken from entries.
    pub limits: GateLimits,
    /// Time after which a drain that still has requests in progress is logged as a warning.
    pub drain_warn: Duration,
    /// Time between heartbeats to the entries.
    pub heartbeat: Duration,
    /// Where metrics go, if anywhere.
    pub metrics: Option<MetricSettings>,
    /// What is logged.
    pub log: LogSettings,
}

impl AgentSettings {
    pub(crate) fn read(mut root: Section<'_>) -> Option<Self> {
        let host = root.required("host", |it| HostSettings::read(it.section()?));
        let listen = root.required("listen", |it| AgentListen::read(it.section()?));
        let advertised = root.section_or_empty("advertise");
        let advertise = listen
            .as_ref()
            .and_then(|it| AgentAdvertise::read(advertised, it));
        let bind_ip = root.optional("bind_ip", |it| it.ip());
        let entries = root.required("entries", |it| read_entries(&it));
        let target = root.required("target", |it| TargetSettings::read(&it));
        let sources = root.required("sources", |it| SourceSettings::read(it.section()?));
        let spread = root.required("spread", |it| TransferSettings::read(it.section()?));
        let shared_key = root.required("shared_key_file", |it| it.secret_file(MIN_KEY_BYTES));
        let operators = root.optional("operators", |it| OperatorSettings::read_list(&it));
        let limits = GateLimits::read(root.section_or_empty("limits"));
        let drain_warn = root.millis_or("drain_warn_ms", DRAIN_WARNS, DEFAULT_DRAIN_WARN);
        let heartbeat = root.millis_or("heartbeat_ms", HEARTBEATS, DEFAULT_HEARTBEAT);
        let metrics = root.optional("metrics", |it| MetricSettings::read(it.section()?));
        let log = LogSettings::read(root.section_or_empty("log"));
        if root.finish() {
            check_times(&root, drain_warn, heartbeat);
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

fn read_entries(field: &Field<'_>) -> Option<Vec<SocketAddr>> {
    if field.items()?.is_empty() {
        field.report(SettingProblem::EmptyList);
    }
    field.peer_addresses()
}

fn check_times(root: &Section<'_>, drain_warn: Duration, heartbeat: Duration) {
    if drain_warn < heartbeat {
        let message = format!(
            "{} ms is less than heartbeat_ms ({} ms), so every drain would be warned of",
            drain_warn.as_millis(),
            heartbeat.as_millis()
        );
        root.report_at("drain_warn_ms", SettingProblem::Contradiction(message));
    }
}

/// Allowed times until a drain is warned of, in milliseconds.
const DRAIN_WARNS: RangeInclusive<u64> = 100..=86_400_000;

/// Time until a drain is warned of where the settings do not say.
const DEFAULT_DRAIN_WARN: Duration = Duration::from_secs(60);

/// Allowed times between heartbeats in milliseconds; above, a lost host would be noticed too late.
const HEARTBEATS: RangeInclusive<u64> = 50..=5_000;

/// Time between heartbeats where the settings do not say.
const DEFAULT_HEARTBEAT: Duration = Duration::from_secs(1);
