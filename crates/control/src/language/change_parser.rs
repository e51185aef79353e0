//! Parser for commands.

use std::time::Duration;

use model::{HostName, ModelName, OrderPolicy, OrganisationName, ServiceName, VersionLabel};

use crate::language::command_error::{CommandError, ErrorKind};
use crate::language::parser::{TokenCursor, VERBS, unknown_word};
use crate::language::span::Spanned;
use crate::language::statement::{Change, OrganisationField, ServiceField};
use crate::language::token::Token;

/// Maximum weight of an organisation.
const MAX_WEIGHT: f64 = 1_000_000.0;

/// Maximum time for which outcomes of orders are kept: one year.
const MAX_OUTCOME_RETENTION: Duration = Duration::from_secs(365 * 24 * 60 * 60);

pub(crate) fn parse_change(verb: &Token, cursor: &mut TokenCursor) -> Result<Change, CommandError> {
    let Some(name) = VERBS.iter().copied().find(|it| verb.is_keyword(it)) else {
        return Err(unknown_word("a command", verb, &VERBS));
    };
    match name {
        "rollout" => parse_rollout(cursor),
        "pause" => parse_model(cursor).map(Change::Pause),
        "resume" => parse_model(cursor).map(Change::Resume),
        "roll" => {
            cursor.expect_keyword("\"back\"", &["back"])?;
            parse_model(cursor).map(Change::RollBack)
        }
        "drain" => parse_host(cursor).map(Change::Drain),
        "undrain" => parse_host(cursor).map(Change::Undrain),
        "set" => parse_set(cursor),
        "unset" => parse_unset(cursor),
        "deny" => parse_organisation(cursor).map(Change::Deny),
        _ => parse_organisation(cursor).map(Change::Allow),
    }
}

fn parse_rollout(cursor: &mut TokenCursor) -> Result<Change, CommandError> {
    let model = parse_model(cursor)?;
    let label = cursor.parse_name("a version label", VersionLabel::new)?;
    let max_out_percent = if cursor.eat("max_out") {
        let percent = cursor.parse_number("max_out percentage", "%", (1.0, 100.0))?;
        Some(percent.value as u8)
    } else {
        None
    };
    Ok(Change::Rollout {
        model,
        label,
        max_out_percent,
    })
}

fn parse_set(cursor: &mut TokenCursor) -> Result<Change, CommandError> {
    if cursor.eat("organisation") {
        let organisation = parse_organisation(cursor)?;
        let field =
            match cursor.expect_keyword("\"weight\" or \"priority\"", &["weight", "priority"])? {
                "weight" => {
                    let weight = cursor.parse_number("weight", "", (1.0, MAX_WEIGHT))?;
                    OrganisationField::Weight(weight.value as u32)
                }
                _ => {
                    let priority = cursor.parse_number("priority", "", (0.0, 9.0))?;
                    OrganisationField::Priority(priority.value as u8)
                }
            };
        return Ok(Change::SetOrganisation(organisation, field));
    }
    if cursor.eat("service") {
        let service = parse_service(cursor)?;
        let fields = ["orders", "keep_outcome"];
        let field = match cursor.expect_keyword("\"orders\" or \"keep_outcome\"", &fields)? {
            "orders" => ServiceField::Orders(parse_policy(cursor)?),
            _ => ServiceField::KeepOutcome(parse_duration(cursor)?),
        };
        return Ok(Change::SetService(service, field));
    }
    let name = cursor.parse_text("a parameter name")?;
    let value = cursor.parse_number("value", "", (f64::MIN, f64::MAX))?;
    Ok(Change::SetParameter(name, value))
}

fn parse_unset(cursor: &mut TokenCursor) -> Result<Change, CommandError> {
    if cursor.eat("organisation") {
        return parse_organisation(cursor).map(Change::UnsetOrganisation);
    }
    if cursor.eat("service") {
        return parse_service(cursor).map(Change::UnsetService);
    }
    let name = cursor.parse_text("a parameter name")?;
    Ok(Change::UnsetParameter(name))
}

fn parse_policy(cursor: &mut TokenCursor) -> Result<OrderPolicy, CommandError> {
    let keywords = ["by_method", "all", "none"];
    Ok(
        match cursor.expect_keyword("\"by_method\", \"all\" or \"none\"", &keywords)? {
            "by_method" => OrderPolicy::ByMethod,
            "all" => OrderPolicy::Orders,
            _ => OrderPolicy::Lookups,
        },
    )
}

/// Parses a duration such as `90s`, `30m`, `24h` or `7d`. The default unit is seconds.
fn parse_duration(cursor: &mut TokenCursor) -> Result<Duration, CommandError> {
    let Spanned { value, span } = cursor.parse_text("a duration such as 30m or 24h")?;
    let digits = value.trim_end_matches(|it: char| it.is_ascii_alphabetic());
    let unit_s = match &value[digits.len()..] {
        "" | "s" => 1,
        "m" => 60,
        "h" => 60 * 60,
        "d" => 24 * 60 * 60,
        _ => 0,
    };
    let seconds = digits
        .parse::<u64>()
        .ok()
        .and_then(|it| it.checked_mul(unit_s));
    let allowed = 1..=MAX_OUTCOME_RETENTION.as_secs();
    seconds
        .filter(|it| allowed.contains(it))
        .map(Duration::from_secs)
        .ok_or_else(|| {
            let kind = ErrorKind::OutOfRange {
                what: "duration in seconds (or with unit s, m, h or d)",
                min: 1.0,
                max: MAX_OUTCOME_RETENTION.as_secs_f64(),
            };
            CommandError::new(kind, span)
        })
}

fn parse_model(cursor: &mut TokenCursor) -> Result<Spanned<ModelName>, CommandError> {
    cursor.parse_name("a model name", ModelName::new)
}

fn parse_host(cursor: &mut TokenCursor) -> Result<Spanned<HostName>, CommandError> {
    cursor.parse_name("a host name", HostName::new)
}

fn parse_organisation(cursor: &mut TokenCursor) -> Result<Spanned<OrganisationName>, CommandError> {
    cursor.parse_name("an organisation name", OrganisationName::new)
}

fn parse_service(cursor: &mut TokenCursor) -> Result<Spanned<ServiceName>, CommandError> {
    cursor.parse_name("a service name", ServiceName::new)
}
