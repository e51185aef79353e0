//! Host, availability zone and region of a process.

use std::net::IpAddr;

use model::{HostName, RegionName, ZoneName};

use crate::walker::Section;

/// The host of a process; these settings are the only source of its address and availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostSettings {
    /// Name of the host, unique in the deployment.
    pub name: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Region that the zone belongs to.
    pub region: RegionName,
    /// Address at which other hosts reach this host.
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
