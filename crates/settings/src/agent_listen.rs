//! Listen and advertised addresses of an agent.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::setting_error_kind::SettingErrorKind;
use crate::walker::Section;

/// Addresses that an agent listens on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentListen {
    /// HTTP: requests from entries.
    pub gate: SocketAddr,
    /// HTTP: weight chunks for other agents.
    pub peers: SocketAddr,
    /// RPC: control calls from entries.
    pub control: SocketAddr,
    /// HTTP: state dump for operators.
    pub operators: SocketAddr,
}

/// Addresses that an agent announces to other processes; each defaults to the listen address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentAdvertise {
    /// Address for requests from entries.
    pub gate: SocketAddr,
    /// Address for chunk requests from other agents.
    pub peers: SocketAddr,
    /// Address for control calls from entries.
    pub control: SocketAddr,
}

impl AgentListen {
    pub(crate) fn read(mut section: Section<'_>) -> Option<Self> {
        let mut first_paths = BTreeMap::new();
        let mut address = |name| {
            section.required(name, |it| {
                let address = it.listen_address()?;
                it.check_unique(&mut first_paths, address, "listen address");
                Some(address)
            })
        };
        let gate = address("gate");
        let peers = address("peers");
        let control = address("control");
        let operators = address("operators");
        section.finish();
        Some(Self {
            gate: gate?,
            peers: peers?,
            control: control?,
            operators: operators?,
        })
    }
}

impl AgentAdvertise {
    pub(crate) fn read(mut section: Section<'_>, listen: &AgentListen) -> Option<Self> {
        let gate = advertised_address(&mut section, "gate", listen.gate);
        let peers = advertised_address(&mut section, "peers", listen.peers);
        let control = advertised_address(&mut section, "control", listen.control);
        section.finish();
        Some(Self {
            gate: gate?,
            peers: peers?,
            control: control?,
        })
    }
}

fn advertised_address(
    section: &mut Section<'_>,
    name: &'static str,
    listen: SocketAddr,
) -> Option<SocketAddr> {
    let mut present = false;
    let address = section.optional(name, |it| {
        present = true;
        it.peer_address()
    });
    if present {
        return address;
    }
    if listen.ip().is_unspecified() {
        section.report_at(
            name,
            SettingErrorKind::UnspecifiedAddress {
                advice: "set this field because the agent listens on all addresses",
            },
        );
        return None;
    }
    Some(listen)
}
