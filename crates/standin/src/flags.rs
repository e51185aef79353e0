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
    }
}
