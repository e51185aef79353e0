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
}

/// State of the stream of one client across all replicas that serve it.
#[derive(Clone, Debug, Default)]
pub struct StreamCursor {
    buffer: Vec<u8>,
    last_id: Option<u64>,
}

impl StreamCursor {
    /// Creates a cursor; `last_id` is the last event that the client has, if it resumes a stream.
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            buffer: Vec::new(),
            last_id,
        }
    }

    /// Returns the id of the last event that was forwarded.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of buffered bytes after the last complete event.
    pub fn partial_len(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the bytes after the last complete event, at the end of a complete stream.
    pub fn take_partial(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffer)
    }

    /// Discards an incomplete event because the replica failed.
    pub fn drop_partial(&mut self) {
        self.buffer.clear();
    }

    /// Buffers bytes from a replica and returns all events that are complete.
    ///
    /// # Errors
    ///
    /// [`StreamError`] if the events do not follow the last forwarded one or an event is too large.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<EventBatch>, StreamError> {
        self.buffer.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.buffer) else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(StreamError::TooLarge);
            }
            return Ok(None);
        };
        let partial = self.buffer.split_off(end);
        let events = std::mem::replace(&mut self.buffer, partial);
        for id in event_ids(&events) {
            if self.last_id.is_some_and(|last| id != last + 1) {
                return Err(StreamError::Order);
            }
            self.last_id = Some(id);
        }
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

fn event_ids(bytes: &[u8]) -> impl Iterator<Item = u64> {
    bytes
        .split(|it| *it == b'\n')
        .filter_map(|line| line.strip_prefix(b"id:"))
        .filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}

/// Maximum size of an event in bytes; language models do not produce larger ones.
const MAX_EVENT_BYTES: usize = 256 * 1024;
