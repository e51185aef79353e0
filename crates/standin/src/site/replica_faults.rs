//! Kinds of replicas, faults that are injected into them, and the calls that they receive.

/// The kind of workload of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaKind {
    /// A language model, which responds with event streams.
    Model {
        /// Version that is loaded initially; 0 for none.
        version: u64,
    },
    /// A plain service, which responds with a short body.
    Plain,
}

/// Faults injected into a replica. The default is no faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaFaults {
    /// Aborts the next stream after this number of events, in the middle of the following event.
    pub truncate_next_after: Option<u64>,
    /// Whether streams have neither a length nor chunks, so that a truncated one ends like a complete one.
    pub unframed: bool,
    /// Runs requests but closes the connection without a response.
    pub drop_responses: bool,
    /// Runs requests and responds with this status, without a statement on whether they have run.
    pub fail_status: Option<u16>,
    /// Rejects requests as if there were no capacity.
    pub full: bool,
    /// Seconds after which clients may return that are rejected for lack of capacity, as the value of the header.
    pub retry_after: Option<&'static str>,
    /// Id of a part of prompts. The replica reports a crash when it begins to respond to a request that contains the
    /// part, unless it is the last one.
    pub crash_part: Option<&'static str>,
    /// Requests a second that the replica claims to take from all hosts together, as the value of the header that all
    /// its responses contain.
    pub named_limit: Option<&'static str>,
    /// Whether orders are answered with 500 at once, without effect.
    pub fail_orders: bool,
    /// Whether the replica leaves, as the value of the header that all its responses contain.
    pub leaving: Option<&'static str>,
}

/// The calls that a replica can leave unanswered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReplicaCalls {
    /// Clients' requests. One without a body runs when it arrives, and its response or the events of its stream are held
    /// back; a body stays unread until the silence ends.
    Requests,
    /// Reports of the replica's state.
    Reports,
    /// Writing and reading of staged pieces.
    Staging,
    /// Orders to load.
    Orders,
}

impl ReplicaCalls {
    /// All calls of a replica.
    pub const ALL: [Self; 4] = [Self::Requests, Self::Reports, Self::Staging, Self::Orders];

    /// Returns the kind of the call of `path`.
    pub(crate) fn of(path: &str) -> Self {
        match path.strip_prefix("/fulmarline/") {
            Some("report") => Self::Reports,
            Some("order") => Self::Orders,
            Some(path) if path.starts_with("stage-") => Self::Staging,
            _ => Self::Requests,
        }
    }
}

/// Returns whether the prompt that consists of `parts` contains `part` before its last part.
pub(crate) fn contains_part(parts: &str, part: &str) -> bool {
    let shared = parts.rsplit_once(',').map_or("", |it| it.0);
    let mut ids = shared.split(',').filter_map(|it| it.trim().split_once(':'));
    ids.any(|(id, _)| id == part)
}
