//! Numbers and bytes in the JSON encoding of the gateway.

use std::fmt;

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{self, Visitor},
};

/// A 64-bit number; serialized as a string.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::etcd) struct Number(pub(in crate::etcd) i64);

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

/// Reads a number from a JSON string or a JSON number.
struct NumberVisitor;

impl Visitor<'_> for NumberVisitor {
    type Value = Number;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a 64-bit number or a string that holds one")
    }

    fn visit_i64<E: de::Error>(self, value: i64) -> Result<Number, E> {
        Ok(Number(value))
    }

    fn visit_u64<E: de::Error>(self, value: u64) -> Result<Number, E> {
        i64::try_from(value).map(Number).map_err(E::custom)
    }

    fn visit_str<E: de::Error>(self, value: &str) -> Result<Number, E> {
        value.parse().map(Number).map_err(E::custom)
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NumberVisitor)
    }
}

/// Bytes; serialized in base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(in crate::etcd) struct Base64(pub(in crate::etcd) Vec<u8>);

impl From<&str> for Base64 {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(de::Error::custom)
    }
}
