//! What one process has used so far.

use std::time::Duration;

use anyhow::Context;
use standin::ProcessFleet;

/// Clock ticks a second in `/proc/PID/stat` on Linux.
const TICKS_PER_S: f64 = 100.0;

/// Use of one process: totals, or rates over a time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CostSample {
    /// Processor time in seconds, or the share of one core.
    pub(crate) cpu: f64,
    /// Resident memory in MB.
    pub(crate) rss_mb: f64,
    /// Bytes of control traffic in and out together.
    pub(crate) bytes: f64,
    /// Messages of control traffic sent and answered.
    pub(crate) messages: f64,
}

impl CostSample {
    /// Returns the rates since `first`.
    pub(crate) fn since(&self, first: &Self, time: Duration) -> Self {
        let seconds = time.as_secs_f64();
        Self {
            cpu: (self.cpu - first.cpu) / seconds,
            rss_mb: self.rss_mb,
            bytes: (self.bytes - first.bytes) / seconds,
            messages: (self.messages - first.messages) / seconds,
        }
    }
}

/// Reads the use of the process with `pid` on host `name`.
pub(crate) fn read_cost(fleet: &ProcessFleet, name: &str, pid: u32) -> anyhow::Result<CostSample> {
    let state = fleet.state(name)?;
    let control = &state["control"];
    let number = |key: &str| control[key].as_f64().unwrap_or_default();
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The fields after the name in parentheses: user time is the 12th, system time the 13th.
    let fields = stat.rsplit(')').next().context("no fields")?;
    let field = |idx: usize| {
        let text = fields.split_whitespace().nth(idx);
        text.and_then(|it| it.parse::<f64>().ok())
            .unwrap_or_default()
    };
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let rss_kb = status
        .lines()
        .find_map(|it| it.strip_prefix("VmRSS:"))
        .and_then(|it| it.split_whitespace().next()?.parse::<f64>().ok())
        .unwrap_or_default();
    Ok(CostSample {
        cpu: (field(11) + field(12)) / TICKS_PER_S,
        rss_mb: rss_kb / 1024.0,
        bytes: number("received_bytes") + number("sent_bytes"),
        messages: number("messages"),
    })
}
