//! Numeric parameters that operators can set at run time.

/// A numeric parameter of the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ParameterSpec {
    /// The name in `set` and `unset` commands.
    pub name: &'static str,
    /// The smallest allowed value.
    pub min: f64,
    /// The largest allowed value.
    pub max: f64,
    /// Description for the documentation.
    pub description: &'static str,
}

/// All parameters. A command that sets any other name is rejected before anything is written.
pub const PARAMETERS: &[ParameterSpec] = &[
    ParameterSpec {
        name: "origin_copies",
        min: 1.0,
        max: 1000.0,
        description: "copies of a version that the fleet may fetch from the origin",
    },
    ParameterSpec {
        name: "spread_strategy",
        min: 0.0,
        max: 3.0,
        description: "0 spreads by region; 1 origin only, 2 binary tree and 3 random peers exist to be measured against",
    },
    ParameterSpec {
        name: "max_out_percent",
        min: 1.0,
        max: 100.0,
        description: "share of a zone's replicas out at once when a rollout names none",
    },
    ParameterSpec {
        name: "choice_strategy",
        min: 0.0,
        max: 2.0,
        description: "how entries choose targets: 0 expected wait, 1 round robin, 2 least reported load; for benches",
    },
];

impl ParameterSpec {
    /// Returns the parameter called `name`.
    pub fn find(name: &str) -> Option<&'static Self> {
        PARAMETERS.iter().find(|it| it.name == name)
    }
}
