//! Objects of the settings.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time;

use jsonc_parser::ast::Object;

use crate::setting_problem::SettingProblem;
use crate::walker::field::Field;
use crate::walker::file_context::FileContext;

/// An object whose members are asked for one by one; [`Section::finish`] reports those that nobody asked for.
pub(crate) struct Section<'a> {
    context: &'a FileContext<'a>,
    /// Absent for an optional object that the file leaves out: all its fields take their defaults.
    object: Option<&'a Object<'a>>,
    path: String,
    known: Vec<&'static str>,
    errors_before: usize,
}

impl<'a> Section<'a> {
    /// Creates a section over `object`.
    pub(crate) fn new(
        context: &'a FileContext<'a>,
        object: Option<&'a Object<'a>>,
        path: String,
    ) -> Self {
        Self {
            context,
            object,
            path,
            known: Vec::new(),
            errors_before: context.error_count(),
        }
    }

    /// Reads a member that must be there; returns nothing when it is absent or `read` has reported an error.
    pub(crate) fn required<T>(
        &mut self,
        name: &'static str,
        read: impl FnOnce(Field<'a>) -> Option<T>,
    ) -> Option<T> {
        match self.member(name) {
            Some(field) => read(field),
            None => {
                self.report_at(name, SettingProblem::MissingField);
                None
            }
        }
    }

    /// Reads a member that may be absent.
    pub(crate) fn optional<T>(
        &mut self,
        name: &'static str,
        read: impl FnOnce(Field<'a>) -> Option<T>,
    ) -> Option<T> {
        self.member(name).and_then(read)
    }

    /// Reads a whole number that may be absent.
    pub(crate) fn count_or(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
        default: usize,
    ) -> usize {
        let count = self.optional(name, |it| it.count(range));
        count.map_or(default, |it| usize::try_from(it).unwrap_or(usize::MAX))
    }

    /// Reads a duration in milliseconds that may be absent.
    pub(crate) fn millis_or(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
        default: time::Duration,
    ) -> time::Duration {
        self.optional(name, |it| it.millis(range))
            .unwrap_or(default)
    }

    /// Opens an object that may be absent, in which case all its members are absent.
    pub(crate) fn section_or_empty(&mut self, name: &'static str) -> Self {
        let opened = self.optional(name, |it| it.section());
        opened.unwrap_or_else(|| Self::new(self.context, None, self.member_path(name)))
    }

    /// Reports a problem at the member `name`, or at the object itself when the member is absent.
    pub(crate) fn report_at(&self, name: &str, problem: SettingProblem) {
        let offset = self.object.map_or(0, |object| {
            object
                .get(name)
                .map_or(object.range.start, |it| Field::value_start(&it.value))
        });
        self.context
            .report(offset, &self.member_path(name), problem);
    }

    /// Reports the members that are unknown or occur twice.
    ///
    /// Returns whether the object is free of errors, so that it makes sense to compare its values with each other.
    pub(crate) fn finish(&self) -> bool {
        let Some(object) = self.object else {
            return true;
        };
        let mut seen = BTreeSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let problem = if !self.known.contains(&name) {
                SettingProblem::UnknownField {
                    nearest: model::near_name(name, self.known.iter().copied()),
                }
            } else if !seen.insert(name) {
                SettingProblem::DuplicateField
            } else {
                continue;
            };
            self.context
                .report(property.range.start, &self.member_path(name), problem);
        }
        self.context.error_count() == self.errors_before
    }

    /// Returns the path of the member `name`, with characters escaped that would disturb a terminal.
    pub(crate) fn member_path(&self, name: &str) -> String {
        let name = name.escape_debug();
        if self.path.is_empty() {
            name.to_string()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    fn member(&mut self, name: &'static str) -> Option<Field<'a>> {
        self.known.push(name);
        let path = self.member_path(name);
        self.context.record_field(&path);
        let property = self.object?.get(name)?;
        Some(Field::new(self.context, &property.value, path))
    }
}
