//! Validated names of hosts, availability zones, regions, models, services, organisations and versions.

use std::{fmt, str};

use serde::{Deserialize, Serialize};

use crate::name_error::NameError;

/// Maximum length of a name in bytes. Limits the size of rows and messages that contain names.
const MAX_NAME_BYTES: usize = 64;

macro_rules! checked_name {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Creates a name from `text`.
            ///
            /// # Errors
            ///
            /// Returns a [`NameError`] unless `text` consists of 1 to 64 ASCII letters, digits, `.`, `_` or `-` and
            /// starts with a letter or digit.
            pub fn new(text: impl Into<String>) -> Result<Self, NameError> {
                let text = text.into();
                validate(&text, $kind)?;
                Ok(Self(text))
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl str::FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0
            }
        }
    };
}

checked_name!(
    /// The name of a host, either an entry host or a target host.
    HostName,
    "host"
);
checked_name!(
    /// The name of an availability zone.
    ZoneName,
    "zone"
);
checked_name!(
    /// The name of a region, which contains one or more availability zones.
    RegionName,
    "region"
);
checked_name!(
    /// The name of a model that engines serve.
    ModelName,
    "model"
);
checked_name!(
    /// The name of a plain service, a target that is not a model engine.
    ServiceName,
    "service"
);
checked_name!(
    /// The name of an organisation, whose callers share one limit.
    OrganisationName,
    "organisation"
);
checked_name!(
    /// The human-readable label of a model version. The version itself is identified by its digest.
    VersionLabel,
    "version"
);

fn validate(text: &str, kind: &'static str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty { kind });
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong {
            kind,
            max_bytes: MAX_NAME_BYTES,
        });
    }
    if !text.starts_with(|it: char| it.is_ascii_alphanumeric()) {
        return Err(NameError::BadStart { kind });
    }
    let allowed = |it: char| it.is_ascii_alphanumeric() || matches!(it, '.' | '_' | '-');
    match text.chars().find(|&it| !allowed(it)) {
        Some(character) => Err(NameError::BadCharacter { kind, character }),
        None => Ok(()),
    }
}
