//! Prints the response to a statement as text, a table or JSON, and maps its result code to the exit status.

use control::{Cell, QueryTable};
use model::{ResultCode, RunStatus};
use serde_json::Value;

use crate::exit_status::ExitStatus;

/// Prints the response to `statement` as text or as JSON, and returns the exit status.
pub(crate) fn print_response(statement: &str, response: &Value, json: bool) -> ExitStatus {
    let code = response["code"]
        .as_u64()
        .and_then(|it| u16::try_from(it).ok());
    let code = code
        .and_then(ResultCode::from_number)
        .unwrap_or(ResultCode::Internal);
    if json {
        println!("{response}");
    } else if code != ResultCode::Ok {
        print_error(statement, code, response);
    } else if response["columns"].is_array() {
        print_table(response);
    } else {
        println!("{}{}", message(response), in_force_summary(response));
    }
    match code.run_status() {
        RunStatus::Ran => ExitStatus::Success,
        RunStatus::NotRun => ExitStatus::Refused,
        RunStatus::Partial | RunStatus::Unknown => ExitStatus::OutcomeUnknown,
    }
}

/// Prints an error and underlines the part of the statement that it refers to.
fn print_error(statement: &str, code: ResultCode, response: &Value) {
    if let Some(offset) = response["error"]["offset"].as_u64() {
        let offset = usize::try_from(offset)
            .unwrap_or_default()
            .min(statement.len());
        let length = response["error"]["length"]
            .as_u64()
            .unwrap_or_default()
            .max(1);
        let indent = statement.get(..offset).unwrap_or(statement).chars().count();
        let underline = "^".repeat(
            usize::try_from(length)
                .unwrap_or(1)
                .min(statement.len().max(1)),
        );
        eprintln!("{statement}\n{}{underline}", " ".repeat(indent));
    }
    eprintln!("{code}: {}", message(response));
}

fn message(response: &Value) -> &str {
    response["message"].as_str().unwrap_or_default()
}

/// Describes on how many hosts a command is in force, if the response contains this.
fn in_force_summary(response: &Value) -> String {
    let in_force = &response["in_force"];
    let (Some(count), Some(total)) = (in_force["count"].as_u64(), in_force["of"].as_u64()) else {
        return String::new();
    };
    match in_force["slowest"].as_str() {
        Some(slowest) => format!(", in force on {count} of {total} hosts, slowest {slowest}"),
        None => format!(", in force on {count} of {total} hosts"),
    }
}

fn print_table(response: &Value) {
    let Ok(table) = serde_json::from_value::<QueryTable>(response.clone()) else {
        println!("{response}");
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
