//! Decision logic of the request path: load balancing, admission control, queueing, retries and at-most-once orders.
//!
//! The crate is free of I/O. The `entry` and `agent` crates pass in events and the current time and execute the
//! returned actions; `docs/decisions/0020-requests.md` discusses the alternatives. Nothing here may depend on sockets,
//! threads, clocks or the platform: randomness is passed in as a closure and time as a value, so that every decision
//! is reproducible.

mod admission_gate;
mod attempt_race;
mod call_kind;
mod cold_turns;
mod concurrency_limit;
mod crash_conclusion;
mod crash_digest;
mod crash_score;
mod crash_table;
mod digest_schedule;
mod fair_queue;
mod hedge_timer;
mod hold_table;
mod in_flight_table;
mod lifetime_id;
mod limit_change;
mod limit_digest;
mod limit_table;
mod load_meter;
mod member_table;
mod named_limit;
mod order_event;
mod order_row;
mod order_state_machine;
mod outlier_table;
mod overload_tracker;
mod part_admission;
mod part_id;
mod part_ranking;
mod prefix_table;
mod queue_backlog;
mod queue_request;
mod rate_gate;
mod replica_limit;
mod request_rate;
mod response_time;
mod resumable_stream;
mod retry_budget;
mod service_rate;
mod survival_log;
mod target_choice;
mod time_base;
mod turn_anchor;
mod turn_grant;
mod turn_queue;
mod turn_schedule;
mod wait_estimate;

pub use admission_gate::{AdmissionGate, AdmissionRefusal, AdmissionRequest, RevokeReply};
pub use attempt_race::{AttemptRace, RaceAction};
pub use call_kind::{CallKind, call_kind};
pub use cold_turns::ColdBound;
pub use concurrency_limit::{ConcurrencyLimit, LatencyTargets};
pub use crash_conclusion::{CrashConclusion, PartChange};
pub use crash_digest::{
    CrashDigest, CrashRecord, DigestSource, HoldRecord, MergeEffect, SurvivalRecord, TrialRecord,
};
pub use crash_table::CrashTable;
pub use digest_schedule::DigestSchedule;
pub use fair_queue::FairQueue;
pub use hedge_timer::HedgeTimer;
pub use hold_table::HoldState;
pub use in_flight_table::InFlightTable;
pub use lifetime_id::LifetimeId;
pub use limit_change::{LimitChange, LimitState};
pub use limit_digest::{LimitDigest, LimitRecord};
pub use limit_table::LimitTable;
pub use load_meter::LoadMeter;
pub use named_limit::NamedLimit;
pub use order_event::{OrderAction, OrderEvent, OrderResponse};
pub use order_row::{OrderGate, OrderOutcome, OrderRow, OrderState};
pub use order_state_machine::OrderStateMachine;
pub use outlier_table::OutlierTable;
pub use overload_tracker::{OverloadState, OverloadTracker, OverloadTransition};
pub use part_admission::PartAdmission;
pub use part_id::{PartId, PoolId};
pub use prefix_table::PrefixTable;
pub use queue_request::{QueueLimits, QueueRefusal, QueueRequest, QueueTicket};
pub use rate_gate::RateGate;
pub use request_rate::RequestRate;
pub use resumable_stream::{RecoveryAction, ResumableStream, SilenceAction, TokenAction};
pub use retry_budget::RetryBudget;
pub use target_choice::{ChoiceRequest, ChoiceStrategy, TargetCandidate, choose_target};
pub use turn_anchor::TurnAnchor;
pub use turn_grant::TurnGrant;
pub use wait_estimate::{expected_wait, has_capacity, in_flight};
