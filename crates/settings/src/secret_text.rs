//! Secrets that must not reach logs or dumps.

use std::fmt;

/// A token or key; neither its `Debug` nor its `Display` form shows it.
#[derive(Clone)]
pub struct SecretText(String);

impl SecretText {
    /// Wraps `text`.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the secret itself, for a handshake or a request header and nothing else.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Tells whether `candidate` is the secret, in a time that does not depend on where they differ.
    pub fn matches(&self, candidate: &str) -> bool {
        // Comparing `blake3::Hash` values takes constant time.
        blake3::hash(self.0.as_bytes()) == blake3::hash(candidate.as_bytes())
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
