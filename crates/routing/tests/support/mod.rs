//! Shared test helpers.
#![allow(dead_code)]

pub mod order_simulation;

use std::time::Duration;

use arbtest::arbitrary;
use model::{AttemptId, HostName, Incarnation, OrganisationName};
use routing::{OrderGate, OrderOutcome, OrderRow, OrderState};

/// Runs `property` with a fixed set of seeds, so that the result is deterministic.
pub fn with_fixed_seeds(
    property: impl Fn(&mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()>,
) {
    for seed in 0..SEEDS {
        arbtest::arbtest(&property)
            .seed(seed << 32 | ENTROPY_BYTES)
            .run();
    }
}

const SEEDS: u64 = 200;
const ENTROPY_BYTES: u64 = 4096;

/// Linear congruential generator for deterministic random choices.
pub struct Rng(pub u64);

impl Rng {
    /// Returns an index below `n`.
    pub fn index_below(&mut self, n: usize) -> usize {
        self.0 = self
            .0
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        ((self.0 >> 33) as usize) % n.max(1)
    }
}

pub fn host(name: &str) -> HostName {
    HostName::new(name).unwrap()
}

pub fn organisation(name: &str) -> OrganisationName {
    OrganisationName::new(name).unwrap()
}

pub fn attempt(created_ms: u64, random: u128) -> AttemptId {
    AttemptId::new(Duration::from_millis(created_ms), random)
}

pub fn order_row(attempt: AttemptId, gate: usize, incarnation: u64, now_ms: u64) -> OrderRow {
    OrderRow {
        fingerprint: "f".to_string(),
        attempt,
        gate: OrderGate {
            host: host(&format!("h{gate}")),
            incarnation: Incarnation(incarnation),
            gate: "127.0.0.1:1".parse().unwrap(),
            control: "127.0.0.1:2".parse().unwrap(),
        },
        claimed_ms: now_ms,
        dispatch_until_ms: now_ms + 50,
        expires_ms: now_ms + 1_000_000,
        state: OrderState::Claimed,
    }
}

pub fn outcome(text: &str) -> OrderOutcome {
    OrderOutcome {
        status: 200,
        content_type: None,
        body: text.to_string(),
        is_hex: false,
    }
}
