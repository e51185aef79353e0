//! Summary of the emulations of one scenario.

use std::time::Duration;

use emulator::{CrashOutcome, CrashScenario};

/// Summary of the emulations of one scenario.
pub(crate) struct CrashSummary {
    outcomes: Vec<CrashOutcome>,
    seconds: f64,
    entries: f64,
}

impl CrashSummary {
    /// Header of a table of summaries.
    pub(crate) const HEADER: &'static str = "| scenario | seeds | crashes, mean and most | after the bound, most | agreed after the fifth, most | sound refused of 1,000 | sound at the first attempt of 1,000 | sound parts held | bytes an entry and second |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |";

    pub(crate) fn new(scenario: &CrashScenario, outcomes: Vec<CrashOutcome>) -> Self {
        Self {
            outcomes,
            seconds: scenario.duration.as_secs_f64(),
            entries: scenario.entries as f64,
        }
    }

    /// Returns the row of a table.
    pub(crate) fn row(&self, name: &str) -> String {
        let count = self.outcomes.len();
        let crashes = self.total(|it| it.crashes) as f64 / count as f64;
        let agreed = self.outcomes.iter().filter_map(|it| it.agreed_after).max();
        let agreed = agreed.map_or("never".to_owned(), |it: Duration| {
            format!("{:.2} s", it.as_secs_f64())
        });
        let sound = self.total(|it| it.sound) as f64 / 1000.0;
        let bytes = self.total(|it| it.bytes) as f64 / (count as f64 * self.seconds * self.entries);
        format!(
            "| {name} | {count} | {crashes:.1}, {} | {} | {agreed} | {:.1} | {:.0} | {} | {bytes:.0} |",
            self.most(|it| it.crashes),
            self.most(|it| it.late_guilty),
            self.total(|it| it.sound_refused) as f64 / sound,
            self.total(|it| it.sound_first_attempt) as f64 / sound,
            self.total(|it| it.sound_parts_held),
        )
    }

    fn total(&self, value: impl Fn(&CrashOutcome) -> u64) -> u64 {
        self.outcomes.iter().map(value).sum()
    }

    fn most(&self, value: impl Fn(&CrashOutcome) -> u64) -> u64 {
        self.outcomes.iter().map(value).max().unwrap_or(0)
    }
}
