//! Ids survive both forms in which they travel.

use model::{AttemptId, RequestId};

fn check(id: u128) {
    // JSON values hold numbers of 64 bits at most, so that a row with a numeric id could not be written.
    let value = serde_json::to_value(AttemptId(id)).expect("an id fits into a JSON value");
    let read: AttemptId = serde_json::from_value(value).expect("an id is read back");
    assert_eq!(read, AttemptId(id));
    let text = RequestId(id).to_string();
    assert_eq!(text.parse(), Ok(RequestId(id)));
}

#[test]
fn ids_survive_json_and_text() {
    for id in [0, 1, u128::from(u64::MAX) + 1, u128::MAX] {
        check(id);
    }
}
