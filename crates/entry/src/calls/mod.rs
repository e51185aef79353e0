//! Callers' HTTP: who may ask, which target answers, and how the answer gets back whole.

mod attempt_outcome;
mod call_context;
mod call_counters;
mod call_refusal;
mod call_server;
mod directory;
mod dispatcher;
mod order_book;
mod stream_relay;

pub(crate) use call_counters::CallCounters;
pub(crate) use call_server::CallServer;
