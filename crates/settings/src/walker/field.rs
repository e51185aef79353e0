//! Reads and validates single values of a settings file.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::Path;
use std::{fs, io, str, time};

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use model::NameError;

use crate::secret_text::SecretText;
use crate::setting_error_kind::SettingErrorKind;
use crate::walker::file_context::FileContext;
use crate::walker::section::Section;

/// A value and its path; each read method reports its errors and then returns `None`.
pub(crate) struct Field<'a> {
    context: &'a FileContext<'a>,
    value: &'a Value<'a>,
    path: String,
}

impl<'a> Field<'a> {
    /// Creates a field for the value at `path`.
    pub(crate) fn new(context: &'a FileContext<'a>, value: &'a Value<'a>, path: String) -> Self {
        Self {
            context,
            value,
            path,
        }
    }

    /// Creates the field for the top-level value.
    pub(crate) fn root(context: &'a FileContext<'a>, value: &'a Value<'a>) -> Self {
        Self::new(context, value, String::new())
    }

    /// Returns the byte offset at which `value` starts.
    pub(crate) fn value_start(value: &Value<'_>) -> usize {
        value.range().start
    }

    /// Reports an error at this field.
    pub(crate) fn report(&self, kind: SettingErrorKind) {
        self.context
            .report(Self::value_start(self.value), &self.path, kind);
    }

    /// Reads an object.
    pub(crate) fn section(&self) -> Option<Section<'a>> {
        match self.value {
            Value::Object(object) => {
                Some(Section::new(self.context, Some(object), self.path.clone()))
            }
            _ => self.fail_wrong_type("an object"),
        }
    }

    /// Reads a list.
    pub(crate) fn elements(&self) -> Option<Vec<Field<'a>>> {
        let Value::Array(array) = self.value else {
            return self.fail_wrong_type("a list");
        };
        let to_field =
            |(idx, value)| Field::new(self.context, value, format!("{}[{idx}]", self.path));
        Some(array.elements.iter().enumerate().map(to_field).collect())
    }

    /// Reads a list of distinct addresses of other processes and sorts it.
    pub(crate) fn peer_addresses(&self) -> Option<Vec<SocketAddr>> {
        let elements = self.elements()?;
        let mut first_paths: BTreeMap<SocketAddr, String> = BTreeMap::new();
        for element in &elements {
            let Some(address) = element.peer_address() else {
                continue;
            };
            element.check_unique(&mut first_paths, address, "address");
        }
        let mut addresses: Vec<SocketAddr> = first_paths.into_keys().collect();
        addresses.sort_unstable();
        Some(addresses)
    }

    /// Reports an error if an earlier field has the same value; `first_paths` maps each value to its first field.
    pub(crate) fn check_unique<T: Ord>(
        &self,
        first_paths: &mut BTreeMap<T, String>,
        value: T,
        description: &'static str,
    ) {
        if let Some(other) = first_paths.get(&value) {
            self.report(SettingErrorKind::DuplicateValue {
                description,
                other: other.clone(),
            });
            return;
        }
        first_paths.insert(value, self.path.clone());
    }

    /// Reads a non-empty string.
    pub(crate) fn string(&self) -> Option<&'a str> {
        let Value::StringLit(literal) = self.value else {
            return self.fail_wrong_type("a string");
        };
        if literal.value.is_empty() {
            return self.fail(SettingErrorKind::EmptyValue);
        }
        Some(&literal.value)
    }

    /// Reads one of `choices` and returns its index.
    pub(crate) fn choice(&self, choices: &'static [&'static str]) -> Option<usize> {
        let text = self.string()?;
        let found = choices.iter().position(|it| *it == text);
        if found.is_none() {
            self.report(SettingErrorKind::UnknownChoice {
                found: text.to_owned(),
                choices,
            });
        }
        found
    }

    /// Reads a string and parses it as a name of type `T`.
    pub(crate) fn name<T: str::FromStr<Err = NameError>>(&self) -> Option<T> {
        match self.string()?.parse() {
            Ok(name) => Some(name),
            Err(err) => self.fail(SettingErrorKind::InvalidName(err)),
        }
    }

    /// Reads a boolean.
    pub(crate) fn boolean(&self) -> Option<bool> {
        match self.value {
            Value::BooleanLit(literal) => Some(literal.value),
            _ => self.fail_wrong_type("true or false"),
        }
    }

    /// Reads an integer within `range`.
    pub(crate) fn integer(&self, range: RangeInclusive<u64>) -> Option<u64> {
        let literal = self.number_text("a whole number")?;
        match literal.parse::<u64>() {
            Ok(number) if range.contains(&number) => Some(number),
            Err(_) if literal.contains(['.', 'e', 'E']) => self.fail(SettingErrorKind::WrongType {
                expected: "a whole number",
                found: "a number with a fraction or exponent",
            }),
            _ => self.fail_out_of_range(literal, range.start(), range.end()),
        }
    }

    /// Reads a floating-point number within `range`.
    pub(crate) fn float(&self, range: RangeInclusive<f64>) -> Option<f64> {
        let literal = self.number_text("a number")?;
        match literal.parse::<f64>() {
            Ok(number) if range.contains(&number) => Some(number),
            _ => self.fail_out_of_range(literal, range.start(), range.end()),
        }
    }

    /// Reads a duration in milliseconds within `range`.
    pub(crate) fn millis(&self, range: RangeInclusive<u64>) -> Option<time::Duration> {
        self.integer(range).map(time::Duration::from_millis)
    }

    /// Reads an IP address, which must not be unspecified.
    pub(crate) fn ip(&self) -> Option<IpAddr> {
        let text = self.string()?;
        match text.parse::<IpAddr>() {
            Ok(ip) if ip.is_unspecified() => self.fail(SettingErrorKind::UnspecifiedAddress {
                advice: "name the address of the host",
            }),
            Ok(ip) => Some(ip),
            Err(_) => self.fail(SettingErrorKind::InvalidIp {
                found: text.to_owned(),
            }),
        }
    }

    /// Reads a listen address; its IP may be unspecified, its port must not be 0.
    pub(crate) fn listen_address(&self) -> Option<SocketAddr> {
        let text = self.string()?;
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() == 0 => self.fail(SettingErrorKind::PortZero),
            Ok(address) => Some(address),
            Err(_) => self.fail(SettingErrorKind::InvalidAddress {
                found: text.to_owned(),
            }),
        }
    }

    /// Reads an address that other processes can connect to; its IP must not be unspecified.
    pub(crate) fn peer_address(&self) -> Option<SocketAddr> {
        let address = self.listen_address()?;
        if address.ip().is_unspecified() {
            return self.fail(SettingErrorKind::UnspecifiedAddress {
                advice: "name the address of the host",
            });
        }
        Some(address)
    }

    /// Reads a secret from the file at the path in this field and trims surrounding white space.
    pub(crate) fn secret_file(&self, min_bytes: usize) -> Option<SecretText> {
        let file = self.context.resolve(self.string()?);
        let text = match read_limited(&file) {
            Ok(text) => text,
            Err(err) => {
                return self.fail(SettingErrorKind::UnreadableFile {
                    file,
                    reason: err.to_string(),
                });
            }
        };
        let secret = text.trim();
        if secret.is_empty() {
            return self.fail(SettingErrorKind::EmptySecret { file });
        }
        if secret.len() < min_bytes {
            return self.fail(SettingErrorKind::ShortSecret { file, min_bytes });
        }
        if !secret.bytes().all(|it| it.is_ascii_graphic()) {
            return self.fail(SettingErrorKind::UnprintableSecret { file });
        }
        Some(SecretText::new(secret))
    }

    fn number_text(&self, expected: &'static str) -> Option<&'a str> {
        match self.value {
            Value::NumberLit(literal) => Some(literal.value),
            _ => self.fail_wrong_type(expected),
        }
    }

    fn fail_out_of_range<T>(
        &self,
        found: &str,
        min: impl ToString,
        max: impl ToString,
    ) -> Option<T> {
        self.fail(SettingErrorKind::OutOfRange {
            found: found.to_owned(),
            min: min.to_string(),
            max: max.to_string(),
        })
    }

    fn fail_wrong_type<T>(&self, expected: &'static str) -> Option<T> {
        let found = match self.value {
            Value::StringLit(_) => "a string",
            Value::NumberLit(_) => "a number",
            Value::BooleanLit(_) => "true or false",
            Value::Object(_) => "an object",
            Value::Array(_) => "a list",
            Value::NullKeyword(_) => "null",
        };
        self.fail(SettingErrorKind::WrongType { expected, found })
    }

    fn fail<T>(&self, kind: SettingErrorKind) -> Option<T> {
        self.report(kind);
        None
    }
}

/// Reads at most the first [`MAX_SECRET_FILE_BYTES`] bytes of a secret file.
fn read_limited(file: &Path) -> io::Result<String> {
    let mut text = String::new();
    let opened = fs::File::open(file)?;
    io::Read::read_to_string(
        &mut io::Read::take(opened, MAX_SECRET_FILE_BYTES),
        &mut text,
    )?;
    Ok(text)
}

/// Number of bytes read from a secret file; the rest is ignored.
const MAX_SECRET_FILE_BYTES: u64 = 4096;
