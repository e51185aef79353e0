//! Progress output of the demo.

use std::io::{IsTerminal, Write};
use std::time::{Duration, Instant};

use standin::{ProcessFleet, RunningLoad};

/// Updates a single line on a terminal; prints one line per phase if the output is not a terminal.
#[derive(Debug)]
pub(crate) struct ProgressLine {
    started_at: Instant,
    phase: String,
    updated_at: Instant,
}

/// Minimum time between two updates on a terminal.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);

impl ProgressLine {
    pub(crate) fn new() -> Self {
        let now = Instant::now();
        Self {
            started_at: now,
            phase: String::new(),
            updated_at: now,
        }
    }

    /// Starts the phase with the name `phase`.
    pub(crate) fn start_phase(&mut self, phase: &str) {
        self.phase = phase.to_owned();
        if !std::io::stdout().is_terminal() {
            println!("{:6.1} s  {phase}", self.started_at.elapsed().as_secs_f64());
        }
    }

    /// Shows the state of `fleet` and `load`, at most once per refresh interval and only on a terminal.
    pub(crate) fn update(&mut self, fleet: &ProcessFleet, label: &str, load: Option<&RunningLoad>) {
        if !std::io::stdout().is_terminal() || self.updated_at.elapsed() < REFRESH_INTERVAL {
            return;
        }
        self.updated_at = Instant::now();
        let expected_version = fleet.manifests.get(label).map(|it| it.version());
        let serving = fleet
            .engines
            .values()
            .filter(|it| it.serving() == expected_version);
        let (started, ended) = load.map_or((0, 0), RunningLoad::progress);
        print!(
            "\r\x1b[K{:5.1} s  {}  [{label} on {}/{} engines, {ended} of {started} calls ended]",
            self.started_at.elapsed().as_secs_f64(),
            self.phase,
            serving.count(),
            fleet.engines.len(),
        );
        let _ = std::io::stdout().flush();
    }

    /// Replaces the line by a final one.
    pub(crate) fn finish(&self) {
        if std::io::stdout().is_terminal() {
            println!(
                "\r\x1b[K{:5.1} s  done",
                self.started_at.elapsed().as_secs_f64()
            );
        }
    }
}
