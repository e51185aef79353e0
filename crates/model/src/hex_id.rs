//! Serialization of 128-bit ids: hexadecimal text in human-readable formats, because JSON values hold numbers of at
//! most 64 bits, and integers in binary formats.

use std::fmt;

use serde::de::{Error, Visitor};
use serde::{Deserializer, Serializer};

pub(crate) fn serialize<S: Serializer>(id: &u128, serializer: S) -> Result<S::Ok, S::Error> {
    if serializer.is_human_readable() {
        return serializer.collect_str(&format_args!("{id:032x}"));
    }
    serializer.serialize_u128(*id)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u128, D::Error> {
    if deserializer.is_human_readable() {
        return deserializer.deserialize_str(HexVisitor);
    }
    deserializer.deserialize_u128(HexVisitor)
}

struct HexVisitor;

impl Visitor<'_> for HexVisitor {
    type Value = u128;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an id of up to 32 hexadecimal digits")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<u128, E> {
        u128::from_str_radix(text, 16).map_err(E::custom)
    }

    fn visit_u128<E: Error>(self, id: u128) -> Result<u128, E> {
        Ok(id)
    }
}
