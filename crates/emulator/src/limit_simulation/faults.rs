//! Faults of the entries of an emulation of limits.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::entry_clock::EntryClock;
use crate::limit_scenario::{EntryFault, LimitScenario};
use crate::limit_simulation::{LimitEvent, LimitSimulation};
use crate::limited_entry::LimitedEntry;

impl LimitSimulation {
    pub(super) fn begin_fault(&mut self) {
        self.queue.schedule(FAULT_INTERVAL, LimitEvent::Fault);
        let now = self.queue.now();
        let entry = self.random.random_range(0..self.entries.len());
        let until = now + Duration::from_millis(self.random.random_range(500..20_000));
        match self.scenario.fault {
            EntryFault::None => {}
            EntryFault::Restart => self.restart(entry),
            EntryFault::Addition => {
                let clock = Self::new_clock(&self.scenario, &mut self.random);
                let added = LimitedEntry::new(self.entries.len(), now, self.epoch, clock);
                self.entries.push(added);
            }
            EntryFault::AllRestart => (0..self.entries.len()).for_each(|it| self.restart(it)),
            EntryFault::HalfFreeze => {
                let until = now + Duration::from_millis(self.random.random_range(500..8000));
                for frozen in self.entries.iter_mut().step_by(2) {
                    frozen.frozen_until = frozen.frozen_until.max(until);
                }
            }
            EntryFault::HalfCut | EntryFault::ThirdCut => self.link_cut_until = Duration::MAX,
            EntryFault::Freeze => self.entries[entry].frozen_until = until,
            EntryFault::Cut => self.entries[entry].cut_until = until,
            EntryFault::LinkCut => self.link_cut_until = until,
            EntryFault::ZoneCut => {
                let zone = self.exchange.zone_of(entry);
                for other in (0..self.entries.len()).filter(|it| self.exchange.zone_of(*it) == zone)
                {
                    self.entries[other].cut_until = until;
                }
            }
        }
    }

    /// Returns whether a datagram between two entries arrives.
    pub(super) fn is_connected(&self, from: usize, to: usize) -> bool {
        let now = self.queue.now();
        let is_cut = |it: usize| now < self.entries[it].cut_until;
        let is_in_zone = self.exchange.zone_of(from) == self.exchange.zone_of(to);
        match self.scenario.fault {
            EntryFault::ZoneCut => is_in_zone || (!is_cut(from) && !is_cut(to)),
            EntryFault::LinkCut => {
                let zones = self.exchange.zone_of(from) + self.exchange.zone_of(to);
                is_in_zone || zones != 1 || now >= self.link_cut_until
            }
            EntryFault::HalfCut | EntryFault::ThirdCut => {
                now >= self.link_cut_until
                    || self.is_in_first_part(from) == self.is_in_first_part(to)
            }
            _ => !is_cut(from) && !is_cut(to),
        }
    }

    fn restart(&mut self, entry: usize) {
        let clock = self.entries[entry].clock;
        self.entries[entry] = LimitedEntry::new(entry, self.queue.now(), self.epoch, clock);
    }

    /// Returns whether `entry` belongs to the first of two parts that do not reach each other.
    fn is_in_first_part(&self, entry: usize) -> bool {
        let entries = self.entries.len();
        match self.scenario.fault {
            EntryFault::ThirdCut => entry < entries / 3,
            _ => entry < entries / 2,
        }
    }

    /// Returns the clock of a host, which only differs from others if replicas become cold.
    pub(super) fn new_clock(scenario: &LimitScenario, random: &mut StdRng) -> EntryClock {
        let Some(cold) = scenario.cold else {
            return EntryClock::new(Duration::ZERO);
        };
        let boot_age = Duration::from_millis(random.random_range(0..MAX_BOOT_AGE_MS));
        let mut clock = EntryClock::new(boot_age);
        clock.drift = random.random_range(-cold.max_drift..=cold.max_drift);
        clock
    }
}

/// Longest time since the start of a host at the start of the emulation, in milliseconds.
const MAX_BOOT_AGE_MS: u64 = 3_600_000;

/// Time between two faults.
const FAULT_INTERVAL: Duration = Duration::from_secs(4);
