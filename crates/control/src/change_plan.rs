//! Translates a command into configuration changes.

use std::collections::BTreeSet;

use model::{
    CommandId, ConfigChange, FleetConfig, HostName, ModelConfig, ModelName, OrganisationConfig,
    WeightManifest,
};

use crate::language::{Change, CommandError, ErrorKind, OrganisationField, ServiceField, Spanned};
use crate::parameter_spec::{PARAMETERS, ParameterSpec};

/// Maximum percentage of a zone's replicas out of service at once if neither the command nor the
/// `max_out_percent` parameter sets one.
const DEFAULT_MAX_OUT_PERCENT: u8 = 25;

/// The inputs of [`plan_change`] besides the command and the configuration.
#[derive(Clone, Copy, Debug)]
pub struct PlanContext<'a> {
    /// The id of the command.
    pub command: &'a CommandId,
    /// Hosts that run an agent or that the platform lists.
    pub hosts: &'a BTreeSet<HostName>,
    /// For a rollout, the version's manifest from the origin, or why it could not be fetched; `None`
    /// for all other commands.
    pub manifest: Option<Result<&'a WeightManifest, &'a str>>,
}

/// Returns the changes to `config` that carry out the command `change`.
///
/// A command that changes nothing still produces a revision, so that its id is recorded and a retry
/// returns the same result.
///
/// # Errors
///
/// Rejects unknown names and values out of range; the error points at the token.
pub fn plan_change(
    change: &Change,
    config: &FleetConfig,
    context: &PlanContext<'_>,
) -> Result<Vec<ConfigChange>, CommandError> {
    match change {
        Change::Rollout {
            model,
            label,
            max_out_percent,
        } => {
            let manifest = check_manifest(context, label.span)?;
            let model = &model.value;
            Ok(plan_rollout(
                model,
                manifest,
                *max_out_percent,
                config,
                context,
            ))
        }
        Change::Pause(model) => set_paused(model, true, config),
        Change::Resume(model) => set_paused(model, false, config),
        Change::RollBack(model) => plan_roll_back(model, config, context),
        Change::Drain(host) => {
            check_host(host, context.hosts.iter())?;
            Ok(vec![ConfigChange::Drain(host.value.clone())])
        }
        Change::Undrain(host) => {
            check_host(host, config.drains.union(context.hosts))?;
            Ok(vec![ConfigChange::Undrain(host.value.clone())])
        }
        Change::SetParameter(name, value) => {
            let spec = check_parameter(name)?;
            let (min, max) = (spec.min, spec.max);
            if !(min..=max).contains(&value.value) {
                let what = spec.name;
                let kind = ErrorKind::OutOfRange { what, min, max };
                return Err(CommandError::new(kind, value.span));
            }
            Ok(vec![ConfigChange::SetParameter(
                spec.name.into(),
                value.value,
            )])
        }
        Change::UnsetParameter(name) => {
            let spec = check_parameter(name)?;
            Ok(vec![ConfigChange::UnsetParameter(spec.name.into())])
        }
        Change::SetOrganisation(name, field) => {
            let organisation = config.organisation(&name.value);
            let organisation = match *field {
                OrganisationField::Weight(weight) => OrganisationConfig {
                    weight,
                    ..organisation
                },
                OrganisationField::Priority(priority) => OrganisationConfig {
                    priority,
                    ..organisation
                },
            };
            Ok(vec![ConfigChange::SetOrganisation(
                name.value.clone(),
                organisation,
            )])
        }
        Change::UnsetOrganisation(name) => {
            Ok(vec![ConfigChange::UnsetOrganisation(name.value.clone())])
        }
        Change::SetService(name, field) => {
            let mut service = config.service(&name.value);
            match *field {
                ServiceField::Orders(policy) => service.orders = policy,
                ServiceField::KeepOutcome(time) => service.keep_outcome_s = time.as_secs(),
            }
            Ok(vec![ConfigChange::SetService(name.value.clone(), service)])
        }
        Change::UnsetService(name) => Ok(vec![ConfigChange::UnsetService(name.value.clone())]),
        Change::Deny(name) | Change::Allow(name) => {
            let denied = matches!(change, Change::Deny(_));
            let organisation = OrganisationConfig {
                denied,
                ..config.organisation(&name.value)
            };
            Ok(vec![ConfigChange::SetOrganisation(
                name.value.clone(),
                organisation,
            )])
        }
    }
}

fn plan_rollout(
    model: &ModelName,
    manifest: &WeightManifest,
    max_out_percent: Option<u8>,
    config: &FleetConfig,
    context: &PlanContext<'_>,
) -> Vec<ConfigChange> {
    let current = config.models.get(model);
    let same_version = |it: &&ModelConfig| it.manifest.version() == manifest.version();
    let previous = match current.filter(same_version) {
        Some(current) => current.previous.clone(),
        None => current.map(|it| it.manifest.clone()),
    };
    let max_out_percent = max_out_percent
        .or_else(|| current.map(|it| it.max_out_percent))
        .unwrap_or_else(|| default_max_out(config));
    let model_config = ModelConfig {
        manifest: manifest.clone(),
        rollout: context.command.clone(),
        paused: false,
        previous,
        max_out_percent,
    };
    vec![ConfigChange::SetModel(
        model.clone(),
        Box::new(model_config),
    )]
}

fn default_max_out(config: &FleetConfig) -> u8 {
    config
        .parameters
        .get("max_out_percent")
        .map_or(DEFAULT_MAX_OUT_PERCENT, |it| it.clamp(1.0, 100.0) as u8)
}

fn plan_roll_back(
    model: &Spanned<ModelName>,
    config: &FleetConfig,
    context: &PlanContext<'_>,
) -> Result<Vec<ConfigChange>, CommandError> {
    let current = check_model(model, config)?;
    let Some(previous) = &current.previous else {
        return Err(CommandError::new(ErrorKind::NoPreviousVersion, model.span));
    };
    let model_config = ModelConfig {
        manifest: previous.clone(),
        rollout: context.command.clone(),
        paused: false,
        previous: Some(current.manifest.clone()),
        max_out_percent: current.max_out_percent,
    };
    Ok(vec![ConfigChange::SetModel(
        model.value.clone(),
        Box::new(model_config),
    )])
}

fn set_paused(
    model: &Spanned<ModelName>,
    paused: bool,
    config: &FleetConfig,
) -> Result<Vec<ConfigChange>, CommandError> {
    let model_config = ModelConfig {
        paused,
        ..check_model(model, config)?.clone()
    };
    Ok(vec![ConfigChange::SetModel(
        model.value.clone(),
        Box::new(model_config),
    )])
}

fn check_manifest<'a>(
    context: &PlanContext<'a>,
    label: crate::language::Span,
) -> Result<&'a WeightManifest, CommandError> {
    let reject =
        |reason: String| CommandError::new(ErrorKind::ManifestUnavailable { reason }, label);
    match context.manifest {
        Some(Ok(manifest)) => match manifest.validate() {
            Ok(()) => Ok(manifest),
            Err(err) => Err(reject(err.to_string())),
        },
        Some(Err(reason)) => Err(reject(reason.to_string())),
        None => Err(reject("the origin was not queried".to_string())),
    }
}

fn check_model<'a>(
    model: &Spanned<ModelName>,
    config: &'a FleetConfig,
) -> Result<&'a ModelConfig, CommandError> {
    config.models.get(&model.value).ok_or_else(|| {
        let names = config.models.keys().map(ModelName::as_str);
        unknown_name("model", model.value.as_str(), model.span, names)
    })
}

fn check_host<'a>(
    host: &Spanned<HostName>,
    mut known: impl Iterator<Item = &'a HostName> + Clone,
) -> Result<(), CommandError> {
    if known.clone().any(|it| *it == host.value) {
        return Ok(());
    }
    let names = known.by_ref().map(HostName::as_str);
    Err(unknown_name("host", host.value.as_str(), host.span, names))
}

fn check_parameter(name: &Spanned<String>) -> Result<&'static ParameterSpec, CommandError> {
    ParameterSpec::find(&name.value).ok_or_else(|| {
        let names = PARAMETERS.iter().map(|it| it.name);
        unknown_name("parameter", &name.value, name.span, names)
    })
}

fn unknown_name<'a>(
    what: &'static str,
    name: &str,
    span: crate::language::Span,
    candidates: impl Iterator<Item = &'a str>,
) -> CommandError {
    let kind = ErrorKind::Unknown {
        what,
        name: name.to_string(),
    };
    CommandError::new(kind, span).with_suggestion(model::nearest_name(name, candidates))
}
