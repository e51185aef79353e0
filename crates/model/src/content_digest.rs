//! BLAKE3 digests of chunks, files and model versions.

use std::{fmt, str};

use serde::de::{Error as _, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Size of a digest in bytes.
const DIGEST_BYTES: usize = 32;

macro_rules! digest_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name([u8; DIGEST_BYTES]);

        impl $name {
            /// Creates a digest from its bytes.
            pub const fn from_bytes(bytes: [u8; DIGEST_BYTES]) -> Self {
                Self(bytes)
            }

            /// Returns the bytes of the digest.
            pub const fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
                &self.0
            }

            /// Returns the first eight bytes in hexadecimal, which are enough to distinguish digests in a table.
            pub fn short(&self) -> String {
                self.to_string()[..16].to_string()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.iter().try_for_each(|it| write!(f, "{it:02x}"))
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({self})", stringify!($name))
            }
        }

        impl str::FromStr for $name {
            type Err = ParseDigestError;

            fn from_str(text: &str) -> Result<Self, ParseDigestError> {
                parse_hex(text).map(Self)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serialize_digest(&self.0, serializer)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                deserialize_digest(deserializer).map(Self)
            }
        }
    };
}

digest_type!(
    /// The BLAKE3 digest of the contents of a chunk or a complete file.
    ContentDigest
);
digest_type!(
    /// Identifies a version of weights by a digest of its manifest; see [`crate::WeightManifest::version`].
    VersionDigest
);

impl ContentDigest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }
}

/// The error for a digest that is not 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseDigestError;

impl fmt::Display for ParseDigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a digest must be 64 hexadecimal digits")
    }
}

impl std::error::Error for ParseDigestError {}

fn parse_hex(text: &str) -> Result<[u8; DIGEST_BYTES], ParseDigestError> {
    if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
        return Err(ParseDigestError);
    }
    let mut bytes = [0; DIGEST_BYTES];
    for (idx, byte) in bytes.iter_mut().enumerate() {
        *byte =
            u8::from_str_radix(&text[2 * idx..2 * idx + 2], 16).map_err(|_| ParseDigestError)?;
    }
    Ok(bytes)
}

/// Serializes a digest as hexadecimal text in human-readable formats and as raw bytes in binary formats, since digests
/// make up most of the size of some messages between processes.
fn serialize_digest<S: Serializer>(
    bytes: &[u8; DIGEST_BYTES],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    if serializer.is_human_readable() {
        return serializer.collect_str(&VersionDigest::from_bytes(*bytes));
    }
    serializer.serialize_bytes(bytes)
}

fn deserialize_digest<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<[u8; DIGEST_BYTES], D::Error> {
    if deserializer.is_human_readable() {
        return deserializer.deserialize_str(DigestVisitor);
    }
    deserializer.deserialize_bytes(DigestVisitor)
}

struct DigestVisitor;

impl<'de> Visitor<'de> for DigestVisitor {
    type Value = [u8; DIGEST_BYTES];

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a digest of 32 bytes")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Self::Value, E> {
        parse_hex(text).map_err(E::custom)
    }

    fn visit_bytes<E: serde::de::Error>(self, bytes: &[u8]) -> Result<Self::Value, E> {
        bytes
            .try_into()
            .map_err(|_| E::invalid_length(bytes.len(), &self))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let mut bytes = [0; DIGEST_BYTES];
        for (idx, byte) in bytes.iter_mut().enumerate() {
            *byte = seq
                .next_element()?
                .ok_or_else(|| A::Error::invalid_length(idx, &"32 bytes"))?;
        }
        Ok(bytes)
    }
}
