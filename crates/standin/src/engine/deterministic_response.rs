//! The deterministic text of a response.

use model::VersionDigest;

/// The response of one version to one prompt, token by token.
///
/// It is a pure function of version and prompt, so that a client can verify that a response is complete and comes from
/// a single version.
#[derive(Clone, Debug)]
pub struct DeterministicResponse {
    seed: [u8; 32],
}

impl DeterministicResponse {
    /// Creates the response of `version` to `prompt`.
    pub fn new(version: VersionDigest, prompt: &str) -> Self {
        let seed = *blake3::keyed_hash(version.as_bytes(), prompt.as_bytes()).as_bytes();
        Self { seed }
    }

    /// Returns the token at `index`: a space and eight hexadecimal digits.
    pub fn token(&self, index: usize) -> String {
        let hash = blake3::keyed_hash(&self.seed, &(index as u64).to_le_bytes());
        let hex = hash.to_hex();
        format!(" {}", &hex[..TOKEN_HEX_DIGITS])
    }
}

/// Returns the token at `index` in the response of `version` to `prompt`.
pub fn expected_token(version: VersionDigest, prompt: &str, index: usize) -> String {
    DeterministicResponse::new(version, prompt).token(index)
}

/// Number of hexadecimal digits of a token.
const TOKEN_HEX_DIGITS: usize = 8;
