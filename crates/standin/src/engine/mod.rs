//! The model engine.

mod answer_script;
mod batch_queue;
mod cache_log;
mod engine_answers;
mod engine_faults;
mod engine_inner;
mod engine_load;
mod engine_options;
mod engine_request;
mod engine_shared;
mod load_history;
mod model_engine;
mod prefix_cache;
mod token_stream;

pub use answer_script::{AnswerScript, expected_token};
pub use engine_faults::EngineFaults;
pub use engine_options::EngineOptions;
pub use load_history::EngineReport;
pub use model_engine::ModelEngine;
pub use prefix_cache::prefix_digests;
