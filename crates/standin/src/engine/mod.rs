//! A simulated model engine with an HTTP interface.

mod batch_queue;
mod cache_log;
mod deterministic_response;
mod engine_faults;
mod engine_inner;
mod engine_load;
mod engine_options;
mod engine_request;
mod engine_responses;
mod engine_shared;
mod load_history;
mod model_engine;
mod prefix_cache;
mod token_stream;

pub use deterministic_response::{DeterministicResponse, expected_token};
pub use engine_faults::EngineFaults;
pub use engine_options::EngineOptions;
pub use load_history::EngineLoadReport;
pub use model_engine::ModelEngine;
pub use prefix_cache::prefix_digests;
