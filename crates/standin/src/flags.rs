//! The command line.

use std::net::SocketAddr;

xflags::xflags! {
    /// Stand-ins of the outside of fulmarline, for trials by hand.
    cmd fulmarline-standin {
        /// Plays table, object store, origin, weight store and host list, and prints their addresses.
        cmd platform {
            /// Size of the weights of each version `demo/v1`, `demo/v2`, ... in bytes (default 8388608).
            optional --weights-bytes bytes: usize
            /// Number of versions (default 2).
            optional --versions count: u64
            /// Bytes a second that the origin serves (default without a limit).
            optional --origin-rate rate: f64
        }
        /// Plays a model engine.
        cmd engine {
            /// Address to listen on (default 127.0.0.1:0).
            optional --listen address: SocketAddr
            /// Time between two tokens in milliseconds (default 20).
            optional --token-ms ms: u64
            /// Ignores fencing numbers.
            optional --ignore-fencing
            /// Can load a version beside the one that serves.
            optional --beside
        }
        /// Plays a plain service.
        cmd service {
            /// Name of the service.
            required name: String
            /// Address to listen on (default 127.0.0.1:0).
            optional --listen address: SocketAddr
        }
        /// Sends streams, orders and lookups to a running system and prints what became of them.
        cmd load {
            /// Callers' address of an entry.
            required --entry address: SocketAddr
            /// Bearer token of the organisation.
            required --token token: String
            /// Model to ask (default demo).
            optional --model model: String
            /// Service for orders and lookups (default orders).
            optional --service service: String
            /// Streams a second (default 10).
            optional --streams rate: f64
            /// Orders a second (default 0).
            optional --orders rate: f64
            /// Lookups a second (default 0).
            optional --lookups rate: f64
            /// Tokens of each answer (default 20).
            optional --tokens count: usize
            /// Seconds for which calls arrive (default 10).
            optional --seconds seconds: u64
            /// Seed of the arrivals; give another one to each run, because orders under a known key are not run again.
            optional --seed seed: u64
        }
    }
}
