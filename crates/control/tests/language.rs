//! Tests of the parser: the position and text of errors, and robustness against any input.

mod support;

use control::parse;
use expect_test::{Expect, expect};

fn check_error(text: &str, expect: Expect) {
    let err = parse(text).expect_err(text);
    expect.assert_eq(&err.underline(text));
}

#[test]
fn errors_mark_the_token_and_suggest_similar_names() {
    check_error(
        "shwo targets",
        expect![[r#"
            shwo targets
            ^^^^ expected a command, found "shwo"; did you mean "show"?"#]],
    );
    check_error(
        "show tragets",
        expect![[r#"
            show tragets
                 ^^^^^^^ there is no table "tragets"; did you mean "targets"?"#]],
    );
    check_error(
        "show load hots where overloaded = yes",
        expect![[r#"
            show load hots where overloaded = yes
                      ^^^^ there is no column "hots"; did you mean "host"?"#]],
    );
    check_error(
        "show load whree host = a",
        expect![[r#"
            show load whree host = a
                      ^^^^^ there is no column "whree"; did you mean "where"?"#]],
    );
    check_error(
        "show load where host < 3",
        expect![[r#"
            show load where host < 3
                                   ^ column "host" contains text, which supports = != and ~"#]],
    );
    check_error(
        "show load where in_flight = many",
        expect![[r#"
            show load where in_flight = many
                                        ^^^^ column "in_flight" contains numbers, which support = != < <= > >= with a number"#]],
    );
    check_error(
        "show load where (host = a",
        expect![[r#"
            show load where (host = a
                                     ^ expected ")", found the end of the command"#]],
    );
    check_error(
        "rollout prices v2 max_out 0%",
        expect![[r#"
            rollout prices v2 max_out 0%
                                      ^^ the max_out percentage must be a number from 1 to 100"#]],
    );
    check_error(
        "roll bakc prices",
        expect![[r#"
            roll bakc prices
                 ^^^^ expected "back", found "bakc"; did you mean "back"?"#]],
    );
    check_error(
        "drain",
        expect![[r#"
            drain
                 ^ expected a host name, found the end of the command"#]],
    );
    check_error(
        "drain -h7",
        expect![[r#"
            drain -h7
                  ^^^ the host name must start with a letter or digit"#]],
    );
    check_error(
        "drain a b",
        expect![[r#"
            drain a b
                    ^ expected the end of the command, found "b""#]],
    );
    check_error(
        "deny \"chain",
        expect![[r#"
            deny "chain
                 ^^^^^^ unterminated quoted string"#]],
    );
    check_error(
        "set service orders keep_outcome 3w",
        expect![[r#"
            set service orders keep_outcome 3w
                                            ^^ the duration in seconds (or with unit s, m, h or d) must be a number from 1 to 31536000"#]],
    );
    check_error(
        "drain é",
        expect![[r#"
            drain é
                  ^^ unexpected character 'é'"#]],
    );
}

#[test]
fn nesting_depth_and_length_are_limited() {
    let nested_parentheses = format!("show load where {}host = a", "(".repeat(1000));
    assert!(parse(&nested_parentheses).is_err());
    let nested_nots = format!("show load where {}host = a", "not ".repeat(1000));
    assert!(parse(&nested_nots).is_err());
    assert!(parse(&"a".repeat(5000)).is_err());
}

#[test]
fn parser_never_panics() {
    for seed in 0..2000 {
        arbtest::arbtest(|u| {
            let words = [
                "show", "load", "where", "(", ")", "not", "and", "\"", "~", "é", "5", "%",
            ];
            let mut text = String::new();
            for _ in 0..u.int_in_range(0..=24)? {
                text.push_str(u.choose(&words)?);
                text.push_str(u.choose(&["", " "])?);
            }
            if let Err(err) = parse(&text) {
                assert!(
                    text.get(err.span.offset..err.span.offset + err.span.len)
                        .is_some()
                );
                err.underline(&text);
            }
            Ok(())
        })
        .seed(support::arbtest_seed(seed));
    }
}
