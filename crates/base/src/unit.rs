//! `serde_with` adapters for units of values in files and messages.

use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use serde_with::DeserializeAs;
use serde_with::SerializeAs;

/// Serializes a [`Duration`] as whole milliseconds, the unit of all messages and settings files.
pub struct Millis;

impl SerializeAs<Duration> for Millis {
    fn serialize_as<S: Serializer>(source: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(source.as_millis() as u64)
    }
}

impl<'de> DeserializeAs<'de, Duration> for Millis {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        u64::deserialize(deserializer).map(Duration::from_millis)
    }
}
