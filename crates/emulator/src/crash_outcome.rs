//! What happened in an emulation.

use std::time::Duration;

/// What happened in an emulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CrashOutcome {
    /// Replicas that guilty parts crashed.
    pub crashes: u64,
    /// Replicas that crashed by accident.
    pub accidents: u64,
    /// Time from the fifth crash of a guilty part until every entry refused it, if all did.
    pub agreed_after: Option<Duration>,
    /// Guilty requests that were sent to replicas later than the bound after the fifth crash.
    pub late_guilty: u64,
    /// Sound requests.
    pub sound: u64,
    /// Sound requests that were refused because of their parts.
    pub sound_refused: u64,
    /// Sound requests that began at the first replica that they were sent to.
    pub sound_first_attempt: u64,
    /// Parts that were held back although they are sound.
    pub sound_parts_held: u64,
    /// Datagrams with evidence, and their bytes.
    pub datagrams: u64,
    /// Bytes of these datagrams.
    pub bytes: u64,
}
