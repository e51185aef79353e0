//! Transfer of weights: fetches chunks, stores verified chunks in bounded memory, and serves them to peers and the
//! engine.

mod chunk_fetch;
mod chunk_server;
mod chunk_store;
mod shared_pacer;
mod tracker_client;
mod transfer_loop;

pub(crate) use chunk_server::serve;
pub(crate) use chunk_store::ChunkStore;
pub(crate) use shared_pacer::SharedPacer;
pub(crate) use transfer_loop::{TransferContext, transfer_loop};
