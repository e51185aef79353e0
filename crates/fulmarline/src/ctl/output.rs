//! Shows answers.

use control::{Cell, QueryTable};
use model::{ResultCode, RunStatus};
use serde_json::Value;

use crate::exit_status::ExitStatus;

/// Shows the answer to `text` as a table or as JSON, and returns the status to end with.
pub(crate) fn show(text: &str, answer: &Value, json: bool) -> ExitStatus {
    let code = answer["code"]
        .as_u64()
        .and_then(|it| u16::try_from(it).ok());
    let code = code
        .and_then(ResultCode::from_number)
        .unwrap_or(ResultCode::Internal);
    if json {
        println!("{answer}");
    } else if code != ResultCode::Ok {
        show_error(text, code, answer);
    } else if answer["columns"].is_array() {
        show_table(answer);
    } else {
        println!("{}{}", message(answer), in_force(answer));
    }
    match code.run_status() {
        RunStatus::Ran => ExitStatus::Done,
        RunStatus::NotRun => ExitStatus::Refused,
        RunStatus::Partial | RunStatus::Unknown => ExitStatus::Unknown,
    }
}

fn show_error(text: &str, code: ResultCode, answer: &Value) {
    if let Some(offset) = answer["error"]["offset"].as_u64() {
        let offset = usize::try_from(offset).unwrap_or_default().min(text.len());
        let length = answer["error"]["length"]
            .as_u64()
            .unwrap_or_default()
            .max(1);
        let indent = text.get(..offset).unwrap_or(text).chars().count();
        let marks = "^".repeat(usize::try_from(length).unwrap_or(1).min(text.len().max(1)));
        eprintln!("{text}\n{}{marks}", " ".repeat(indent));
    }
    eprintln!("{code}: {}", message(answer));
}

fn message(answer: &Value) -> &str {
    answer["message"].as_str().unwrap_or_default()
}

fn in_force(answer: &Value) -> String {
    let place = &answer["in_force"];
    let (Some(count), Some(of)) = (place["count"].as_u64(), place["of"].as_u64()) else {
        return String::new();
    };
    match place["slowest"].as_str() {
        Some(slowest) => format!(", in force on {count} of {of} hosts, slowest {slowest}"),
        None => format!(", in force on {count} of {of} hosts"),
    }
}

fn show_table(answer: &Value) {
    let Ok(table) = serde_json::from_value::<QueryTable>(answer.clone()) else {
        println!("{answer}");
        return;
    };
    let rows = table
        .rows
        .iter()
        .map(|row| row.iter().map(Cell::display_text).collect());
    let lines: Vec<Vec<String>> = std::iter::once(table.columns.clone()).chain(rows).collect();
    let width = |idx: usize| {
        let cells = lines.iter().filter_map(|it| it.get(idx));
        cells.map(|it| it.chars().count()).max().unwrap_or_default()
    };
    let widths: Vec<_> = (0..table.columns.len()).map(width).collect();
    for line in &lines {
        let cells = line.iter().zip(&widths);
        let cells: Vec<_> = cells.map(|(it, width)| format!("{it:<width$}")).collect();
        println!("{}", cells.join("  ").trim_end());
    }
}
