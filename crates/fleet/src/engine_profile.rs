//! What an engine needs for a request, from the figures that its operator publishes.

use std::time::Duration;

/// Figures of a batching engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Model that the replicas serve.
    pub model: String,
    /// Requests that one replica processes at once.
    pub slots: u32,
    /// Time of one token step with an empty batch, in milliseconds.
    pub step_ms: f64,
    /// Added to a step by each request of the batch, in milliseconds.
    pub step_ms_per_request: f64,
    /// Added to a step by each thousand tokens of context, in milliseconds.
    pub step_ms_per_kilotoken: f64,
    /// Prompt tokens that are read in a second.
    pub prefill_tokens_per_second: f64,
    /// Prompt tokens that one pass reads at most.
    pub prefill_chunk: u32,
    /// Token steps of one pass that has writers.
    pub steps_per_pass: u32,
    /// Mean prompt of a request, in tokens.
    pub usual_prompt: f64,
    /// Mean answer of a request, in tokens.
    pub usual_answer: f64,
    /// Pieces that one version of the weights consists of.
    pub pieces: u32,
    /// Time for a replica to load staged weights.
    pub load_time: Duration,
}

/// What a request asks of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that the answer has at most.
    pub max_answer_tokens: u32,
}

/// What is known to be at work on one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BatchLoad {
    /// Requests that were sent and have not ended.
    pub running: u32,
    /// Prompt tokens of those that have not shown their first event.
    pub unread_tokens: u32,
}

impl EngineProfile {
    /// Returns the time of one token step in milliseconds while `running` requests write.
    pub fn step_ms(&self, running: u32) -> f64 {
        let requests = f64::from(running.min(self.slots));
        let context = requests * (self.usual_prompt + self.usual_answer / 2.0) / 1000.0;
        self.step_ms + requests * self.step_ms_per_request + context * self.step_ms_per_kilotoken
    }

    /// Predicts the time from sending a request of `size` to its first event, in milliseconds.
    ///
    /// A request waits for a slot when all are taken, then for the end of the current pass, then for the prompts before
    /// it and its own to be read, and then for the steps of one pass.
    pub fn first_event_ms(&self, load: BatchLoad, size: RequestSize) -> f64 {
        let step = self.step_ms(load.running + 1);
        let pass = step * f64::from(self.steps_per_pass);
        let unread = f64::from(load.unread_tokens) + f64::from(size.prompt_tokens);
        let read = unread / self.prefill_tokens_per_second * 1000.0;
        let extra_passes = (unread / f64::from(self.prefill_chunk.max(1))).floor() * pass;
        self.slot_wait_ms(load.running) + pass / 2.0 + read + extra_passes + pass
    }

    /// Predicts how long a request waits for a slot behind `running` others, in milliseconds.
    pub fn slot_wait_ms(&self, running: u32) -> f64 {
        if running < self.slots {
            return 0.0;
        }
        let ahead = f64::from(running - self.slots + 1);
        ahead * self.service_ms() / f64::from(self.slots.max(1))
    }

    /// Returns how long a usual request occupies a slot of a full batch, in milliseconds.
    pub fn service_ms(&self) -> f64 {
        let step = self.step_ms(self.slots);
        let others_read =
            f64::from(self.slots) * self.usual_prompt / self.prefill_tokens_per_second * 1000.0;
        self.usual_answer * step + others_read
    }
}
