//! The table of `docs/RESULTS.md` says what the code does.

use model::{ResultCode, RunStatus};

const PAGE: &str = include_str!("../../../docs/RESULTS.md");

/// Returns the cells of the table's rows, without the column that explains the code in words.
fn rows_of_page() -> Vec<Vec<&'static str>> {
    let rows = PAGE.lines().filter(|it| it.starts_with("| "));
    let cells = rows.map(|it| it.trim_matches('|').split('|').map(str::trim).collect());
    cells
        .filter(|row: &Vec<&str>| row.len() == 6 && row[0].parse::<u16>().is_ok())
        .map(|row| vec![row[0], row[1], row[2], row[4], row[5]])
        .collect()
}

fn row_of_code(code: ResultCode) -> Vec<String> {
    let run = match code.run_status() {
        RunStatus::Ran => "yes",
        RunStatus::NotRun => "no",
        RunStatus::Partial => "in part",
        RunStatus::Unknown => "unknown",
    };
    let retry = if code.is_retryable() { "yes" } else { "no" };
    vec![
        code.number().to_string(),
        format!("`{}`", code.name()),
        code.http_status().to_string(),
        run.to_owned(),
        retry.to_owned(),
    ]
}

#[test]
fn page_and_code_agree() {
    let of_code: Vec<Vec<String>> = ResultCode::ALL.iter().map(|it| row_of_code(*it)).collect();
    assert_eq!(rows_of_page(), of_code);
}

#[test]
fn numbers_and_names_are_unique_and_found_again() {
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
        assert_eq!(ResultCode::from_header(&code.to_string()), Some(*code));
        let same = ResultCode::ALL.iter().filter(|it| it.name() == code.name());
        assert_eq!(same.count(), 1, "{code}");
    }
}
