//! A value of a row as the difference from its previous value.
//!
//! A new version of a large configuration mostly changes one route of hundreds. Entries send each other the difference,
//! so that a version costs a link no more than what it changes; see
//! [decision 47](../../../docs/decisions/0047-feeds-that-cannot-collapse.md).

use std::collections::BTreeMap;
use std::ops::Range;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::packed_bytes::PackedBytes;

/// The difference between a value and the one before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowPatch {
    /// Encoded [`PatchStep`]s.
    steps: PackedBytes,
    /// Digest of the new value, which detects a difference from another value.
    digest: [u8; 16],
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum PatchStep {
    /// Bytes of the value before.
    Copy { start: u32, length: u32 },
    /// Bytes that the value before does not have.
    Insert(Vec<u8>),
}

impl RowPatch {
    /// Returns the difference between two values, or `None` if it is not much smaller than the new value.
    ///
    /// Both are compared by the sections that end with a closing brace, which are the entries of a list in JSON.
    pub fn between(old: &[u8], new: &[u8]) -> Option<Self> {
        let known: BTreeMap<&[u8], usize> = sections(old)
            .map(|it| (&old[it.clone()], it.start))
            .collect();
        let mut steps = Vec::new();
        let mut inserted = 0;
        for section in sections(new) {
            let bytes = &new[section];
            match (known.get(bytes), steps.last_mut()) {
                (Some(at), Some(PatchStep::Copy { start, length }))
                    if *at == (*start + *length) as usize =>
                {
                    *length += u32::try_from(bytes.len()).ok()?;
                }
                (Some(at), _) => steps.push(PatchStep::Copy {
                    start: u32::try_from(*at).ok()?,
                    length: u32::try_from(bytes.len()).ok()?,
                }),
                (None, last) => {
                    inserted += bytes.len();
                    if let Some(PatchStep::Insert(text)) = last {
                        text.extend_from_slice(bytes);
                    } else {
                        steps.push(PatchStep::Insert(bytes.to_vec()));
                    }
                }
            }
        }
        if (inserted + steps.len() * STEP_BYTES) * MIN_SAVING >= new.len() {
            return None;
        }
        let encoded = postcard::to_allocvec(&steps).ok()?;
        Some(Self {
            steps: PackedBytes::pack(&encoded)?,
            digest: digest(new),
        })
    }

    /// Returns the new value, or `None` if `old` is not the value that the difference was computed from.
    pub fn apply(&self, old: &[u8]) -> Option<Vec<u8>> {
        let steps: Vec<PatchStep> = postcard::from_bytes(&self.steps.unpack()?).ok()?;
        let mut new = Vec::new();
        for step in &steps {
            match step {
                PatchStep::Copy { start, length } => {
                    let start = usize::try_from(*start).ok()?;
                    let end = start.checked_add(usize::try_from(*length).ok()?)?;
                    new.extend_from_slice(old.get(start..end)?);
                }
                PatchStep::Insert(bytes) => new.extend_from_slice(bytes),
            }
        }
        (digest(&new) == self.digest).then_some(new)
    }
}

/// Returns the sections of `value`, each of which ends with a closing brace or with the value.
fn sections(value: &[u8]) -> impl Iterator<Item = Range<usize>> {
    let mut start = 0;
    std::iter::from_fn(move || {
        let rest = value.get(start..).filter(|it| !it.is_empty())?;
        let length = rest.iter().position(|it| *it == b'}');
        let section = start..start + length.map_or(rest.len(), |it| it + 1);
        start = section.end;
        Some(section)
    })
}

fn digest(value: &[u8]) -> [u8; 16] {
    let mut digest = [0; 16];
    digest.copy_from_slice(&Sha256::digest(value)[..16]);
    digest
}

/// Factor by which a difference must be smaller than the value.
const MIN_SAVING: usize = 2;

/// Encoded size of a step in bytes, at most.
const STEP_BYTES: usize = 10;
