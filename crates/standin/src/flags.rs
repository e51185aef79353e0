//! Command line arguments of `fulmarline-standin`.

use std::net::SocketAddr;

xflags::xflags! {
    /// Simulates the systems around fulmarline, for manual tests.
    cmd fulmarline-standin {
        /// Runs the table, object store, origin, weight store and host list, and prints their addresses.
        cmd platform {
            /// Size in bytes of the weights of each version `demo/v1`, `demo/v2`, ... (default 8388608).
            optional --weights-bytes bytes: usize
            /// Number of versions (default 2).
            optional --versions count: u64
            /// Rate limit of the origin in bytes per second (default unlimited).
            optional --origin-rate rate: f64
        }
        /// Runs a model engine.
        cmd engine {
            /// Address to listen on (default 127.0.0.1:0).
            optional --listen address: SocketAddr
            /// Interval between tokens in milliseconds (default 20).
            optional --token-ms ms: u64
            /// Ignores fencing numbers.
            optional --ignore-fencing
            /// Supports loading a version while another one serves.
            optional --beside
        }
        /// Runs a plain service.
        cmd service {
            /// Name of the service.
            required name: String
            /// Address to listen on (default 127.0.0.1:0).
            optional --listen address: SocketAddr
        }
        /// Sends streams, orders and lookups to a running system and prints their results.
        cmd load {
            /// Address of an entry's listener for callers.
            required --entry address: SocketAddr
            /// Bearer token of the organisation.
            required --token token: String
            /// Model that streams request (default demo).
            optional --model model: String
            /// Service for orders and lookups (default orders).
            optional --service service: String
            /// Streams per second (default 10).
            optional --streams rate: f64
            /// Orders per second (default 0).
            optional --orders rate: f64
            /// Lookups per second (default 0).
            optional --lookups rate: f64
            /// Number of tokens in each response (default 20).
            optional --tokens count: usize
            /// Duration of the load in seconds (default 10).
            optional --seconds seconds: u64
            /// Seed of the arrivals. Must differ between runs, because an order with a known key is not executed again.
            optional --seed seed: u64
        }
    }
}
