//! Tests of query evaluation: filters, sorting, limits and projection.

use control::{Cell, Statement, evaluate_query, parse};
use expect_test::{Expect, expect};

fn check(text: &str, expect: Expect) {
    let Statement::Query(query) = parse(text).unwrap() else {
        panic!("{text} is a command");
    };
    let row = |org: &str, weight: Option<f64>, denied: &str| {
        let weight = weight.map_or(Cell::None, Cell::Number);
        vec![
            Cell::text(org),
            weight,
            Cell::Number(5.0),
            Cell::text(denied),
        ]
    };
    let rows = vec![
        row("chain", Some(4.0), "no"),
        row("alone", None, "yes"),
        row("club", Some(1.5), "no"),
        row("dealer", Some(10.0), "yes"),
    ];
    let result = evaluate_query(&query, rows);
    let mut output = result.columns.join(" ");
    for row in &result.rows {
        let cells: Vec<_> = row.iter().map(Cell::display_text).collect();
        output += &format!("\n{}", cells.join(" "));
    }
    expect.assert_eq(&output);
}

#[test]
fn filters_sorts_and_limits() {
    check(
        "show organisations",
        expect![[r#"
        organisation weight priority denied
        chain 4 5 no
        alone - 5 yes
        club 1.5 5 no
        dealer 10 5 yes"#]],
    );
    check(
        "SHOW organisations weight WHERE weight > 1.5",
        expect![[r#"
            weight
            4
            10"#]],
    );
    check(
        "show organisations organisation where weight != 4",
        expect![[r#"
            organisation
            alone
            club
            dealer"#]],
    );
    check(
        "show organisations organisation where weight = none or organisation ~ l",
        expect![[r#"
            organisation
            alone
            club
            dealer"#]],
    );
    check(
        "show organisations organisation where not (denied = yes and weight >= 10)",
        expect![[r#"
            organisation
            chain
            alone
            club"#]],
    );
    check(
        "show organisations organisation, weight order by denied desc, weight limit 3",
        expect![[r#"
            organisation weight
            alone -
            dealer 10
            club 1.5"#]],
    );
}
