//! Complete events of streams, in order.

use expect_test::{Expect, expect};
use fleet::StreamCursor;

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

#[test]
fn partial_events_are_dropped_before_a_resume() {
    let mut cursor = StreamCursor::new(None);
    cursor.push(b"id: 1\ndata: a\n\nid: 2\ndata: hal").unwrap();
    assert_eq!(cursor.partial_len(), b"id: 2\ndata: hal".len());
    cursor.drop_partial();
    let batch = cursor.push(b"id: 2\ndata: whole\n\n").unwrap().unwrap();
    assert_eq!(batch.bytes, b"id: 2\ndata: whole\n\n");
}

#[test]
fn events_without_end_are_rejected() {
    let mut cursor = StreamCursor::new(None);
    let chunk = vec![b'x'; 100 * 1024];
    assert!(cursor.push(&chunk).is_ok());
    assert!(cursor.push(&chunk).is_ok());
    assert!(cursor.push(&chunk).is_err());
}
