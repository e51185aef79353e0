//! Tests that `docs/COMMANDS.md` matches the command language.

use std::{env, fs, path};

use control::{PARAMETERS, TableName, language::ColumnKind, parse};

fn read_page() -> (path::PathBuf, String) {
    let path = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/COMMANDS.md");
    let text = fs::read_to_string(&path).expect("the page exists");
    (path, text)
}

#[test]
fn examples_parse() {
    let (_, text) = read_page();
    let examples = text
        .split("```command\n")
        .nth(1)
        .expect("the page has examples");
    let examples = examples.split("```").next().unwrap_or_default();
    assert!(examples.lines().count() >= 29);
    for line in examples.lines() {
        if let Err(err) = parse(line) {
            panic!("{}", err.underline(line));
        }
    }
}

/// Compares the generated tables of the page with the code; `UPDATE_EXPECT=1` rewrites them.
#[test]
fn tables_and_parameters_match_the_code() {
    let (path, text) = read_page();
    let mut tables = String::from("| table | columns (numbers are marked `#`) |\n| --- | --- |\n");
    for table in TableName::ALL {
        let columns: Vec<_> = table
            .columns()
            .iter()
            .map(|it| match it.kind {
                ColumnKind::Number => format!("`{}`#", it.name),
                ColumnKind::Text => format!("`{}`", it.name),
            })
            .collect();
        tables += &format!("| `{}` | {} |\n", table.name(), columns.join(", "));
    }
    let mut parameters =
        String::from("| parameter | from | to | meaning |\n| --- | --- | --- | --- |\n");
    for parameter in PARAMETERS {
        parameters += &format!(
            "| `{}` | {} | {} | {} |\n",
            parameter.name, parameter.min, parameter.max, parameter.description
        );
    }
    let expected = replace_section(&text, "## Tables", &tables);
    let expected = replace_section(&expected, "## Parameters", &parameters);
    if env::var_os("UPDATE_EXPECT").is_some() {
        fs::write(path, &expected).expect("the page can be written");
        return;
    }
    assert_eq!(text, expected);
}

fn replace_section(text: &str, title: &str, body: &str) -> String {
    let start = text.find(title).expect("the section exists") + title.len();
    let end = start
        + text[start..]
            .find("\n## ")
            .expect("another section follows");
    format!("{}\n\n{body}{}", &text[..start], &text[end..])
}
