//! What an agent stands before.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use model::{ModelName, ServiceName};

use crate::walker::{Field, Section};

/// The engine or plain service of a target host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetSettings {
    /// A model engine.
    Model {
        /// The model that the engine serves.
        model: ModelName,
        /// Address of the engine, on the same host.
        engine: SocketAddr,
        /// Whether the engine refuses an order with an old fencing number; if not, the agent does it alone.
        checks_fencing: bool,
        /// Whether the engine can load a version while it serves another.
        loads_beside: bool,
        /// Requests that the engine works on at once.
        max_in_flight: u32,
    },
    /// A plain service.
    Service {
        /// The service.
        service: ServiceName,
        /// Address of the service, on the same host.
        address: SocketAddr,
        /// Requests that the service works on at once.
        max_in_flight: u32,
    },
}

impl TargetSettings {
    pub(crate) fn read(field: &Field<'_>) -> Option<Self> {
        let mut section = field.section()?;
        let kind = section.required("kind", |it| it.choice(&["model", "service"]));
        let target = match kind? {
            0 => Self::read_model(&mut section),
            _ => Self::read_service(&mut section),
        };
        section.finish();
        target
    }

    fn read_model(section: &mut Section<'_>) -> Option<Self> {
        let model = section.required("model", |it| it.name());
        let engine = section.required("engine", |it| it.peer_address());
        let checks_fencing = section.required("checks_fencing", |it| it.boolean());
        let loads_beside = section.optional("loads_beside", |it| it.boolean());
        let max_in_flight = section.optional("max_in_flight", |it| it.count(IN_FLIGHT));
        Some(Self::Model {
            model: model?,
            engine: engine?,
            checks_fencing: checks_fencing?,
            loads_beside: loads_beside.unwrap_or(false),
            max_in_flight: max_in_flight.map_or(DEFAULT_IN_FLIGHT, narrow),
        })
    }

    fn read_service(section: &mut Section<'_>) -> Option<Self> {
        let service = section.required("service", |it| it.name());
        let address = section.required("address", |it| it.peer_address());
        let max_in_flight = section.optional("max_in_flight", |it| it.count(IN_FLIGHT));
        Some(Self::Service {
            service: service?,
            address: address?,
            max_in_flight: max_in_flight.map_or(DEFAULT_IN_FLIGHT, narrow),
        })
    }
}

fn narrow(count: u64) -> u32 {
    u32::try_from(count).expect("the range of requests in flight is below the largest u32")
}

/// Allowed numbers of requests at once.
const IN_FLIGHT: RangeInclusive<u64> = 1..=100_000;

/// Requests at once where the settings do not say.
const DEFAULT_IN_FLIGHT: u32 = 64;
