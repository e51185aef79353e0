//! Values of the settings.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::Path;
use std::{fs, io, str, time};

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use model::NameError;

use crate::secret_text::SecretText;
use crate::setting_problem::SettingProblem;
use crate::walker::file_context::FileContext;
use crate::walker::section::Section;

/// A value with its path; each reader returns nothing after it has reported an error.
pub(crate) struct Field<'a> {
    context: &'a FileContext<'a>,
    value: &'a Value<'a>,
    path: String,
}

impl<'a> Field<'a> {
    /// Creates a field at `path`.
    pub(crate) fn new(context: &'a FileContext<'a>, value: &'a Value<'a>, path: String) -> Self {
        Self {
            context,
            value,
            path,
        }
    }

    /// Creates the field that stands for the whole text.
    pub(crate) fn root(context: &'a FileContext<'a>, value: &'a Value<'a>) -> Self {
        Self::new(context, value, String::new())
    }

    /// Returns the byte offset at which `value` starts.
    pub(crate) fn value_start(value: &Value<'_>) -> usize {
        value.range().start
    }

    /// Reports a problem at this field.
    pub(crate) fn report(&self, problem: SettingProblem) {
        self.context
            .report(Self::value_start(self.value), &self.path, problem);
    }

    /// Reads an object.
    pub(crate) fn section(&self) -> Option<Section<'a>> {
        match self.value {
            Value::Object(object) => {
                Some(Section::new(self.context, Some(object), self.path.clone()))
            }
            _ => self.wrong_type("an object"),
        }
    }

    /// Reads a list.
    pub(crate) fn items(&self) -> Option<Vec<Field<'a>>> {
        let Value::Array(array) = self.value else {
            return self.wrong_type("a list");
        };
        let element =
            |(idx, value)| Field::new(self.context, value, format!("{}[{idx}]", self.path));
        Some(array.elements.iter().enumerate().map(element).collect())
    }

    /// Reads a list of addresses of other processes, each at most once.
    pub(crate) fn peer_addresses(&self) -> Option<Vec<SocketAddr>> {
        let items = self.items()?;
        let mut seen: BTreeMap<SocketAddr, String> = BTreeMap::new();
        for item in &items {
            let Some(address) = item.peer_address() else {
                continue;
            };
            item.check_new(&mut seen, address, "address");
        }
        let mut addresses: Vec<SocketAddr> = seen.into_keys().collect();
        addresses.sort_unstable();
        Some(addresses)
    }

    /// Reports a value that an earlier field had, too.
    pub(crate) fn check_new<T: Ord>(
        &self,
        seen: &mut BTreeMap<T, String>,
        value: T,
        what: &'static str,
    ) {
        if let Some(other) = seen.get(&value) {
            self.report(SettingProblem::SameAs {
                what,
                other: other.clone(),
            });
            return;
        }
        seen.insert(value, self.path.clone());
    }

    /// Reads a text that is not empty.
    pub(crate) fn text(&self) -> Option<&'a str> {
        let Value::StringLit(literal) = self.value else {
            return self.wrong_type("a string");
        };
        if literal.value.is_empty() {
            return self.fail(SettingProblem::EmptyValue);
        }
        Some(&literal.value)
    }

    /// Reads one of `choices` and returns its index.
    pub(crate) fn choice(&self, choices: &'static [&'static str]) -> Option<usize> {
        let text = self.text()?;
        let found = choices.iter().position(|it| *it == text);
        if found.is_none() {
            self.report(SettingProblem::UnknownWord {
                found: text.to_owned(),
                choices,
            });
        }
        found
    }

    /// Reads a checked name.
    pub(crate) fn name<T: str::FromStr<Err = NameError>>(&self) -> Option<T> {
        match self.text()?.parse() {
            Ok(name) => Some(name),
            Err(err) => self.fail(SettingProblem::BadName(err)),
        }
    }

    /// Reads `true` or `false`.
    pub(crate) fn boolean(&self) -> Option<bool> {
        match self.value {
            Value::BooleanLit(literal) => Some(literal.value),
            _ => self.wrong_type("true or false"),
        }
    }

    /// Reads a whole number within `range`.
    pub(crate) fn count(&self, range: RangeInclusive<u64>) -> Option<u64> {
        let literal = self.number_text("a whole number")?;
        match literal.parse::<u64>() {
            Ok(number) if range.contains(&number) => Some(number),
            Err(_) if literal.contains(['.', 'e', 'E']) => self.fail(SettingProblem::WrongType {
                expected: "a whole number",
                found: "a number with a fraction or exponent",
            }),
            _ => self.out_of_range(literal, range.start(), range.end()),
        }
    }

    /// Reads a number within `range`.
    pub(crate) fn real(&self, range: RangeInclusive<f64>) -> Option<f64> {
        let literal = self.number_text("a number")?;
        match literal.parse::<f64>() {
            Ok(number) if range.contains(&number) => Some(number),
            _ => self.out_of_range(literal, range.start(), range.end()),
        }
    }

    /// Reads a duration in milliseconds within `range`.
    pub(crate) fn millis(&self, range: RangeInclusive<u64>) -> Option<time::Duration> {
        self.count(range).map(time::Duration::from_millis)
    }

    /// Reads an IP address of one host.
    pub(crate) fn ip(&self) -> Option<IpAddr> {
        let text = self.text()?;
        match text.parse::<IpAddr>() {
            Ok(ip) if ip.is_unspecified() => self.fail(SettingProblem::Unspecified {
                advice: "name the address of the host",
            }),
            Ok(ip) => Some(ip),
            Err(_) => self.fail(SettingProblem::BadIp {
                found: text.to_owned(),
            }),
        }
    }

    /// Reads an address to listen on; it may be unspecified.
    pub(crate) fn listen_address(&self) -> Option<SocketAddr> {
        let text = self.text()?;
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() == 0 => self.fail(SettingProblem::PortZero),
            Ok(address) => Some(address),
            Err(_) => self.fail(SettingProblem::BadAddress {
                found: text.to_owned(),
            }),
        }
    }

    /// Reads an address that other processes can connect to.
    pub(crate) fn peer_address(&self) -> Option<SocketAddr> {
        let address = self.listen_address()?;
        if address.ip().is_unspecified() {
            return self.fail(SettingProblem::Unspecified {
                advice: "name the address of the host",
            });
        }
        Some(address)
    }

    /// Reads the secret in the file that the field names; white space around it is left out.
    pub(crate) fn secret_file(&self, min_bytes: usize) -> Option<SecretText> {
        let file = self.context.resolve(self.text()?);
        let text = match read_start(&file) {
            Ok(text) => text,
            Err(err) => {
                return self.fail(SettingProblem::UnreadableFile {
                    file,
                    reason: err.to_string(),
                });
            }
        };
        let secret = text.trim();
        if secret.is_empty() {
            return self.fail(SettingProblem::EmptySecret { file });
        }
        if secret.len() < min_bytes {
            return self.fail(SettingProblem::ShortSecret { file, min_bytes });
        }
        if !secret.bytes().all(|it| it.is_ascii_graphic()) {
            return self.fail(SettingProblem::UnprintableSecret { file });
        }
        Some(SecretText::new(secret))
    }

    fn number_text(&self, expected: &'static str) -> Option<&'a str> {
        match self.value {
            Value::NumberLit(literal) => Some(literal.value),
            _ => self.wrong_type(expected),
        }
    }

    fn out_of_range<T>(&self, found: &str, min: impl ToString, max: impl ToString) -> Option<T> {
        self.fail(SettingProblem::OutOfRange {
            found: found.to_owned(),
            min: min.to_string(),
            max: max.to_string(),
        })
    }

    fn wrong_type<T>(&self, expected: &'static str) -> Option<T> {
        let found = match self.value {
            Value::StringLit(_) => "a string",
            Value::NumberLit(_) => "a number",
            Value::BooleanLit(_) => "true or false",
            Value::Object(_) => "an object",
            Value::Array(_) => "a list",
            Value::NullKeyword(_) => "null",
        };
        self.fail(SettingProblem::WrongType { expected, found })
    }

    fn fail<T>(&self, problem: SettingProblem) -> Option<T> {
        self.report(problem);
        None
    }
}

/// Reads a secret's file, but not more of it than a secret can be.
fn read_start(file: &Path) -> io::Result<String> {
    let mut text = String::new();
    let opened = fs::File::open(file)?;
    io::Read::read_to_string(&mut io::Read::take(opened, MAX_SECRET_BYTES), &mut text)?;
    Ok(text)
}

/// Longest content of a secret's file that is looked at, in bytes.
const MAX_SECRET_BYTES: u64 = 4096;
