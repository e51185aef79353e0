//! Compressed bytes, in the form in which processes send them to each other.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};

/// Compressed bytes and their original length.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedBytes {
    length: u32,
    deflated: Vec<u8>,
}

impl PackedBytes {
    /// Compresses `bytes`; returns `None` if they are too long.
    pub fn pack(bytes: &[u8]) -> Option<Self> {
        if bytes.len() > MAX_LENGTH {
            return None;
        }
        let length = u32::try_from(bytes.len()).ok()?;
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(bytes).ok()?;
        let deflated = encoder.finish().ok()?;
        Some(Self { length, deflated })
    }

    /// Returns the original bytes, or `None` if they are damaged or longer than [`MAX_LENGTH`].
    pub fn unpack(&self) -> Option<Vec<u8>> {
        let length = usize::try_from(self.length).ok()?;
        if length > MAX_LENGTH {
            return None;
        }
        let mut bytes = Vec::new();
        // One byte more than stated shows that the length is wrong.
        let limit = u64::from(self.length) + 1;
        let mut decoder = DeflateDecoder::new(self.deflated.as_slice()).take(limit);
        decoder.read_to_end(&mut bytes).ok()?;
        (bytes.len() == length).then_some(bytes)
    }
}

/// Maximum length of the original bytes; several times that of the largest row. A few compressed bytes could stand for many more.
const MAX_LENGTH: usize = 16 * 1024 * 1024;
