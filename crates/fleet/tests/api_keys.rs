//! For which tenant a request runs, by its key, its route and the age of the configuration.

use std::time::Duration;

use expect_test::{Expect, expect};
use fleet::{ApiTenant, ConfigFreshness, KeyTable};

fn keys() -> KeyTable {
    let tenant = |name: &str| ApiTenant {
        name: name.to_owned(),
        rank: Some(1),
        home_regions: Vec::new(),
    };
    let keys = |keys: &[&str]| keys.iter().map(|it| (*it).to_owned()).collect();
    KeyTable::new(Some(vec![
        (tenant("dealer"), keys(&["key-1", "key-2"])),
        (tenant("chain"), keys(&["key-3"])),
    ]))
}

/// Checks what becomes of requests on protected and on public routes at each age of a configuration that is trusted for 4 s.
fn check(table: &KeyTable, key: Option<&str>, expected: Expect) {
    let mut freshness = ConfigFreshness::new(Some(Duration::from_secs(4)));
    let confirmed = Duration::from_secs(10);
    let mut lines = Vec::new();
    for is_confirmed in [false, true] {
        if is_confirmed {
            freshness.confirm(confirmed);
        }
        for age_ms in [0, 3999, 4000, 60_000] {
            let now = confirmed + Duration::from_millis(age_ms);
            let results = [false, true].map(|is_public| {
                let tenant = table.identify(key, is_public, &freshness, now);
                let tenant = tenant.map(|it| it.map(|it| it.name.as_str()));
                format!("{tenant:?}")
            });
            let age = is_confirmed.then_some(age_ms);
            lines.push(format!("{age:?}: {}", results.join(", public ")));
        }
    }
    lines.dedup_by_key(|it| it.split_once(": ").map(|it| it.1.to_owned()));
    expected.assert_eq(&lines.join("\n"));
}

/// Guards against UNASKED: on a public route a request ran for the tenant that had held its key in a configuration of any age.
#[test]
fn a_key_names_its_tenant_only_while_the_configuration_is_trusted() {
    check(
        &keys(),
        Some("key-1"),
        expect![[r#"
        None: Err(Outdated), public Err(Outdated)
        Some(0): Ok(Some("dealer")), public Ok(Some("dealer"))
        Some(4000): Err(Outdated), public Err(Outdated)"#]],
    );
    check(
        &keys(),
        Some("key-3"),
        expect![[r#"
        None: Err(Outdated), public Err(Outdated)
        Some(0): Ok(Some("chain")), public Ok(Some("chain"))
        Some(4000): Err(Outdated), public Err(Outdated)"#]],
    );
}

/// Guards against requests without a key that are refused on public routes, or accepted on others.
#[test]
fn public_requests_without_a_key_need_no_recent_configuration() {
    check(
        &keys(),
        None,
        expect![[r#"
        None: Err(Outdated), public Ok(None)
        Some(0): Err(Unknown), public Ok(None)
        Some(4000): Err(Outdated), public Ok(None)"#]],
    );
}

/// Guards against keys that no tenant holds and that are accepted, or refused for good by an outdated configuration.
#[test]
fn a_key_that_no_tenant_holds_is_unknown_only_while_the_configuration_is_trusted() {
    check(
        &keys(),
        Some("other"),
        expect![[r#"
            None: Err(Outdated), public Err(Outdated)
            Some(0): Err(Unknown), public Err(Unknown)
            Some(4000): Err(Outdated), public Err(Outdated)"#]],
    );
}

/// Guards against refusals where the configuration has no tenants.
#[test]
fn without_tenants_every_request_is_accepted() {
    check(
        &KeyTable::new(None),
        Some("key-1"),
        expect!["None: Ok(None), public Ok(None)"],
    );
    check(
        &KeyTable::new(None),
        None,
        expect!["None: Ok(None), public Ok(None)"],
    );
}

#[test]
fn keys_are_not_printed() {
    expect!["KeyTable { keys: 3, required: true }"].assert_eq(&format!("{:?}", keys()));
}
