//! The target that an agent forwards requests to.

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
        /// Whether the engine rejects load orders with an outdated fencing number; if not, only the agent does.
        checks_fencing: bool,
        /// Whether the engine can load one version while it serves another.
        loads_beside: bool,
        /// Maximum number of requests in flight at the engine.
        max_in_flight: u32,
    },
    /// A plain service.
    Service {
        /// Name of the service.
        service: ServiceName,
        /// Address of the service, on the same host.
        address: SocketAddr,
        /// Maximum number of requests in flight at the service.
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
        let max_in_flight = section.optional("max_in_flight", |it| it.integer(MAX_IN_FLIGHT_RANGE));
        Some(Self::Model {
            model: model?,
            engine: engine?,
            checks_fencing: checks_fencing?,
            loads_beside: loads_beside.unwrap_or(false),
            max_in_flight: max_in_flight.map_or(DEFAULT_MAX_IN_FLIGHT, to_u32),
        })
    }

    fn read_service(section: &mut Section<'_>) -> Option<Self> {
        let service = section.required("service", |it| it.name());
        let address = section.required("address", |it| it.peer_address());
        let max_in_flight = section.optional("max_in_flight", |it| it.integer(MAX_IN_FLIGHT_RANGE));
        Some(Self::Service {
            service: service?,
            address: address?,
            max_in_flight: max_in_flight.map_or(DEFAULT_MAX_IN_FLIGHT, to_u32),
        })
    }
}

fn to_u32(count: u64) -> u32 {
    u32::try_from(count).expect("MAX_IN_FLIGHT_RANGE fits into u32")
}

/// Allowed values of `max_in_flight`.
const MAX_IN_FLIGHT_RANGE: RangeInclusive<u64> = 1..=100_000;

/// Default of `max_in_flight`.
const DEFAULT_MAX_IN_FLIGHT: u32 = 64;
