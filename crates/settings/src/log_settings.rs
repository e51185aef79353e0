//! What is logged.

use crate::walker::Section;

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// States that may need an operator.
    Warning,
    /// Changes of state.
    #[default]
    Info,
    /// Every request and transfer.
    Debug,
}

/// How a process logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// The least severe level that is logged.
    pub level: LogLevel,
}

impl LogSettings {
    pub(crate) fn read(mut section: Section<'_>) -> Self {
        let level = section.optional("level", |it| {
            let idx = it.choice(&["error", "warning", "info", "debug"])?;
            Some(LEVELS[idx])
        });
        section.finish();
        Self {
            level: level.unwrap_or_default(),
        }
    }
}

const LEVELS: [LogLevel; 4] = [
    LogLevel::Error,
    LogLevel::Warning,
    LogLevel::Info,
    LogLevel::Debug,
];
