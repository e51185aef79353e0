//! A simulated site of the users' platform with its published protocol: the store, replicas and the origin of weights.

mod crashing_replica;
mod endless_bytes;
mod endless_proxy;
mod holding_replica;
mod raw_replica;
mod replica_faults;
mod replica_responses;
mod silence_switch;
mod site_origin;
mod site_replica;
mod site_settings;
mod site_store;
mod site_weights;
mod staged_store;
mod status_service;

pub use crashing_replica::{CrashLog, CrashPlan, CrashingReplica};
pub use endless_bytes::EndlessBytes;
pub use endless_proxy::EndlessProxy;
pub use holding_replica::{HeldAnswer, HeldResponse, HoldGate, HoldingReplica, WaitHabit};
pub use raw_replica::{
    RawConnection, RawEnd, RawFraming, RawReplica, RawRequest, RawResponse, RunCounts, RunStart,
    reset_on_close,
};
pub use replica_faults::{ReplicaCalls, ReplicaFaults, ReplicaKind};
pub use silence_switch::SilenceSwitch;
pub use site_origin::SiteOrigin;
pub use site_replica::SiteReplica;
pub use site_settings::{SiteHost, SitePorts};
pub use site_store::{SiteStore, StoreCopy};
pub use site_weights::SiteWeights;
pub use staged_store::EXCUSED_CORRUPTION;
pub use status_service::{INVALID_STATUS_LINES, start_status_service};
