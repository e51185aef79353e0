//! Simulated sources of weights: the origin and the weight store.

mod weight_catalog;
mod weight_faults;
mod weight_source;

pub use weight_catalog::{WeightCatalog, synthetic_weights};
pub use weight_faults::WeightFaults;
pub use weight_source::{SourceCounters, WeightSource};
