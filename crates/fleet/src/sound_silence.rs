//! How long a sound replica may be silent.

use std::time::Duration;

/// Longest time for which a sound replica neither reads nor answers anything before it goes on. What it received in that time
/// takes effect only afterwards, even if the sender has withdrawn it meanwhile. Source: the platform's rules, "a second or so".
///
/// Every promise of time that a replica has to keep is made earlier by this much.
pub const MAX_SOUND_SILENCE: Duration = Duration::from_millis(1500);
