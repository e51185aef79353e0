//! Round trips of ids through JSON and text.

use model::{AttemptId, RequestId};

fn check_round_trip(id: u128) {
    // JSON values hold numbers of at most 64 bits, so a 128-bit id serialized as a number would fail here.
    let value = serde_json::to_value(AttemptId(id)).expect("an id serializes to a JSON value");
    let parsed: AttemptId =
        serde_json::from_value(value).expect("an id deserializes from a JSON value");
    assert_eq!(parsed, AttemptId(id));
    let text = RequestId(id).to_string();
    assert_eq!(text.parse(), Ok(RequestId(id)));
}

#[test]
fn ids_round_trip_through_json_and_text() {
    for id in [0, 1, u128::from(u64::MAX) + 1, u128::MAX] {
        check_round_trip(id);
    }
}
