//! Checks that the table in `docs/RESULTS.md` matches the result codes.

use model::{ResultCode, RunStatus};

const PAGE: &str = include_str!("../../../docs/RESULTS.md");

/// Returns the cells of the table's rows without the column that describes the meaning.
fn documented_rows() -> Vec<Vec<&'static str>> {
    let rows = PAGE.lines().filter(|it| it.starts_with("| "));
    let cells = rows.map(|it| it.trim_matches('|').split('|').map(str::trim).collect());
    cells
        .filter(|row: &Vec<&str>| row.len() == 6 && row[0].parse::<u16>().is_ok())
        .map(|row| vec![row[0], row[1], row[2], row[4], row[5]])
        .collect()
}

fn expected_row(code: ResultCode) -> Vec<String> {
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
fn documentation_matches_result_codes() {
    let expected: Vec<Vec<String>> = ResultCode::ALL.iter().map(|it| expected_row(*it)).collect();
    assert_eq!(documented_rows(), expected);
}

#[test]
fn numbers_and_names_are_unique_and_round_trip() {
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
        assert_eq!(ResultCode::from_header(&code.to_string()), Some(*code));
        let same_name = ResultCode::ALL.iter().filter(|it| it.name() == code.name());
        assert_eq!(same_name.count(), 1, "{code}");
    }
}
