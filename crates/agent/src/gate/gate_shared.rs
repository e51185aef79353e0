//! The gate as the threads of an agent share it.

use std::sync::{Mutex, MutexGuard};

use model::{AttemptId, GateState, LoadSample, ResultCode, VersionDigest};
use serde_json::json;
use wire::RevokeOutcome;

use crate::gate::gate_table::GateTable;

/// Puts one lock around the gate's table.
#[derive(Debug)]
pub(crate) struct GateShared {
    table: Mutex<GateTable>,
}

impl GateShared {
    pub(crate) fn new(limit: u32) -> Self {
        Self {
            table: Mutex::new(GateTable::new(limit)),
        }
    }

    pub(crate) fn admit(
        &self,
        attempt: AttemptId,
        required: Option<VersionDigest>,
    ) -> Result<Option<VersionDigest>, ResultCode> {
        self.lock().admit(attempt, required)
    }

    pub(crate) fn end(&self, attempt: AttemptId) {
        self.lock().end(attempt);
    }

    pub(crate) fn revoke(&self, attempt: AttemptId) -> RevokeOutcome {
        self.lock().revoke(attempt)
    }

    /// Sets what the gate does with new work and the version that answers are computed from.
    pub(crate) fn set_state(&self, state: GateState, version: Option<VersionDigest>) {
        let mut table = self.lock();
        table.state = state;
        table.version = version;
    }

    pub(crate) fn state(&self) -> (GateState, Option<VersionDigest>) {
        let table = self.lock();
        (table.state, table.version)
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.lock().in_flight
    }

    pub(crate) fn load(&self) -> LoadSample {
        let table = self.lock();
        LoadSample {
            in_flight: table.in_flight,
            limit: table.limit,
            refused: table.refused,
            ..LoadSample::default()
        }
    }

    pub(crate) fn dump(&self) -> serde_json::Value {
        let (state, version) = self.state();
        json!({ "state": state, "version": version, "load": self.load() })
    }

    fn lock(&self) -> MutexGuard<'_, GateTable> {
        self.table
            .lock()
            .expect("no holder of the gate's lock panics")
    }
}
