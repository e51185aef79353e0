//! `fulmarline explain`: collects the log entries of one request from the logs of several processes.

use std::path::PathBuf;

use anyhow::Context;
use serde_json::{Map, Value};

use crate::exit_status::ExitStatus;

/// Prints the log entries of request `id`, ordered by timestamp.
pub(crate) fn run(id: &str, files: &[PathBuf]) -> ExitStatus {
    match read_entries(id, files) {
        Ok(entries) if entries.is_empty() => {
            println!(
                "no log entry for request {id}: it reached none of these processes, or its entries were suppressed"
            );
            ExitStatus::Refused
        }
        Ok(entries) => {
            print_entries(&entries);
            ExitStatus::Success
        }
        Err(err) => {
            eprintln!("fulmarline: {err:#}");
            ExitStatus::InvalidInput
        }
    }
}

/// A log entry of the request.
struct LogEntry {
    time: String,
    host: String,
    message: String,
    details: Vec<String>,
    /// Time after the switch of the weights until which the replica was allowed to begin the request.
    unfenced_ms: Option<u64>,
}

fn read_entries(id: &str, files: &[PathBuf]) -> anyhow::Result<Vec<LogEntry>> {
    let mut entries = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file)
            .with_context(|| format!("cannot read log {}", file.display()))?;
        entries.extend(text.lines().filter_map(|it| parse_entry(id, it)));
    }
    entries.sort_by(|a, b| a.time.cmp(&b.time));
    Ok(entries)
}

/// Parses a log line and returns its entry if it belongs to request `id`. Log collectors may have added a prefix to the
/// line.
fn parse_entry(id: &str, line: &str) -> Option<LogEntry> {
    let json = line.get(line.find('{')?..)?;
    let Value::Object(mut fields) = serde_json::from_str(json).ok()? else {
        return None;
    };
    if fields.get("request")?.as_str()? != id {
        return None;
    }
    let unfenced_ms = unfenced_ms(&fields);
    let mut take_field = |name: &str| match fields.remove(name) {
        Some(Value::String(text)) => text,
        Some(other) => other.to_string(),
        None => String::new(),
    };
    let (time, host, message) = (take_field("ts"), take_field("host"), take_field("msg"));
    for common_field in ["request", "level", "role", "zone"] {
        fields.remove(common_field);
    }
    let details = fields
        .iter()
        .filter(|(_, value)| !value.is_null())
        .map(|(name, value)| {
            format!(
                "{name}={}",
                value
                    .as_str()
                    .map_or_else(|| value.to_string(), str::to_owned)
            )
        })
        .collect();
    Some(LogEntry {
        time,
        host,
        message,
        details,
        unfenced_ms,
    })
}

/// Returns the time after the switch at which the time limit in a log line ends, if it does.
fn unfenced_ms(fields: &Map<String, Value>) -> Option<u64> {
    if fields.get("limited_by")? != "none" {
        return None;
    }
    let limit_ms = fields.get("limit_ms")?.as_u64()?;
    limit_ms.checked_sub(fields.get("switch_ms")?.as_u64()?)
}

fn print_entries(entries: &[LogEntry]) {
    let mut hosts: Vec<&str> = entries.iter().map(|it| it.host.as_str()).collect();
    hosts.sort_unstable();
    hosts.dedup();
    if hosts.len() > 1 {
        println!(
            "timestamps are from each host's own clock; entries of different hosts may be out of order"
        );
    }
    for entry in entries {
        println!(
            "{} {} {}: {}",
            entry.time,
            entry.host,
            entry.message,
            entry.details.join(" ")
        );
        if let Some(late_ms) = entry.unfenced_ms {
            println!(
                "    no time limit before the switch: without a withdrawal the replica may begin the request up to {late_ms} ms after it"
            );
        }
    }
}
