//! Names used in the table: short strings that are cheap to clone.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
        #[serde(transparent)]
        pub struct $name(
            #[schemars(regex(pattern = "^[a-z0-9][a-z0-9._-]{0,62}$"))]
            #[serde(with = "arc_text")]
            #[schemars(with = "String")]
            Arc<str>,
        );

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// A tier's name.
    TierName
}
name_type! {
    /// An organisation's name.
    OrganisationName
}
name_type! {
    /// A service's name; for a model service, also the name of the model.
    ServiceName
}
name_type! {
    /// An upstream's name, unique in its service.
    UpstreamName
}
name_type! {
    /// A data centre's name.
    DataCentreName
}
name_type! {
    /// The name of a region, which holds one or more data centres.
    RegionName
}
name_type! {
    /// A daemon's name, unique in the fleet.
    DaemonName
}

name_type! {
    /// The version of the software that an upstream runs, unlike the numeric version of a table.
    SoftwareVersion
}

mod arc_text {
    use serde::{Deserialize, Deserializer, Serializer};
    use std::sync::Arc;

    pub fn serialize<S: Serializer>(text: &Arc<str>, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(text)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Arc<str>, D::Error> {
        String::deserialize(deserializer).map(Arc::from)
    }
}
