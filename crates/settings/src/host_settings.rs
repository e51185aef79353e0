//! Where a process runs.

use std::net::IpAddr;

use model::{HostName, RegionName, ZoneName};

use crate::walker::Section;

/// The host of a process; a process learns its address and availability zone from here only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostSettings {
    /// Name of the host, unique in the deployment.
    pub name: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Region that holds the zone.
    pub region: RegionName,
    /// Address of the host as others see it.
    pub ip: IpAddr,
}

impl HostSettings {
    pub(crate) fn read(mut section: Section<'_>) -> Option<Self> {
        let name = section.required("name", |it| it.name());
        let zone = section.required("zone", |it| it.name());
        let region = section.required("region", |it| it.name());
        let ip = section.required("ip", |it| it.ip());
        section.finish();
        Some(Self {
            name: name?,
            zone: zone?,
            region: region?,
            ip: ip?,
        })
    }
}
