//! Syntax tree of the command language.

use std::time::Duration;

use model::{HostName, ModelName, OrderPolicy, OrganisationName, ServiceName, VersionLabel};

use crate::language::filter::Filter;
use crate::language::span::Spanned;
use crate::language::table_name::TableName;

/// One statement of the language.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// A query, which changes nothing.
    Query(Query),
    /// A command, which creates a new revision of the configuration.
    Change(Change),
}

/// A query of one table.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// The table to read.
    pub table: TableName,
    /// The columns to return; empty for all.
    pub columns: Vec<&'static str>,
    /// Selects the rows to return.
    pub filter: Option<Filter>,
    /// The sort keys; rows that compare equal keep their order.
    pub order: Vec<OrderKey>,
    /// Maximum number of rows to return.
    pub limit: Option<usize>,
}

/// A column to sort by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderKey {
    /// The column name.
    pub column: &'static str,
    /// Whether the largest value comes first.
    pub descending: bool,
}

/// A command that changes the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// `rollout MODEL LABEL [max_out P%]`
    Rollout {
        /// The model.
        model: Spanned<ModelName>,
        /// The version to run.
        label: Spanned<VersionLabel>,
        /// Maximum percentage of a zone's replicas that may be out of service at once.
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
    /// Weight for sharing capacity with the other organisations.
    Weight(u32),
    /// Default priority of the organisation's requests.
    Priority(u8),
}

/// A field of a service's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceField {
    /// Which calls are orders, which must not run twice.
    Orders(OrderPolicy),
    /// How long outcomes of orders are kept.
    KeepOutcome(Duration),
}
