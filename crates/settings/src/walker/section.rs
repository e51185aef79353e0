//! Reads JSON objects of a settings file.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time;

use jsonc_parser::ast::Object;

use crate::setting_error_kind::SettingErrorKind;
use crate::walker::field::Field;
use crate::walker::file_context::FileContext;

/// An object whose members are read by name; [`Section::finish`] reports the members that were never requested.
pub(crate) struct Section<'a> {
    context: &'a FileContext<'a>,
    /// `None` for an optional object that the file omits; all its fields take their defaults.
    object: Option<&'a Object<'a>>,
    path: String,
    /// Names requested so far.
    known_members: Vec<&'static str>,
    /// Number of errors in the file before this section was read.
    initial_error_count: usize,
}

impl<'a> Section<'a> {
    /// Creates a section that reads `object`.
    pub(crate) fn new(
        context: &'a FileContext<'a>,
        object: Option<&'a Object<'a>>,
        path: String,
    ) -> Self {
        Self {
            context,
            object,
            path,
            known_members: Vec::new(),
            initial_error_count: context.error_count(),
        }
    }

    /// Reads a required member; returns `None` if the member is absent or `read` has reported an error.
    pub(crate) fn required<T>(
        &mut self,
        name: &'static str,
        read: impl FnOnce(Field<'a>) -> Option<T>,
    ) -> Option<T> {
        match self.member(name) {
            Some(field) => read(field),
            None => {
                self.report_at(name, SettingErrorKind::MissingField);
                None
            }
        }
    }

    /// Reads an optional member.
    pub(crate) fn optional<T>(
        &mut self,
        name: &'static str,
        read: impl FnOnce(Field<'a>) -> Option<T>,
    ) -> Option<T> {
        self.member(name).and_then(read)
    }

    /// Reads an optional integer; returns `default` if it is absent or invalid.
    pub(crate) fn integer_or(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
        default: usize,
    ) -> usize {
        let count = self.optional(name, |it| it.integer(range));
        count.map_or(default, |it| usize::try_from(it).unwrap_or(usize::MAX))
    }

    /// Reads an optional duration in milliseconds; returns `default` if it is absent or invalid.
    pub(crate) fn millis_or(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
        default: time::Duration,
    ) -> time::Duration {
        self.optional(name, |it| it.millis(range))
            .unwrap_or(default)
    }

    /// Reads an optional object; if it is absent or invalid, returns a section without members.
    pub(crate) fn section_or_empty(&mut self, name: &'static str) -> Self {
        let section = self.optional(name, |it| it.section());
        section.unwrap_or_else(|| Self::new(self.context, None, self.member_path(name)))
    }

    /// Reports an error at the member `name`, or at the start of the object if the member is absent.
    pub(crate) fn report_at(&self, name: &str, kind: SettingErrorKind) {
        let offset = self.object.map_or(0, |object| {
            object
                .get(name)
                .map_or(object.range.start, |it| Field::value_start(&it.value))
        });
        self.context.report(offset, &self.member_path(name), kind);
    }

    /// Reports unknown and duplicate members.
    ///
    /// Returns whether the object has no errors; only then can the caller check its values for consistency.
    pub(crate) fn finish(&self) -> bool {
        let Some(object) = self.object else {
            return true;
        };
        let mut seen = BTreeSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let kind = if !self.known_members.contains(&name) {
                SettingErrorKind::UnknownField {
                    nearest: model::nearest_name(name, self.known_members.iter().copied()),
                }
            } else if !seen.insert(name) {
                SettingErrorKind::DuplicateField
            } else {
                continue;
            };
            self.context
                .report(property.range.start, &self.member_path(name), kind);
        }
        self.context.error_count() == self.initial_error_count
    }

    /// Returns the path of the member `name`; control characters are escaped because they would garble a terminal.
    pub(crate) fn member_path(&self, name: &str) -> String {
        let name = name.escape_debug();
        if self.path.is_empty() {
            name.to_string()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    fn member(&mut self, name: &'static str) -> Option<Field<'a>> {
        self.known_members.push(name);
        let path = self.member_path(name);
        self.context.record_field(&path);
        let property = self.object?.get(name)?;
        Some(Field::new(self.context, &property.value, path))
    }
}
