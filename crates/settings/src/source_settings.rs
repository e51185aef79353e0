//! Addresses of the sources of weights.

use std::net::SocketAddr;

use crate::walker::Section;

/// Addresses of the sources of weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceSettings {
    /// The origin server of weights.
    pub origin: SocketAddr,
    /// The rate-limited weight store, if the deployment has one.
    pub weight_store: Option<SocketAddr>,
}

impl SourceSettings {
    pub(crate) fn read(mut section: Section<'_>) -> Option<Self> {
        let origin = section.required("origin", |it| it.peer_address());
        let weight_store = section.optional("weight_store", |it| it.peer_address());
        section.finish();
        Some(Self {
            origin: origin?,
            weight_store,
        })
    }
}
