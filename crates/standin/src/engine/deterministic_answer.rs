//! The text that an engine answers.

use model::VersionDigest;

/// The answer of one version to one prompt, token by token.
///
/// It is a function of both, so that a caller can tell a whole answer of one version from any other text.
#[derive(Clone, Debug)]
pub struct DeterministicAnswer {
    seed: [u8; 32],
}

impl DeterministicAnswer {
    /// Prepares the answer of `version` to `prompt`.
    pub fn new(version: VersionDigest, prompt: &str) -> Self {
        let seed = *blake3::keyed_hash(version.as_bytes(), prompt.as_bytes()).as_bytes();
        Self { seed }
    }

    /// Returns the token with `index`, a space and eight hexadecimal digits.
    pub fn token(&self, index: usize) -> String {
        let hash = blake3::keyed_hash(&self.seed, &(index as u64).to_le_bytes());
        let hex = hash.to_hex();
        format!(" {}", &hex[..TOKEN_DIGITS])
    }
}

/// Returns the token with `index` of the answer of `version` to `prompt`.
pub fn expected_token(version: VersionDigest, prompt: &str, index: usize) -> String {
    DeterministicAnswer::new(version, prompt).token(index)
}

/// Hexadecimal digits of a token.
const TOKEN_DIGITS: usize = 8;
