//! Settings of a process: a JSON file with comments, validated completely before the process starts any work.
//!
//! A small walker reads the syntax tree of `jsonc-parser`, so that every error carries the file, the line, the column
//! and the path of the field, and all errors of a file are reported at once
//! (see `docs/decisions/0003-settings-walker.md`). `docs/SETTINGS.md` lists every field. The crate only reads files; it
//! must not depend on processes, sockets or any decision logic.

mod agent_listen;
mod agent_settings;
mod call_limits;
mod entry_listen;
mod entry_settings;
mod gate_limits;
mod host_settings;
mod identity_settings;
mod log_settings;
mod metric_settings;
mod platform_settings;
mod read;
mod secret_text;
mod setting_error;
mod setting_error_kind;
mod settings_error;
mod source_settings;
mod spread_settings;
mod target_settings;
mod transfer_settings;
mod walker;

pub use agent_listen::{AgentAdvertise, AgentListen};
pub use agent_settings::AgentSettings;
pub use call_limits::CallLimits;
pub use entry_listen::EntryListen;
pub use entry_settings::EntrySettings;
pub use gate_limits::GateLimits;
pub use host_settings::HostSettings;
pub use identity_settings::{CallerSettings, OperatorSettings};
pub use log_settings::{LogLevel, LogSettings};
pub use metric_settings::MetricSettings;
pub use platform_settings::PlatformSettings;
pub use read::{Settings, known_fields, parse, read};
pub use secret_text::SecretText;
pub use setting_error::SettingError;
pub use setting_error_kind::SettingErrorKind;
pub use settings_error::SettingsError;
pub use source_settings::SourceSettings;
pub use spread_settings::{SpreadProfile, SpreadSettings};
pub use target_settings::TargetSettings;
pub use transfer_settings::TransferSettings;
