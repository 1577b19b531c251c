//! Integer bounds that may be written as fractions.

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Deserializer};
use serde_with::schemars_1::JsonSchemaAs;
use serde_with::{DeserializeAs, SerializeAs};
use std::borrow::Cow;

/// Deserialises a non-negative number as an integer, rounded down. A computed bound, such as a
/// share of a larger fleet's bound, may be a fraction, and rounding up would exceed it.
#[derive(Clone, Copy, Debug)]
pub struct WholeNumber;

impl<'de> DeserializeAs<'de, u64> for WholeNumber {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        // The cast saturates, which is harmless: a bound of `u64::MAX` is never reached.
        f64::deserialize(deserializer).map(|value| value as u64)
    }
}

impl SerializeAs<u64> for WholeNumber {
    fn serialize_as<S: serde::Serializer>(value: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(*value)
    }
}

impl JsonSchemaAs<u64> for WholeNumber {
    fn schema_name() -> Cow<'static, str> {
        f64::schema_name()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({ "type": "number", "minimum": 0 })
    }

    fn inline_schema() -> bool {
        true
    }
}
