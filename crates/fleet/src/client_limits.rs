//! How much of its host an entry gives to clients.

/// Bounds on what an entry holds for clients, derived from the limits of its host.
///
/// Each address has connections of its own, so that clients of one address can't take those of another. Together with what the
/// entry opens itself they stay within the descriptors of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Connections at the address for requests.
    pub front: usize,
    /// Connections at the address of the directory.
    pub directory: usize,
    /// Connections at the address of the readiness check.
    pub ready: usize,
    /// Connections of other hosts at the internal address.
    pub internal: usize,
    /// Connections at the address of the metrics.
    pub metrics: usize,
    /// Bounds on memory; `None` if the memory of the host is not known.
    pub memory: Option<ClientMemory>,
}

/// Bounds on the memory that an entry uses for clients, beside that of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientMemory {
    /// Heads and bodies of requests, in bytes.
    pub requests: usize,
    /// Responses that are read completely, until their clients have received them, in bytes.
    pub responses: usize,
}

impl ClientLimits {
    /// Returns the bounds for a process with `max_descriptors` on a host with `ram_bytes` of memory, of which a connection uses
    /// `connection_bytes`.
    pub fn new(max_descriptors: usize, ram_bytes: Option<usize>, connection_bytes: usize) -> Self {
        let reserved = RESERVED_DESCRIPTORS.min(max_descriptors / 2);
        let by_descriptors = max_descriptors - reserved;
        let by_memory = ram_bytes.map_or(usize::MAX, |it| it / CONNECTION_PART / connection_bytes);
        let connections = by_descriptors.min(by_memory);
        let part = |parts: usize| (connections * parts / CONNECTION_PARTS).max(MIN_CONNECTIONS);
        Self {
            front: part(14),
            directory: part(6),
            internal: part(10),
            ready: part(1),
            metrics: part(1),
            memory: ram_bytes.map(|it| ClientMemory {
                requests: it / REQUEST_PART,
                responses: it / RESPONSE_PART,
            }),
        }
    }
}

/// File descriptors reserved for connections to replicas and the store, and for files.
const RESERVED_DESCRIPTORS: usize = 1200;

/// Parts into which connections are divided among the addresses.
const CONNECTION_PARTS: usize = 32;

/// Connections of an address under any limits.
const MIN_CONNECTIONS: usize = 16;

/// Part of the memory that connections may use at most: a third.
const CONNECTION_PART: usize = 3;

/// Part of the memory for heads and bodies of requests: a quarter.
const REQUEST_PART: usize = 4;

/// Part of the memory for responses, beside one response of any size: an eighth.
const RESPONSE_PART: usize = 8;
