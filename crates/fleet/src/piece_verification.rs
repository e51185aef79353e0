//! Plan of reading staged pieces back: which one is read next, and how many are read at once.

use std::collections::VecDeque;
use std::time::Duration;

/// Reads pieces back in order, and more of them at once the longer the replica takes for each, so that the first ones are
/// still recent when the last one has been read.
#[derive(Clone, Debug)]
pub struct PieceVerification {
    queue: VecDeque<usize>,
    piece_count: usize,
    in_flight: usize,
    max_in_flight: usize,
    /// The longest time that a read has taken.
    read_time: Duration,
}

impl PieceVerification {
    /// Creates the plan of reading `pieces` of `piece_bytes` bytes each, in this order.
    pub fn new(pieces: Vec<usize>, piece_bytes: usize) -> Self {
        let max_in_flight = MAX_READ_BYTES / piece_bytes.max(1);
        Self {
            piece_count: pieces.len(),
            queue: pieces.into(),
            in_flight: 0,
            max_in_flight: max_in_flight.clamp(1, MAX_READS),
            read_time: USUAL_READ_TIME,
        }
    }

    /// Returns the piece that is read next, if another one may be read now.
    pub fn next_read(&mut self) -> Option<usize> {
        if self.in_flight >= self.allowed_reads() {
            return None;
        }
        let index = self.queue.pop_front()?;
        self.in_flight += 1;
        Some(index)
    }

    /// Records that a read has ended after `read_time`.
    pub fn record_read(&mut self, read_time: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.read_time = self.read_time.max(read_time);
    }

    /// Returns the number of reads at once with which all pieces are read within [`TARGET_TIME`].
    fn allowed_reads(&self) -> usize {
        let total_time = self.read_time.as_secs_f64() * self.piece_count as f64;
        let reads = total_time / TARGET_TIME.as_secs_f64();
        (reads.ceil() as usize).clamp(1, self.max_in_flight)
    }
}

/// Time in which all pieces are to be read; a third of the age that a verification may have.
const TARGET_TIME: Duration = Duration::from_millis(500);

/// Assumed time of a read before one has ended.
const USUAL_READ_TIME: Duration = Duration::from_millis(10);

/// Maximum number of reads at once, which share the connections of the replica with the requests of clients.
const MAX_READS: usize = 64;

/// Maximum number of bytes that are read at once; an eighth of the memory of the smallest agent.
const MAX_READ_BYTES: usize = 16 * 1024 * 1024;
