//! How long a sound replica may be silent.

use std::time::Duration;

/// Longest time for which a sound replica neither reads nor answers anything before it goes on. What it received in that time
/// takes effect only afterwards, even if the sender has withdrawn it meanwhile. Source: the platform's rules, "a second or so".
///
/// Every promise of time that a replica has to keep is made earlier by this much.
pub const MAX_SOUND_SILENCE: Duration = Duration::from_millis(1500);

/// Time before a version takes effect at which entries stop using older weights: a replica may be silent from then on, and
/// the timers of an entry may be late.
///
/// That the time of a declaration is not known exactly needs no reserve, since its earliest possible time counts. The usual
/// wait at a replica is predicted for each request. See `docs/incidents/silent-replicas.md`.
pub const SWITCH_RESERVE: Duration = MAX_SOUND_SILENCE.saturating_add(TIMER_RESERVE);

/// Usual lateness of the timers of a process. What they have been later recently is added.
pub const TIMER_RESERVE: Duration = Duration::from_millis(100);

/// Time from the choice of a replica until the request is written to a connection. A request that takes longer is not sent if
/// its time limit has become too long.
pub const SEND_RESERVE: Duration = Duration::from_millis(100);
