//! Checked names of hosts, availability zones, regions, models, services, organisations and version labels.

use std::{fmt, str};

use serde::{Deserialize, Serialize};

use crate::name_error::NameError;

/// Longest name in bytes, so that rows and messages stay small.
const MAX_NAME_BYTES: usize = 64;

macro_rules! checked_name {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Checks and wraps `text`.
            ///
            /// # Errors
            ///
            /// Returns a [`NameError`] unless the text is 1 to 64 letters, digits, `.`, `_` or `-`, and starts
            /// with a letter or digit.
            pub fn new(text: impl Into<String>) -> Result<Self, NameError> {
                let text = text.into();
                check(&text, $what)?;
                Ok(Self(text))
            }

            /// Returns the name as text.
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
    /// Names one host, whether an entry host or a target host.
    HostName,
    "host"
);
checked_name!(
    /// Names an availability zone.
    ZoneName,
    "zone"
);
checked_name!(
    /// Names a region, which holds one or more availability zones.
    RegionName,
    "region"
);
checked_name!(
    /// Names a model that engines serve.
    ModelName,
    "model"
);
checked_name!(
    /// Names a plain service that stands beside the engines.
    ServiceName,
    "service"
);
checked_name!(
    /// Names an organisation whose callers share one limit.
    OrganisationName,
    "organisation"
);
checked_name!(
    /// Names a version of a model for people; the digest decides what it is.
    VersionLabel,
    "version"
);

fn check(text: &str, what: &'static str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty { what });
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong {
            what,
            max_bytes: MAX_NAME_BYTES,
        });
    }
    if !text.starts_with(|it: char| it.is_ascii_alphanumeric()) {
        return Err(NameError::BadStart { what });
    }
    let allowed = |it: char| it.is_ascii_alphanumeric() || matches!(it, '.' | '_' | '-');
    match text.chars().find(|&it| !allowed(it)) {
        Some(character) => Err(NameError::BadCharacter { what, character }),
        None => Ok(()),
    }
}
