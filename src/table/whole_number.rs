//! Bounds that may come as fractions and count whole things.

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Deserializer};
use serde_with::schemars_1::JsonSchemaAs;
use serde_with::{DeserializeAs, SerializeAs};
use std::borrow::Cow;

/// Reads a number that is not negative as a whole one, rounded down: a bound that was worked out, say as a share of a
/// larger fleet's, comes as a fraction, and rounding up would exceed it.
#[derive(Clone, Copy, Debug)]
pub struct WholeNumber;

impl<'de> DeserializeAs<'de, u64> for WholeNumber {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        // A cast saturates: a bound beyond the largest number binds nothing.
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
