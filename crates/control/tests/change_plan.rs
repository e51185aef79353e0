//! Tests of the translation of commands into configuration changes, and of its errors.

use std::collections::BTreeSet;

use control::{PlanContext, Statement, parse, plan_change};
use expect_test::{Expect, expect};
use model::{
    CommandId, ConfigDelta, FleetConfig, HostName, ModelName, VersionLabel, WeightManifest,
};

/// Runs `commands` in order, and compares the errors and the resulting configuration with `expect`.
fn check(commands: &[&str], expect: Expect) {
    let hosts = ["h1", "h2"].map(|it| HostName::new(it).unwrap());
    let hosts = BTreeSet::from(hosts);
    let mut config = FleetConfig::default();
    let mut output = String::new();
    for (idx, text) in commands.iter().enumerate() {
        let Statement::Change(change) = parse(text).unwrap() else {
            panic!("{text} is a query");
        };
        let command = CommandId::new(format!("c{idx}")).unwrap();
        let manifest = match &change {
            control::Change::Rollout { model, label, .. } if label.value.as_str() != "gone" => {
                Ok(manifest(&model.value, &label.value))
            }
            _ => Err("404".to_string()),
        };
        let manifest = manifest.as_ref().map_err(String::as_str);
        let context = PlanContext {
            command: &command,
            hosts: &hosts,
            manifest: Some(manifest),
        };
        match plan_change(&change, &config, &context) {
            Err(err) => output += &format!("{}\n", err.underline(text)),
            Ok(changes) => {
                let delta = ConfigDelta {
                    revision: config.revision.next(),
                    command,
                    operator: "op".into(),
                    changes,
                };
                assert!(delta.apply(&mut config));
            }
        }
    }
    for (name, model) in &config.models {
        let previous = model
            .previous
            .as_ref()
            .map_or("none", |it| it.label.as_str());
        output += &format!(
            "{name}: {} previous {previous} paused {} max_out {} by {}\n",
            model.label(),
            model.paused,
            model.max_out_percent,
            model.rollout
        );
    }
    for (name, it) in &config.organisations {
        output += &format!("{name}: {it:?}\n");
    }
    for (name, it) in &config.services {
        output += &format!("{name}: {it:?}\n");
    }
    output += &format!("{:?} {:?}", config.drains, config.parameters);
    expect.assert_eq(&output);
}

fn manifest(model: &ModelName, label: &VersionLabel) -> WeightManifest {
    WeightManifest::from_data(model.clone(), label.clone(), 4, label.as_str().as_bytes())
}

#[test]
fn rollout_commands() {
    check(
        &[
            "rollout m v1",
            "rollout m v2 max_out 50%",
            "pause m",
            "rollout m v2",
        ],
        expect![[r#"
            m: v2 previous v1 paused false max_out 50 by c3
            {} {}"#]],
    );
    check(
        &["rollout m v1", "rollout m v2", "roll back m"],
        expect![[r#"
            m: v1 previous v2 paused false max_out 25 by c2
            {} {}"#]],
    );
    check(
        &["set max_out_percent 10", "rollout m v1", "roll back m"],
        expect![[r#"
            roll back m
                      ^ the model has no previous version
            m: v1 previous none paused false max_out 10 by c1
            {} {"max_out_percent": 10.0}"#]],
    );
    check(
        &[
            "rollout m gone",
            "rollout model v1",
            "pause modle",
            "pause other",
        ],
        expect![[r#"
            rollout m gone
                      ^^^^ the manifest of the version is not available: 404
            pause modle
                  ^^^^^ there is no model "modle"; did you mean "model"?
            pause other
                  ^^^^^ there is no model "other"
            model: v1 previous none paused false max_out 25 by c1
            {} {}"#]],
    );
}

#[test]
fn drain_and_undrain() {
    check(
        &[
            "drain h1",
            "drain h2",
            "drain h11",
            "undrain h2",
            "undrain h2",
        ],
        expect![[r#"
            drain h11
                  ^^^ there is no host "h11"; did you mean "h1"?
            {HostName("h1")} {}"#]],
    );
}

#[test]
fn organisations_services_and_parameters() {
    check(
        &[
            "set organisation chain weight 4",
            "deny chain",
            "deny other",
            "allow other",
            "set service orders orders all",
            "set service orders keep_outcome 2h",
            "set origin_copies 6",
            "set origin_copies 0",
            "set orgin_copies 6",
            "unset max_out_percent",
        ],
        expect![[r#"
            set origin_copies 0
                              ^ the origin_copies must be a number from 1 to 1000
            set orgin_copies 6
                ^^^^^^^^^^^^ there is no parameter "orgin_copies"; did you mean "origin_copies"?
            chain: OrganisationConfig { weight: 4, priority: 5, denied: true }
            other: OrganisationConfig { weight: 1, priority: 5, denied: false }
            orders: ServiceConfig { orders: Orders, keep_outcome_s: 7200 }
            {} {"origin_copies": 6.0}"#]],
    );
    check(
        &[
            "deny chain",
            "unset organisation chain",
            "set service s orders none",
            "unset service s",
        ],
        expect!["{} {}"],
    );
}
