//! Stand-ins for the systems around fulmarline: the platform, engines, services, network links and callers.
//!
//! Tests, the demo and the benchmarks run many stand-ins in one process and access their faults and counters through
//! methods. The binary `fulmarline-standin` runs individual stand-ins, with faults and counters over HTTP. Stand-ins
//! implement `docs/PLATFORM.md`. This crate is not shipped and no shipped crate depends on it, so that the counters of
//! stand-ins are independent evidence of what fulmarline did.

mod engine;
mod harness;
mod host_list;
mod http_util;
mod links;
mod load;
mod object_store;
mod plain_service;
mod rate_limiter;
mod run_counters;
mod site;
mod standin_runtime;
mod table;
mod weights;

pub use engine::{
    DeterministicResponse, EngineFaults, EngineLoadReport, EngineOptions, ModelEngine,
    expected_token, prefix_digests,
};
pub use harness::{
    AgentPlan, ChildProcess, CommandResponse, EntryPlan, FleetPlan, LinkPlan, ProcessFleet,
    TargetPlan,
};
pub use host_list::{HostList, ListedHost};
pub use links::{
    FaultProxy, HostBytes, LinkSwitch, NodeFaults, ProxyFaults, SwitchCounters, SwitchNode,
    SwitchOptions,
};
pub use load::{
    CallKind, CallOutcome, CallRecord, LoadGenerator, LoadOrganisation, LoadPlan, LoadReport,
    LoadTotals, ObservedRuns, RunningLoad,
};
pub use object_store::{ObjectStore, StoreCounters, StoreFaults};
pub use plain_service::{PlainService, ServiceFaults, ServiceResponse};
pub use rate_limiter::RateLimiter;
pub use run_counters::{RunCount, RunCounters};
pub use site::{
    CrashLog, CrashPlan, CrashingReplica, EXCUSED_CORRUPTION, EndlessBytes, EndlessProxy,
    HeldAnswer, HeldResponse, HoldGate, HoldingReplica, INVALID_STATUS_LINES, RawConnection,
    RawEnd, RawFraming, RawReplica, RawRequest, RawResponse, ReplicaCalls, ReplicaFaults,
    ReplicaKind, RunCounts, RunStart, SilenceSwitch, SiteHost, SiteOrigin, SitePorts, SiteReplica,
    SiteStore, SiteWeights, StoreCopy, WaitHabit, reset_on_close, start_status_service,
};
pub use standin_runtime::StandinRuntime;
pub use table::{TableCounters, TableFaults, TableService};
pub use weights::{SourceCounters, WeightCatalog, WeightFaults, WeightSource, synthetic_weights};
