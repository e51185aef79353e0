//! Listeners of an agent.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::setting_problem::SettingProblem;
use crate::walker::Section;

/// Addresses that an agent listens on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentListen {
    /// HTTP for requests from entries.
    pub gate: SocketAddr,
    /// HTTP for other agents that fetch chunks of weights.
    pub peers: SocketAddr,
    /// RPC for entries.
    pub control: SocketAddr,
    /// HTTP for operators: the state dump.
    pub operators: SocketAddr,
}

/// Addresses that an agent tells others to use; each is the one that it listens on unless the settings differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentAdvertise {
    /// Where entries send requests.
    pub gate: SocketAddr,
    /// Where other agents fetch chunks.
    pub peers: SocketAddr,
    /// Where entries call.
    pub control: SocketAddr,
}

impl AgentListen {
    pub(crate) fn read(mut section: Section<'_>) -> Option<Self> {
        let mut seen = BTreeMap::new();
        let mut address = |name| {
            section.required(name, |it| {
                let address = it.listen_address()?;
                it.check_new(&mut seen, address, "listen address");
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
        let gate = advertised(&mut section, "gate", listen.gate);
        let peers = advertised(&mut section, "peers", listen.peers);
        let control = advertised(&mut section, "control", listen.control);
        section.finish();
        Some(Self {
            gate: gate?,
            peers: peers?,
            control: control?,
        })
    }
}

fn advertised(
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
            SettingProblem::Unspecified {
                advice: "set this field because the agent listens on all addresses",
            },
        );
        return None;
    }
    Some(listen)
}
