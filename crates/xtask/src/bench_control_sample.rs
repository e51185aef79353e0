//! Resource usage of one process.

use std::time::Duration;

use anyhow::Context;
use standin::ProcessFleet;

/// Clock ticks per second in `/proc/PID/stat` on Linux.
const TICKS_PER_S: f64 = 100.0;

/// Resource usage of one process: totals since its start, or rates per second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CostSample {
    /// CPU time in seconds, or as a rate the share of one core.
    pub(crate) cpu: f64,
    /// Resident memory in MB.
    pub(crate) rss_mb: f64,
    /// Bytes of control traffic, sent and received.
    pub(crate) bytes: f64,
    /// Control messages sent and received, as the process counts them in its state dump.
    pub(crate) messages: f64,
}

impl CostSample {
    /// Returns the rates since the sample `earlier`, which was taken `elapsed` before this one.
    pub(crate) fn rates_since(&self, earlier: &Self, elapsed: Duration) -> Self {
        let seconds = elapsed.as_secs_f64();
        Self {
            cpu: (self.cpu - earlier.cpu) / seconds,
            rss_mb: self.rss_mb,
            bytes: (self.bytes - earlier.bytes) / seconds,
            messages: (self.messages - earlier.messages) / seconds,
        }
    }
}

/// Reads the totals of the process with `pid` on host `name`, from its state dump and from `/proc`.
pub(crate) fn read_cost(fleet: &ProcessFleet, name: &str, pid: u32) -> anyhow::Result<CostSample> {
    let state = fleet.state(name)?;
    let control = &state["control"];
    let number = |key: &str| control[key].as_f64().unwrap_or_default();
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // Of the fields after the parenthesised process name, the 12th is user time and the 13th is system time.
    let fields = stat.rsplit(')').next().context("/proc/PID/stat is empty")?;
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
