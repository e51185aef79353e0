//! Listeners of an entry.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::walker::Section;

/// Addresses that an entry listens on and tells others to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryListen {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for operators: commands and the state dump.
    pub operators: SocketAddr,
    /// RPC for entries and agents.
    pub control: SocketAddr,
}

impl EntryListen {
    pub(crate) fn read(mut section: Section<'_>) -> Option<Self> {
        let mut seen = BTreeMap::new();
        let mut address = |name| {
            section.required(name, |it| {
                let address = it.peer_address()?;
                it.check_new(&mut seen, address, "listen address");
                Some(address)
            })
        };
        let callers = address("callers");
        let operators = address("operators");
        let control = address("control");
        section.finish();
        Some(Self {
            callers: callers?,
            operators: operators?,
            control: control?,
        })
    }
}
