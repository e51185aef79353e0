//! Settings of logging.

use crate::walker::Section;

/// Minimum severity of logged messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogLevel {
    /// Failures that require action by an operator.
    Error,
    /// Conditions that may require action by an operator.
    Warning,
    /// State changes.
    #[default]
    Info,
    /// Every request and transfer.
    Debug,
}

/// Logging of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// Minimum severity of logged messages.
    pub level: LogLevel,
}

impl LogSettings {
    pub(crate) fn read(mut section: Section<'_>) -> Self {
        let level = section.optional("level", |it| {
            let idx = it.choice(&["error", "warning", "info", "debug"])?;
            Some(LOG_LEVELS[idx])
        });
        section.finish();
        Self {
            level: level.unwrap_or_default(),
        }
    }
}

/// Levels in the order of the strings in the settings.
const LOG_LEVELS: [LogLevel; 4] = [
    LogLevel::Error,
    LogLevel::Warning,
    LogLevel::Info,
    LogLevel::Debug,
];
