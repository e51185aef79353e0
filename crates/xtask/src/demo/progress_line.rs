//! The line that shows how far the demo is.

use std::io::{IsTerminal, Write};
use std::time::{Duration, Instant};

use standin::{ProcessFleet, RunningLoad};

/// Rewrites one line on a terminal, and writes one line a phase elsewhere.
#[derive(Debug)]
pub(crate) struct ProgressLine {
    begin: Instant,
    phase: String,
    shown: Instant,
}

/// Time between two lines on a terminal.
const REFRESH: Duration = Duration::from_millis(200);

impl ProgressLine {
    pub(crate) fn new() -> Self {
        let now = Instant::now();
        Self {
            begin: now,
            phase: String::new(),
            shown: now,
        }
    }

    /// Begins a phase.
    pub(crate) fn phase(&mut self, phase: &str) {
        self.phase = phase.to_owned();
        if !std::io::stdout().is_terminal() {
            println!("{:6.1} s  {phase}", self.begin.elapsed().as_secs_f64());
        }
    }

    /// Shows the state of `fleet` and `load` when it is time to.
    pub(crate) fn show(&mut self, fleet: &ProcessFleet, label: &str, load: Option<&RunningLoad>) {
        if !std::io::stdout().is_terminal() || self.shown.elapsed() < REFRESH {
            return;
        }
        self.shown = Instant::now();
        let wanted = fleet.manifests.get(label).map(|it| it.version());
        let serving = fleet.engines.values().filter(|it| it.serving() == wanted);
        let (started, ended) = load.map_or((0, 0), RunningLoad::progress);
        print!(
            "\r\x1b[K{:5.1} s  {}  [{label} on {}/{} engines, {ended} of {started} calls ended]",
            self.begin.elapsed().as_secs_f64(),
            self.phase,
            serving.count(),
            fleet.engines.len(),
        );
        let _ = std::io::stdout().flush();
    }

    /// Ends the line.
    pub(crate) fn finish(&self) {
        if std::io::stdout().is_terminal() {
            println!("\r\x1b[K{:5.1} s  done", self.begin.elapsed().as_secs_f64());
        }
    }
}
