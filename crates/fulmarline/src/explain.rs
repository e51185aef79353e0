//! Tells the story of one request from the logs of several processes.

use std::path::PathBuf;

use anyhow::Context;
use serde_json::Value;

use crate::exit_status::ExitStatus;

/// Prints the lines about request `id` in the order of their time stamps.
pub(crate) fn run(id: &str, files: &[PathBuf]) -> ExitStatus {
    match story(id, files) {
        Ok(lines) if lines.is_empty() => {
            println!(
                "no line about request {id}: it reached none of these processes, or its lines were suppressed"
            );
            ExitStatus::Refused
        }
        Ok(lines) => {
            print_story(&lines);
            ExitStatus::Done
        }
        Err(err) => {
            eprintln!("fulmarline: {err:#}");
            ExitStatus::BadInput
        }
    }
}

/// One line of a log that is about the request.
struct StoryLine {
    time: String,
    host: String,
    message: String,
    details: Vec<String>,
}

fn story(id: &str, files: &[PathBuf]) -> anyhow::Result<Vec<StoryLine>> {
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file)
            .with_context(|| format!("cannot read log {}", file.display()))?;
        lines.extend(text.lines().filter_map(|it| story_line(id, it)));
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    Ok(lines)
}

/// Reads a line, which a collector may have prefixed, if it is about request `id`.
fn story_line(id: &str, line: &str) -> Option<StoryLine> {
    let json = line.get(line.find('{')?..)?;
    let Value::Object(mut fields) = serde_json::from_str(json).ok()? else {
        return None;
    };
    if fields.get("request")?.as_str()? != id {
        return None;
    }
    let mut take = |name: &str| match fields.remove(name) {
        Some(Value::String(text)) => text,
        Some(other) => other.to_string(),
        None => String::new(),
    };
    let (time, host, message) = (take("ts"), take("host"), take("msg"));
    for known in ["request", "level", "role", "zone"] {
        fields.remove(known);
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
    Some(StoryLine {
        time,
        host,
        message,
        details,
    })
}

fn print_story(lines: &[StoryLine]) {
    let mut hosts: Vec<&str> = lines.iter().map(|it| it.host.as_str()).collect();
    hosts.sort_unstable();
    hosts.dedup();
    if hosts.len() > 1 {
        println!(
            "times are those of each host's own clock; between hosts their order may differ from the true one"
        );
    }
    for line in lines {
        println!(
            "{} {} {}: {}",
            line.time,
            line.host,
            line.message,
            line.details.join(" ")
        );
    }
}
