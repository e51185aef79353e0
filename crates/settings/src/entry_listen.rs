//! Listen addresses of an entry.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::walker::Section;

/// Addresses that an entry listens on and announces to other processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryListen {
    /// HTTP: requests from callers.
    pub callers: SocketAddr,
    /// HTTP: commands and state dump for operators.
    pub operators: SocketAddr,
    /// RPC: control calls from entries and agents.
    pub control: SocketAddr,
}

impl EntryListen {
    pub(crate) fn read(mut section: Section<'_>) -> Option<Self> {
        let mut first_paths = BTreeMap::new();
        let mut address = |name| {
            section.required(name, |it| {
                let address = it.peer_address()?;
                it.check_unique(&mut first_paths, address, "listen address");
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
