//! The tables that queries can read, with their columns.

use model::nearest_name;

/// The type of a column's values. Cells of either type can also have no value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColumnKind {
    /// Strings.
    Text,
    /// Numbers.
    Number,
}

/// A column of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColumnSpec {
    /// The column name.
    pub name: &'static str,
    /// The type of its values.
    pub kind: ColumnKind,
}

macro_rules! tables {
    ($($(#[$doc:meta])* $name:ident = $text:literal { $($column:ident: $kind:ident),* $(,)? })*) => {
        /// A table that queries can read.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum TableName {
            $($(#[$doc])* $name,)*
        }

        impl TableName {
            /// All tables, in the order of the documentation.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the name of the table in queries.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// Returns the columns of the table, in display order.
            pub const fn columns(self) -> &'static [ColumnSpec] {
                match self {
                    $(Self::$name => &[
                        $(ColumnSpec { name: stringify!($column), kind: ColumnKind::$kind },)*
                    ],)*
                }
            }
        }
    };
}

tables! {
    /// One row for each live target.
    Targets = "targets" {
        host: Text, zone: Text, region: Text, kind: Text, name: Text, state: Text, serving: Text,
        label: Text, fetched_percent: Number, in_flight: Number, limit: Number, revision: Number,
        fencing: Number, gate: Text, age_ms: Number,
    }
    /// One row for each host that the platform lists, that runs an agent or that is drained.
    Hosts = "hosts" {
        host: Text, zone: Text, ip: Text, platform: Text, drained: Text, state: Text,
        in_flight: Number, revision: Number, age_ms: Number,
    }
    /// One row for each live entry.
    Entries = "entries" {
        host: Text, zone: Text, region: Text, callers: Text, operators: Text, ready: Text,
        leaving: Text, streams: Number, revision: Number, age_ms: Number,
    }
    /// One row for each target and entry, with its load and overload state.
    Load = "load" {
        host: Text, zone: Text, kind: Text, name: Text, in_flight: Number, limit: Number,
        tokens_owed: Number, first_token_ms: Number, token_gap_ms: Number, named_limit: Number,
        refused: Number,
        overloaded: Text, since_s: Number, cause: Text,
    }
    /// One row for each model that has a wanted version.
    Rollouts = "rollouts" {
        model: Text, label: Text, version: Text, state: Text, replicas: Number, serving: Number,
        fetched: Number, out: Number, max_out_percent: Number, previous: Text, rollout: Text,
        driver: Text,
    }
    /// One row for each version that is wanted, was wanted previously or is being served.
    Versions = "versions" {
        model: Text, label: Text, version: Text, use: Text, replicas: Number, bytes: Number,
        chunks: Number,
    }
    /// One row for each organisation that the configuration lists.
    Organisations = "organisations" {
        organisation: Text, weight: Number, priority: Number, denied: Text,
    }
    /// One row for the newest revision, and one for each field of the models, services, organisations, drains
    /// and parameters that the configuration lists.
    Config = "config" {
        kind: Text, name: Text, field: Text, value: Text,
    }
    /// One row for the rollout lease in the table service.
    Leases = "leases" {
        lease: Text, holder: Text, fencing: Number, left_ms: Number, state: Text,
    }
    /// One row for each part of requests that is suspected to crash targets, held back, or was released lately.
    Parts = "parts" {
        part: Text, state: Text, crashes: Number, age_s: Number, trial_s: Number, failed_trials: Number,
    }
    /// One row for each entry and agent process.
    Processes = "processes" {
        role: Text, host: Text, zone: Text, control: Text, incarnation: Text, state: Text,
        revision: Number, age_ms: Number,
    }
}

impl TableName {
    /// Returns the table called `text`, ignoring case.
    pub fn find(text: &str) -> Option<Self> {
        let name_matches = |it: &&Self| it.name().eq_ignore_ascii_case(text);
        Self::ALL.iter().find(name_matches).copied()
    }

    /// Returns the column called `text`, ignoring case.
    pub fn column(self, text: &str) -> Option<&'static ColumnSpec> {
        let name_matches = |it: &&ColumnSpec| it.name.eq_ignore_ascii_case(text);
        self.columns().iter().find(name_matches)
    }

    /// Returns the name of the table that is most similar to `text`.
    pub(crate) fn nearest_name(text: &str) -> Option<&'static str> {
        nearest_name(text, Self::ALL.iter().map(|it| it.name()))
    }

    /// Returns the name of the column that is most similar to `text`.
    pub(crate) fn nearest_column(self, text: &str) -> Option<&'static str> {
        nearest_name(text, self.columns().iter().map(|it| it.name))
    }
}
