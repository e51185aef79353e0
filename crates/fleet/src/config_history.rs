//! Which documents of the configuration have been in force, so that none comes back.

use std::collections::VecDeque;

use sha2::{Digest, Sha256};

/// The version in force and the documents that had it.
///
/// Versions rise, but the operator may give out a version again, with other content, after the store has lost it. A copy of
/// the store may still contain the content before; see
/// [decision 48](../../../docs/decisions/0048-lives-of-the-store.md).
#[derive(Clone, Debug, Default)]
pub struct ConfigHistory {
    version: Option<u64>,
    /// Digests of the documents of this version; the last one is in force.
    documents: VecDeque<[u8; 32]>,
}

impl ConfigHistory {
    /// Returns whether `document` with `version` replaces the one in force, and records it if so.
    pub fn accepts(&mut self, version: u64, document: &[u8]) -> bool {
        if self.version.is_some_and(|it| it > version) {
            return false;
        }
        let digest: [u8; 32] = Sha256::digest(document).into();
        if self.version != Some(version) {
            self.version = Some(version);
            self.documents.clear();
        } else if self.documents.contains(&digest) {
            return false;
        }
        if self.documents.len() == MAX_DOCUMENTS {
            self.documents.pop_front();
        }
        self.documents.push_back(digest);
        true
    }
}

/// Number of documents of one version that are remembered; each but the first needs a return of the store.
const MAX_DOCUMENTS: usize = 16;
