//! Fetching weights, keeping verified chunks in bounded memory, and serving them to peers and to the engine.

mod chunk_fetch;
mod chunk_server;
mod chunk_store;
mod tracker_links;
mod transfer_loop;
mod transfer_pace;

pub(crate) use chunk_server::serve;
pub(crate) use chunk_store::ChunkStore;
pub(crate) use transfer_loop::{TransferParts, transfer_loop};
pub(crate) use transfer_pace::TransferPace;
