//! The service and the version that began a stream.

use crate::fleet_state::ServiceHash;
use crate::policy::VersionHash;
use crate::table::{ServiceName, SoftwareVersion};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// The service and the version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    pub service: ServiceHash,
    /// `None` if the version of the upstream was unknown; such a stream goes on at no version.
    pub version: Option<VersionHash>,
}

/// Error: the text is not that of a [`StreamOrigin`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidOrigin;

impl StreamOrigin {
    pub fn new(service: &ServiceName, version: Option<&SoftwareVersion>) -> Self {
        StreamOrigin { service: ServiceHash::of(service), version: version.map(VersionHash::of) }
    }
}

impl fmt::Display for StreamOrigin {
    /// Writes `SERVICE.VERSION` in hexadecimal, with `-` for an unknown version.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.version {
            Some(version) => write!(formatter, "{:x}.{:x}", self.service, version),
            None => write!(formatter, "{:x}.-", self.service),
        }
    }
}

impl FromStr for StreamOrigin {
    type Err = InvalidOrigin;

    fn from_str(text: &str) -> Result<Self, InvalidOrigin> {
        let (service, version) = text.split_once('.').ok_or(InvalidOrigin)?;
        let number = |text: &str| u32::from_str_radix(text, 16).map_err(|_| InvalidOrigin);
        let version = match version {
            "-" => None,
            version => Some(VersionHash::from(number(version)?)),
        };
        Ok(StreamOrigin { service: ServiceHash::from(number(service)?), version })
    }
}
