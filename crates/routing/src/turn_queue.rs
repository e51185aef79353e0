//! The turns of one replica that belong to one entry.

use std::collections::VecDeque;
use std::time::Duration;

use crate::member_table::MemberTable;
use crate::turn_schedule::TurnSchedule;

/// Turns of one replica that this entry may use.
#[derive(Clone, Debug, Default)]
pub(crate) struct TurnQueue {
    /// The first turn whose owner was not determined yet.
    pub(crate) next_turn: Option<u64>,
    /// Times of the turns of this entry that may be used, in terms of the time base.
    pub(crate) turns: VecDeque<Duration>,
    pub(crate) used: u64,
    pub(crate) lapsed: u64,
}

impl TurnQueue {
    /// Determines the owners of the turns up to `base_now`, and drops those that may not be used any more.
    pub(crate) fn refresh(
        &mut self,
        schedule: &TurnSchedule,
        members: &MemberTable,
        base_now: Duration,
        may_use: bool,
    ) {
        let end = schedule.first_after(base_now);
        let oldest = base_now.saturating_sub(schedule.lifetime());
        let first = schedule.first_after(oldest);
        // Turns that are taken back by another anchor are not used twice, unless their numbers have nothing in common.
        let known_end = schedule.first_after(base_now + MAX_TURN_LEAD);
        let next = self.next_turn.filter(|it| *it <= known_end).unwrap_or(end);
        self.next_turn = Some(next.max(end));
        for turn in next.max(first)..end {
            if members.owns(schedule.turn_digest(turn)) {
                self.turns.push_back(schedule.time_of(turn));
            }
        }
        let owned = self.turns.len();
        self.turns.retain(|it| may_use && *it > oldest);
        self.lapsed += (owned - self.turns.len()) as u64;
    }

    /// Uses a turn; returns `false` if there is none.
    pub(crate) fn take(&mut self) -> bool {
        let is_taken = self.turns.pop_front().is_some();
        self.used += u64::from(is_taken);
        is_taken
    }

    /// Drops all turns, since they are counted from another time base or anchor.
    pub(crate) fn restart(&mut self) {
        self.next_turn = None;
        self.turns.clear();
    }
}

/// Time by which the turns of this entry may be ahead of an anchor that it adopts and be the same turns.
pub(crate) const MAX_TURN_LEAD: Duration = Duration::from_secs(4);
