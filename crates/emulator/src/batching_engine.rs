//! Model of a replica whose engine batches: a fixed number of slots, a bounded queue, and prompts that are read in pieces
//! between the decoding steps of other requests.

use std::collections::VecDeque;
use std::time::Duration;

use fleet::EngineProfile;

use crate::room_scenario::podbor_engine;

/// A batching engine with the requests that it holds.
#[derive(Debug)]
pub(crate) struct BatchingEngine {
    profile: EngineProfile,
    active: Vec<BatchedRequest>,
    waiting: VecDeque<BatchedRequest>,
    /// Prompt tokens read in the current step, by index of the active request.
    reads: Vec<(usize, u32)>,
    is_busy: bool,
}

/// A request at an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BatchedRequest {
    /// Number of the call.
    pub(crate) call: usize,
    /// Prompt tokens that have not been read.
    pub(crate) unread: u32,
    /// Tokens of the prompt and of the answer so far.
    pub(crate) context: u32,
    /// Tokens of the answer that have been written.
    pub(crate) written: u32,
    /// Length of the answer in tokens.
    pub(crate) answer: u32,
}

/// An event of a stream, or its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StreamEvent {
    pub(crate) call: usize,
    pub(crate) is_first: bool,
    pub(crate) is_last: bool,
}

impl BatchingEngine {
    pub(crate) fn new(profile: EngineProfile) -> Self {
        Self {
            profile,
            active: Vec::new(),
            waiting: VecDeque::new(),
            reads: Vec::new(),
            is_busy: false,
        }
    }

    /// Takes a request; returns false if the queue is full.
    pub(crate) fn admit(&mut self, request: BatchedRequest) -> bool {
        let has_room = self.waiting.len() < QUEUE_CAPACITY;
        if has_room {
            self.waiting.push_back(request);
        }
        has_room
    }

    pub(crate) fn is_busy(&self) -> bool {
        self.is_busy
    }

    /// Removes all requests, for example because the replica was lost, and returns their calls.
    pub(crate) fn clear(&mut self) -> Vec<usize> {
        let lost = self.active.drain(..).chain(self.waiting.drain(..));
        let calls = lost.map(|it| it.call).collect();
        self.reads.clear();
        self.is_busy = false;
        calls
    }

    /// Starts the next step and returns its duration, or `None` if there is nothing to do.
    pub(crate) fn begin_step(&mut self) -> Option<Duration> {
        while self.active.len() < self.profile.slots as usize
            && let Some(request) = self.waiting.pop_front()
        {
            self.active.push(request);
        }
        self.is_busy = !self.active.is_empty();
        if !self.is_busy {
            return None;
        }
        let writing = self.active.iter().filter(|it| it.unread == 0);
        let (requests, context) = writing.fold((0, 0), |it, next| (it.0 + 1, it.1 + next.context));
        let mut budget = self.profile.prefill_chunk / self.profile.steps_per_pass;
        let mut read = 0;
        for (idx, request) in self.active.iter().enumerate() {
            let tokens = request.unread.min(budget);
            if tokens > 0 {
                budget -= tokens;
                read += tokens;
                self.reads.push((idx, tokens));
            }
        }
        let profile = &self.profile;
        let mut ms = f64::from(read) / profile.prefill_tokens_per_second * 1000.0;
        if requests > 0 {
            ms += profile.step_ms
                + f64::from(requests) * profile.step_ms_per_request
                + f64::from(context) / 1000.0 * profile.step_ms_per_kilotoken;
        }
        Some(Duration::from_secs_f64(ms / 1000.0))
    }

    /// Ends the current step and returns the events of streams.
    pub(crate) fn end_step(&mut self) -> Vec<StreamEvent> {
        let mut events = Vec::new();
        for request in self.active.iter_mut().filter(|it| it.unread == 0) {
            request.written += 1;
            request.context += 1;
            let is_last = request.written >= request.answer;
            if is_last || request.written.is_multiple_of(self.profile.steps_per_pass) {
                events.push(StreamEvent {
                    call: request.call,
                    is_first: request.written == self.profile.steps_per_pass,
                    is_last,
                });
            }
        }
        for (idx, tokens) in self.reads.drain(..) {
            self.active[idx].unread -= tokens;
        }
        self.active.retain(|it| it.written < it.answer);
        events
    }
}

/// Returns the time to the first event of a prompt at a replica of podbor that writes eight other answers and has just begun
/// to read `long_prompts` prompts of 3,880 tokens.
pub fn first_event_beside(long_prompts: usize, prompt_tokens: u32) -> Duration {
    let mut engine = BatchingEngine::new(podbor_engine());
    let request = |call, unread| BatchedRequest {
        call,
        unread,
        context: 850,
        written: 0,
        answer: 126,
    };
    let others = (0..8).map(|_| 0).chain(vec![3880; long_prompts]);
    let measured = usize::MAX;
    engine.waiting.extend(others.map(|it| request(0, it)));
    engine.waiting.push_back(request(measured, prompt_tokens));
    let mut elapsed = Duration::ZERO;
    while let Some(duration) = engine.begin_step() {
        elapsed += duration;
        let events = engine.end_step();
        if events.iter().any(|it| it.call == measured) {
            break;
        }
    }
    elapsed
}

/// Requests that wait for a slot.
const QUEUE_CAPACITY: usize = 24;
