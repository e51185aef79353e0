//! Credentials of operators and callers.

use std::collections::BTreeMap;

use model::OrganisationName;

use crate::secret_text::SecretText;
use crate::setting_error_kind::SettingErrorKind;
use crate::walker::{Field, Section};

/// A person or script that is allowed to send commands.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorSettings {
    /// Name that is recorded with each command.
    pub name: String,
    /// Bearer token.
    pub token: SecretText,
}

/// A token of an organisation; an organisation may have several, so that tokens can be rotated without downtime.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerSettings {
    /// The organisation that the caller belongs to.
    pub organisation: OrganisationName,
    /// Bearer token.
    pub token: SecretText,
}

impl OperatorSettings {
    pub(crate) fn read_list(list: &Field<'_>) -> Option<Vec<Self>> {
        let mut names = BTreeMap::new();
        let mut tokens = BTreeMap::new();
        read_objects(list, |element, section| {
            let name = section.required("name", |it| {
                let name = it.string()?;
                it.check_unique(&mut names, name.to_owned(), "name");
                Some(name.to_owned())
            });
            let token = read_token(element, section, &mut tokens);
            Some(Self {
                name: name?,
                token: token?,
            })
        })
    }
}

impl CallerSettings {
    pub(crate) fn read_list(list: &Field<'_>) -> Option<Vec<Self>> {
        let mut tokens = BTreeMap::new();
        read_objects(list, |element, section| {
            let organisation = section.required("organisation", |it| it.name());
            let token = read_token(element, section, &mut tokens);
            Some(Self {
                organisation: organisation?,
                token: token?,
            })
        })
    }
}

/// Reads a non-empty list of objects.
fn read_objects<'a, T>(
    list: &Field<'a>,
    mut read: impl FnMut(&Field<'a>, &mut Section<'a>) -> Option<T>,
) -> Option<Vec<T>> {
    let elements = list.elements()?;
    if elements.is_empty() {
        list.report(SettingErrorKind::EmptyList);
    }
    let mut values = Vec::new();
    for element in &elements {
        let Some(mut section) = element.section() else {
            continue;
        };
        values.extend(read(element, &mut section));
        section.finish();
    }
    Some(values)
}

fn read_token(
    element: &Field<'_>,
    section: &mut Section<'_>,
    tokens: &mut BTreeMap<String, String>,
) -> Option<SecretText> {
    let token = section.required("token_file", |it| it.secret_file(1))?;
    element.check_unique(tokens, token.reveal().to_owned(), "token");
    Some(token)
}
