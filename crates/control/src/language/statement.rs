//! What a command text says.

use std::time::Duration;

use model::{HostName, ModelName, OrderPolicy, OrganisationName, ServiceName, VersionLabel};

use crate::language::filter::Filter;
use crate::language::span::Spanned;
use crate::language::table_name::TableName;

/// One statement of the language.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// A question, which changes nothing.
    Query(Query),
    /// A command, which makes a new revision of the configuration.
    Change(Change),
}

/// A question about a table.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// The table.
    pub table: TableName,
    /// The columns to show; all of them when empty.
    pub columns: Vec<&'static str>,
    /// Which rows to show.
    pub filter: Option<Filter>,
    /// How to sort them; ties keep the order of the table.
    pub order: Vec<OrderKey>,
    /// How many to show at most.
    pub limit: Option<usize>,
}

/// A column to sort by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderKey {
    /// The column.
    pub column: &'static str,
    /// Whether the largest comes first.
    pub descending: bool,
}

/// A command.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// `rollout MODEL LABEL [max_out P%]`
    Rollout {
        /// The model.
        model: Spanned<ModelName>,
        /// The version to run.
        label: Spanned<VersionLabel>,
        /// Largest share of a zone's replicas out at once, in percent.
        max_out_percent: Option<u8>,
    },
    /// `pause MODEL`
    Pause(Spanned<ModelName>),
    /// `resume MODEL`
    Resume(Spanned<ModelName>),
    /// `roll back MODEL`
    RollBack(Spanned<ModelName>),
    /// `drain HOST`
    Drain(Spanned<HostName>),
    /// `undrain HOST`
    Undrain(Spanned<HostName>),
    /// `set NAME VALUE`
    SetParameter(Spanned<String>, Spanned<f64>),
    /// `unset NAME`
    UnsetParameter(Spanned<String>),
    /// `set organisation NAME weight|priority VALUE`
    SetOrganisation(Spanned<OrganisationName>, OrganisationField),
    /// `unset organisation NAME`
    UnsetOrganisation(Spanned<OrganisationName>),
    /// `set service NAME orders|keep_outcome VALUE`
    SetService(Spanned<ServiceName>, ServiceField),
    /// `unset service NAME`
    UnsetService(Spanned<ServiceName>),
    /// `deny ORGANISATION`
    Deny(Spanned<OrganisationName>),
    /// `allow ORGANISATION`
    Allow(Spanned<OrganisationName>),
}

/// A field of an organisation's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrganisationField {
    /// Share of the capacity relative to the others.
    Weight(u32),
    /// Priority of requests that name none.
    Priority(u8),
}

/// A field of a service's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceField {
    /// Which calls may be repeated.
    Orders(OrderPolicy),
    /// How long outcomes of orders are kept.
    KeepOutcome(Duration),
}
