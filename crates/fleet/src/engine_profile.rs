//! Latency model of a batching engine, based on the performance figures that its operator publishes.

use std::time::Duration;

/// Performance figures of a batching engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Model that the replicas serve.
    pub model: String,
    /// Requests that one replica processes concurrently.
    pub slots: u32,
    /// Time of one decoding step with an empty batch, in milliseconds.
    pub step_ms: f64,
    /// Time that each request in the batch adds to a step, in milliseconds.
    pub step_ms_per_request: f64,
    /// Time that each thousand tokens of context adds to a step, in milliseconds.
    pub step_ms_per_kilotoken: f64,
    /// Prompt tokens that are prefilled per second.
    pub prefill_tokens_per_second: f64,
    /// Maximum number of prompt tokens that are prefilled in one pass.
    pub prefill_chunk: u32,
    /// Decoding steps per pass while requests are decoding.
    pub steps_per_pass: u32,
    /// Mean prompt length of a request, in tokens.
    pub mean_prompt_tokens: f64,
    /// Mean answer length of a request, in tokens.
    pub mean_answer_tokens: f64,
    /// Number of pieces that one version of the weights is split into.
    pub pieces: u32,
    /// Time that a replica takes to load staged weights.
    pub load_time: Duration,
    /// Tokens that fit into the memory of one replica, if it is limited.
    pub token_capacity: Option<u64>,
}

/// Size of a request to an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of answer tokens.
    pub max_answer_tokens: u32,
}

/// Known load of one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BatchLoad {
    /// Requests that were sent and have not finished.
    pub running: u32,
    /// Prompt tokens of the running requests that have not returned their first event.
    pub pending_prefill_tokens: u32,
}

impl EngineProfile {
    /// Returns the time of one decoding step while `running` requests are decoding, in milliseconds.
    pub fn step_ms(&self, running: u32) -> f64 {
        let requests = f64::from(running.min(self.slots));
        let context = requests * (self.mean_prompt_tokens + self.mean_answer_tokens / 2.0) / 1000.0;
        self.step_ms + requests * self.step_ms_per_request + context * self.step_ms_per_kilotoken
    }

    /// Predicts the time from sending a request of `size` to its first event, in milliseconds.
    ///
    /// The prediction adds up the wait for a slot if all are taken, the rest of the current pass, the prefill of all
    /// earlier prompts and the request's own, and the decoding steps of one pass. Each full `prefill_chunk` of prompt
    /// tokens takes a further pass with its decoding steps.
    pub fn first_event_ms(&self, load: BatchLoad, size: RequestSize) -> f64 {
        let step = self.step_ms(load.running + 1);
        let pass = step * f64::from(self.steps_per_pass);
        let prefill_tokens = f64::from(load.pending_prefill_tokens) + f64::from(size.prompt_tokens);
        let prefill = prefill_tokens / self.prefill_tokens_per_second * 1000.0;
        let extra_passes = (prefill_tokens / f64::from(self.prefill_chunk.max(1))).floor() * pass;
        self.slot_wait_ms(load.running) + pass / 2.0 + prefill + extra_passes + pass
    }

    /// Predicts how long a request waits for a slot while `running` others are in flight, in milliseconds.
    pub fn slot_wait_ms(&self, running: u32) -> f64 {
        if running < self.slots {
            return 0.0;
        }
        let ahead = f64::from(running - self.slots + 1);
        ahead * self.service_ms() / f64::from(self.slots.max(1))
    }

    /// Predicts the time from the first event of a request of `size` to its last one in a full batch, in milliseconds; `None`
    /// if the length of the answer is unknown.
    pub fn answer_ms(&self, size: RequestSize) -> Option<f64> {
        let token_ms = self.service_ms() / self.mean_answer_tokens.max(1.0);
        let tokens = size.max_answer_tokens;
        (tokens > 0).then(|| f64::from(tokens) * token_ms)
    }

    /// Returns the most tokens that a request of `size` holds in the memory of a replica: its prompt and its longest answer. Those of a
    /// stream that is resumed are the same, as what it has of its answer is part of both. What is not declared is assumed to be long.
    pub fn held_tokens(&self, size: RequestSize) -> u64 {
        let tokens = |declared: u32, mean: f64| match declared {
            0 => (mean * LONG_FACTOR).max(MIN_LONG_TOKENS) as u64,
            _ => u64::from(declared),
        };
        let prompt = tokens(size.prompt_tokens, self.mean_prompt_tokens);
        prompt + tokens(size.max_answer_tokens, self.mean_answer_tokens)
    }

    /// Returns whether a request of `size` fits into the memory of a replica that is estimated to hold `held_tokens`.
    pub fn fits(&self, size: RequestSize, held_tokens: u64) -> bool {
        self.token_capacity.is_none_or(|capacity| {
            let usable = capacity as f64 * USABLE_SHARE;
            (held_tokens + self.held_tokens(size)) as f64 <= usable
        })
    }

    /// Returns how long a request of mean size occupies a slot of a full batch, in milliseconds.
    pub fn service_ms(&self) -> f64 {
        let step = self.step_ms(self.slots);
        let others_prefill = f64::from(self.slots) * self.mean_prompt_tokens
            / self.prefill_tokens_per_second
            * 1000.0;
        self.mean_answer_tokens * step + others_prefill
    }
}

/// Share of a replica's memory that is used: others may have sent requests that this entry has not heard of yet, or be cut off.
const USABLE_SHARE: f64 = 0.8;

/// Length of a prompt or answer that is not declared, as a multiple of the mean and in tokens at least.
pub(crate) const LONG_FACTOR: f64 = 4.0;
const MIN_LONG_TOKENS: f64 = 1024.0;
