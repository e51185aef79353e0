//! Configurations that replace the one in force.

use fleet::ConfigHistory;

/// Guards against CONFIG: after the store returned from an older copy, a version with other content was not taken, and one
/// that had been replaced could come back.
#[test]
fn a_document_never_comes_back() {
    let mut history = ConfigHistory::default();
    for (version, document, expected) in [
        (5, "a", true),
        (5, "a", false),
        (4, "older", false),
        (5, "b", true),
        (5, "a", false),
        (5, "b", false),
        (7, "a", true),
        (5, "c", false),
        (7, "b", true),
        (7, "a", false),
    ] {
        let accepted = history.accepts(version, document.as_bytes());
        assert_eq!(accepted, expected, "{version} {document}");
    }
}
