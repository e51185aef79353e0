//! Complete events of streams, in order.

use expect_test::{Expect, expect};
use fleet::{StreamCursor, StreamError};

fn check(last: Option<u64>, chunks: &[&str], expected: &Expect) {
    let mut cursor = StreamCursor::new(last);
    let mut lines = String::new();
    for chunk in chunks {
        let line = match cursor.push(chunk.as_bytes()) {
            Ok(Some(batch)) => format!("{:?}", String::from_utf8_lossy(&batch.bytes)),
            Ok(None) => "incomplete".to_owned(),
            Err(err) => format!("{err:?}"),
        };
        lines.push_str(&format!("{line}, last {:?}\n", cursor.last_id()));
    }
    expected.assert_eq(&lines);
}

#[test]
fn only_complete_events_are_forwarded() {
    check(
        None,
        &["id: 1\ndata: a\n\nid: 2\nda", "ta: b\n\n", "id: 3\n"],
        &expect![[r#"
            "id: 1\ndata: a\n\n", last Some(1)
            "id: 2\ndata: b\n\n", last Some(2)
            incomplete, last Some(2)
        "#]],
    );
}

#[test]
fn order_is_checked() {
    check(
        Some(4),
        &["id: 5\ndata: a\n\n"],
        &expect![[r#"
        "id: 5\ndata: a\n\n", last Some(5)
    "#]],
    );
    check(
        Some(4),
        &["id: 4\ndata: a\n\n"],
        &expect![[r#"
        Order, last Some(4)
    "#]],
    );
    check(
        None,
        &["id: 1\ndata: a\n\nid: 3\ndata: b\n\n"],
        &expect![[r#"
        Order, last Some(1)
    "#]],
    );
}

/// Guards against a replica that sends comments only and is taken for one that serves the stream.
#[test]
fn comments_are_not_events() {
    check(
        None,
        &[
            ": wait\n\n",
            "\n: wait\r\n\r\n",
            ": wait",
            "\n\nid: 1\ndata: a\n\n: wait\n\n",
            ": wait\n\nid: 2\n",
            "data: b\n",
            "\n",
        ],
        &expect![[r#"
            incomplete, last None
            incomplete, last None
            incomplete, last None
            ": wait\n\n\n: wait\r\n\r\n: wait\n\nid: 1\ndata: a\n\n: wait\n\n", last Some(1)
            incomplete, last Some(1)
            incomplete, last Some(1)
            ": wait\n\nid: 2\ndata: b\n\n", last Some(2)
        "#]],
    );
    let mut cursor = StreamCursor::new(None);
    let failure = (0..20_000).find_map(|_| cursor.push(b": wait without end\n\n").err());
    assert_eq!(failure, Some(StreamError::TooLarge));
}

#[test]
fn partial_events_are_dropped_before_a_resume() {
    let mut cursor = StreamCursor::new(None);
    cursor.push(b"id: 1\ndata: a\n\nid: 2\ndata: hal").unwrap();
    assert_eq!(cursor.partial_len(), b"id: 2\ndata: hal".len());
    let mut cursor = StreamCursor::new(cursor.last_id());
    let batch = cursor.push(b"id: 2\ndata: whole\n\n").unwrap().unwrap();
    assert_eq!(batch.bytes, b"id: 2\ndata: whole\n\n");
}

fn check_end(chunks: &[&str], end_is_marked: bool, expected: &Expect) {
    let mut cursor = StreamCursor::new(None);
    for chunk in chunks {
        cursor.push(chunk.as_bytes()).unwrap();
    }
    let end = cursor
        .finish(end_is_marked)
        .map(|rest| String::from_utf8(rest).unwrap());
    expected.assert_eq(&format!("{end:?}"));
}

/// Guards against streams that count as complete although their replica crashed in the middle of an event.
#[test]
fn a_stream_that_ends_inside_an_event_is_not_complete() {
    let inside = expect!["Err(InsideEvent)"];
    for end_is_marked in [false, true] {
        for chunks in [
            &["id: 1\ndata: a\n\n", "i"][..],
            &["id: 1\ndata: a\n\nid: 2\nda"],
            &["id: 1\ndata: a\n\nid: 2\ndata: b\n"],
            &["id: 1\ndata: a\n\n:comm"],
            &["id: 1\r\ndata: a\r\n\r"],
            &["id: 1\nda"],
        ] {
            check_end(chunks, end_is_marked, &inside);
        }
    }
}

#[test]
fn a_stream_that_ends_between_events_is_complete() {
    for end_is_marked in [false, true] {
        let check = |chunks, expected| check_end(chunks, end_is_marked, &expected);
        check(&["id: 1\ndata: a\n\n"], expect![[r#"Ok("")"#]]);
        check(&["id: 1\r\ndata: a\r\n\r\n"], expect![[r#"Ok("")"#]]);
        check(&["id: 1\ndata: a\n\n", "\n"], expect![[r#"Ok("\n")"#]]);
        check(
            &["id: 1\ndata: a\n\n", ": end\n"],
            expect![[r#"Ok(": end\n")"#]],
        );
    }
}

/// Guards against empty streams of replicas that crashed before their first event.
#[test]
fn an_empty_stream_is_complete_only_if_its_end_is_marked() {
    check_end(&[], true, &expect![[r#"Ok("")"#]]);
    check_end(&[], false, &expect!["Err(NoEvent)"]);
    check_end(&[": ping\n"], false, &expect!["Err(NoEvent)"]);

    let mut cursor = StreamCursor::new(None);
    cursor.push(b"id: 1\ndata: a\n\n").unwrap();
    let mut cursor = StreamCursor::new(cursor.last_id());
    assert!(
        cursor.finish(false).is_err(),
        "the second replica sent no event"
    );
}

#[test]
fn events_without_end_are_rejected() {
    let mut cursor = StreamCursor::new(None);
    let chunk = vec![b'x'; 100 * 1024];
    assert!(cursor.push(&chunk).is_ok());
    assert!(cursor.push(&chunk).is_ok());
    assert!(cursor.push(&chunk).is_err());
}
