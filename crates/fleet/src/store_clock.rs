//! When the store gave an answer, as this machine's clock has it.

use std::time::Duration;

/// Compares the store's steady clock with that of this machine.
///
/// An answer may come from any moment since its question, and the store holds questions for long. The store states its
/// own time, and the answer that was least delayed tells how the two clocks stand to each other.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    /// Least difference seen between this machine's time of receipt and the store's time of an answer, in milliseconds.
    offset_ms: Option<i64>,
}

impl StoreClock {
    /// Returns the store's time at `moment`, or `None` before its first answer.
    pub fn store_ms(&self, moment: Duration) -> Option<u64> {
        let moment_ms = i64::try_from(moment.as_millis()).ok()?;
        u64::try_from(moment_ms.saturating_sub(self.offset_ms?)).ok()
    }

    /// Returns the moment at which the store gave an answer with its time `store_ms`, to a question of moment `sent`; the
    /// answer was received at `received`. All moments are counted from the start of this machine.
    ///
    /// The result lies between the two moments and may be too late by the shortest delay of an answer.
    pub fn answered(&mut self, store_ms: u64, sent: Duration, received: Duration) -> Duration {
        let Ok(store_ms) = i64::try_from(store_ms) else {
            return sent;
        };
        let received_ms = i64::try_from(received.as_millis()).unwrap_or(i64::MAX);
        let offset = received_ms.saturating_sub(store_ms);
        let least = self.offset_ms.map_or(offset, |it| it.min(offset));
        self.offset_ms = Some(least);
        let answered_ms = u64::try_from(store_ms.saturating_add(least)).unwrap_or(0);
        Duration::from_millis(answered_ms).clamp(sent, received.max(sent))
    }
}
