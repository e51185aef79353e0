//! Request path of an entry: authentication, target selection, queueing, response relaying and at-most-once orders.

mod attempt_plan;
mod call_context;
mod call_counters;
mod call_error;
mod call_server;
mod crash_guard;
mod directory;
mod dispatch_race;
mod dispatch_state;
mod dispatcher;
mod model_call;
mod model_request;
mod order_driver;
mod order_sweeper;
mod order_table;
mod service_call;
mod slot_scheduler;
mod stream_attempts;
mod stream_events;
mod stream_relay;
mod target_response;
mod target_slot;

pub(crate) use call_counters::CallCounters;
pub(crate) use call_server::CallServer;
pub(crate) use crash_guard::CrashGuard;
