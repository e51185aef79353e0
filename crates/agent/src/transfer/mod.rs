//! Fetching weights, keeping verified chunks in bounded memory, and serving them to peers and to the engine.

mod chunk_server;
mod chunk_store;
mod transfer_loop;

pub(crate) use chunk_server::serve;
pub(crate) use chunk_store::ChunkStore;
pub(crate) use transfer_loop::transfer_loop;
