//! Who may call and who may command.

use std::collections::BTreeMap;

use model::OrganisationName;

use crate::secret_text::SecretText;
use crate::setting_problem::SettingProblem;
use crate::walker::{Field, Section};

/// A person or script that may give commands.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// Name that is recorded with each command.
    pub name: String,
    /// Bearer token.
    pub token: SecretText,
}

/// A token of an organisation; one with several tokens can replace them without a gap.
#[derive(Clone, Debug)]
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
        read_each(list, |item, section| {
            let name = section.required("name", |it| {
                let name = it.text()?;
                it.check_new(&mut names, name.to_owned(), "name");
                Some(name.to_owned())
            });
            let token = read_token(item, section, &mut tokens);
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
        read_each(list, |item, section| {
            let organisation = section.required("organisation", |it| it.name());
            let token = read_token(item, section, &mut tokens);
            Some(Self {
                organisation: organisation?,
                token: token?,
            })
        })
    }
}

fn read_each<'a, T>(
    list: &Field<'a>,
    mut read: impl FnMut(&Field<'a>, &mut Section<'a>) -> Option<T>,
) -> Option<Vec<T>> {
    let items = list.items()?;
    if items.is_empty() {
        list.report(SettingProblem::EmptyList);
    }
    let mut values = Vec::new();
    for item in &items {
        let Some(mut section) = item.section() else {
            continue;
        };
        values.extend(read(item, &mut section));
        section.finish();
    }
    Some(values)
}

fn read_token(
    item: &Field<'_>,
    section: &mut Section<'_>,
    tokens: &mut BTreeMap<String, String>,
) -> Option<SecretText> {
    let token = section.required("token_file", |it| it.secret_file(1))?;
    item.check_new(tokens, token.reveal().to_owned(), "token");
    Some(token)
}
