//! Splits a byte stream into complete events and checks that their ids are consecutive.

/// Complete events of a stream, ready to be forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventBatch {
    /// Bytes of one or more complete events.
    pub bytes: Vec<u8>,
}

/// Reason why a stream cannot continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// An event is missing, duplicated or out of order.
    Order,
    /// An event is larger than [`MAX_EVENT_BYTES`].
    TooLarge,
    /// The stream ended inside an event.
    InsideEvent,
    /// The stream ended without an event, and nothing marked its end.
    NoEvent,
}

/// State of the part of a client's stream that one replica sends. Another replica that continues the stream gets a cursor
/// of its own, which starts after the last event that the client has.
#[derive(Clone, Debug, Default)]
pub struct StreamCursor {
    buffer: Vec<u8>,
    /// Length of the part of the buffer that consists of comments and blank lines only, which ends with a blank line.
    comment_len: usize,
    last_id: Option<u64>,
    /// Whether the replica has sent a complete event.
    has_events: bool,
}

impl StreamCursor {
    /// Creates a cursor; `last_id` is the last event that the client has, if the stream is resumed.
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Returns the id of the last event that was read.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of buffered bytes after the last complete event.
    pub fn partial_len(&self) -> usize {
        self.buffer.len()
    }

    /// Checks whether the stream is complete when the replica's response has ended, and returns the blank lines and
    /// comments after its last event.
    ///
    /// See `docs/ARCHITECTURE.md`, "When a response is complete". `end_is_marked` states whether a length or chunks mark the
    /// end of the response. A response with neither ends with its connection, which a replica that crashes closes as well;
    /// its end therefore counts only after an event.
    ///
    /// # Errors
    ///
    /// [`StreamError`] if the replica broke the stream off.
    pub fn finish(&mut self, end_is_marked: bool) -> Result<Vec<u8>, StreamError> {
        if is_inside_event(&self.buffer) {
            return Err(StreamError::InsideEvent);
        }
        if !end_is_marked && !self.has_events {
            return Err(StreamError::NoEvent);
        }
        self.comment_len = 0;
        Ok(std::mem::take(&mut self.buffer))
    }

    /// Buffers bytes from a replica and returns all events that are complete.
    ///
    /// Comments between events are returned with the event that follows them, so that a replica which sends nothing else
    /// is not taken for one that serves the stream. The cost of a call depends on the size of `bytes` only, however
    /// many calls it takes to complete an event.
    ///
    /// # Errors
    ///
    /// [`StreamError`] if the events do not follow the last forwarded one or an event is too large.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<EventBatch>, StreamError> {
        // The bytes that are buffered already contain no end, but may contain its beginning.
        let unsearched = self.buffer.len().saturating_sub(MAX_END_BYTES - 1);
        let search_start = unsearched.max(self.comment_len);
        self.buffer.extend_from_slice(bytes);
        let end = last_event_end(&self.buffer[search_start..]).map(|it| search_start + it);
        let end = end.filter(|it| {
            let has_event = is_inside_event(&self.buffer[self.comment_len..*it]);
            if !has_event {
                self.comment_len = *it;
            }
            has_event
        });
        let Some(end) = end else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(StreamError::TooLarge);
            }
            return Ok(None);
        };
        let partial = self.buffer.split_off(end);
        let events = std::mem::replace(&mut self.buffer, partial);
        self.comment_len = 0;
        for id in event_ids(&events) {
            if self.last_id.is_some_and(|last| id != last + 1) {
                return Err(StreamError::Order);
            }
            self.last_id = Some(id);
        }
        self.has_events = true;
        Ok(Some(EventBatch { bytes: events }))
    }
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf_end = bytes
        .windows(2)
        .rposition(|it| it == b"\n\n")
        .map(|it| it + 2);
    let crlf_end = bytes
        .windows(4)
        .rposition(|it| it == b"\r\n\r\n")
        .map(|it| it + 4);
    lf_end.max(crlf_end)
}

/// Returns whether `rest`, which follows the last complete event, has begun another one. Blank lines and comments
/// belong to no event.
fn is_inside_event(rest: &[u8]) -> bool {
    rest.split_inclusive(|it| *it == b'\n').any(|line| {
        let is_blank = line.iter().all(|it| matches!(it, b'\r' | b'\n'));
        let is_comment = line.starts_with(b":") && line.ends_with(b"\n");
        !is_blank && !is_comment
    })
}

fn event_ids(bytes: &[u8]) -> impl Iterator<Item = u64> {
    bytes
        .split(|it| *it == b'\n')
        .filter_map(|line| line.strip_prefix(b"id:"))
        .filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}

/// Maximum size of the end of an event in bytes.
const MAX_END_BYTES: usize = 4;

/// Maximum size of an event in bytes, together with the comments before it; language models do not produce larger ones.
const MAX_EVENT_BYTES: usize = 256 * 1024;
