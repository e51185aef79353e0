//! Cuts a stream of bytes into whole events and checks that their ids follow each other.

/// Whole events of a stream, ready to be passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventPiece {
    /// Bytes of one or more whole events.
    pub bytes: Vec<u8>,
}

/// Why a stream cannot go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// An event is missing, repeated or out of order.
    Order,
    /// An event is larger than [`MAX_EVENT_BYTES`].
    TooLarge,
}

/// The state of one client's stream over all replicas that contribute to it.
#[derive(Clone, Debug, Default)]
pub struct StreamCursor {
    buffer: Vec<u8>,
    last_id: Option<u64>,
}

impl StreamCursor {
    /// Starts after event `last_id`, where the client resumes a stream of its own.
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            buffer: Vec::new(),
            last_id,
        }
    }

    /// Returns the id of the last event that was passed on.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Says whether bytes of an unfinished event are held back.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Takes the bytes after the last whole event, at the end of a complete stream.
    pub fn take_partial(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffer)
    }

    /// Drops an unfinished event, because its replica broke off.
    pub fn drop_partial(&mut self) {
        self.buffer.clear();
    }

    /// Takes bytes of a replica and returns the whole events among them.
    ///
    /// # Errors
    ///
    /// [`StreamFault`] when the events do not follow the last one that was passed on.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<EventPiece>, StreamFault> {
        self.buffer.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.buffer) else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(StreamFault::TooLarge);
            }
            return Ok(None);
        };
        let rest = self.buffer.split_off(end);
        let whole = std::mem::replace(&mut self.buffer, rest);
        for id in event_ids(&whole) {
            if self.last_id.is_some_and(|last| id != last + 1) {
                return Err(StreamFault::Order);
            }
            self.last_id = Some(id);
        }
        Ok(Some(EventPiece { bytes: whole }))
    }
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let unix = bytes
        .windows(2)
        .rposition(|it| it == b"\n\n")
        .map(|it| it + 2);
    let dos = bytes
        .windows(4)
        .rposition(|it| it == b"\r\n\r\n")
        .map(|it| it + 4);
    unix.max(dos)
}

fn event_ids(bytes: &[u8]) -> impl Iterator<Item = u64> {
    bytes
        .split(|it| *it == b'\n')
        .filter_map(|line| line.strip_prefix(b"id:"))
        .filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}

/// Bytes of one event; larger ones are not events of a language model.
const MAX_EVENT_BYTES: usize = 256 * 1024;
