//! Addresses of the platform services.

use std::net::SocketAddr;

use crate::walker::Section;

/// Addresses of the platform services; `docs/PLATFORM.md` specifies their interfaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The transactional table service.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The service that lists live and leaving hosts.
    pub hosts: Option<SocketAddr>,
}

impl PlatformSettings {
    pub(crate) fn read(mut section: Section<'_>) -> Option<Self> {
        let table = section.required("table", |it| it.peer_address());
        let objects = section.required("objects", |it| it.peer_address());
        let hosts = section.optional("hosts", |it| it.peer_address());
        section.finish();
        Some(Self {
            table: table?,
            objects: objects?,
            hosts,
        })
    }
}
