//! Secrets that must not appear in logs or state dumps.

use std::fmt;

/// A token or key that its `Debug` and `Display` forms redact.
#[derive(Clone)]
pub struct SecretText(String);

impl SecretText {
    /// Wraps `text`.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the secret in plain text; use it only for handshakes and request headers.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Returns whether `candidate` equals the secret, in time independent of the position of the first difference.
    pub fn matches(&self, candidate: &str) -> bool {
        // Comparing `blake3::Hash` values takes constant time.
        blake3::hash(self.0.as_bytes()) == blake3::hash(candidate.as_bytes())
    }
}

impl PartialEq for SecretText {
    fn eq(&self, other: &Self) -> bool {
        self.matches(&other.0)
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretText(***)")
    }
}

impl fmt::Display for SecretText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("***")
    }
}
