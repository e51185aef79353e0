//! What a host gives to transfers of weights.

use std::ops::RangeInclusive;

use crate::walker::Section;

/// A host's share in spreading weights.
#[derive(Clone, Debug, PartialEq)]
pub struct TransferSettings {
    /// Memory for verified chunks, in bytes; it must hold a whole version.
    pub memory_bytes: u64,
    /// Speed of the host's link, in bytes per second each way.
    pub link_bytes_per_s: u64,
    /// Share of the link that is left for live requests while weights move.
    pub live_share: f64,
    /// Chunks that are fetched at once.
    pub fetch_parallel: usize,
    /// Chunks that are served at once.
    pub serve_parallel: usize,
}

impl TransferSettings {
    pub(crate) fn read(mut section: Section<'_>) -> Option<Self> {
        let memory_bytes = section.required("memory_bytes", |it| it.count(MEMORY_BYTES));
        let link_bytes_per_s = section.required("link_bytes_per_s", |it| it.count(LINK_BYTES));
        let live_share = section.optional("live_share", |it| it.real(LIVE_SHARES));
        let fetch_parallel = section.count_or("fetch_parallel", PARALLEL, DEFAULT_PARALLEL);
        let serve_parallel = section.count_or("serve_parallel", PARALLEL, DEFAULT_PARALLEL);
        section.finish();
        Some(Self {
            memory_bytes: memory_bytes?,
            link_bytes_per_s: link_bytes_per_s?,
            live_share: live_share.unwrap_or(DEFAULT_LIVE_SHARE),
            fetch_parallel,
            serve_parallel,
        })
    }
}

/// Allowed memory in bytes.
const MEMORY_BYTES: RangeInclusive<u64> = 64 * 1024..=16 * 1024 * 1024 * 1024 * 1024;

/// Allowed link speeds in bytes per second.
const LINK_BYTES: RangeInclusive<u64> = 1024..=1_000_000_000_000;

/// Allowed shares of the link for live requests.
const LIVE_SHARES: RangeInclusive<f64> = 0.05..=0.95;

/// Share of the link for live requests where the settings do not say.
const DEFAULT_LIVE_SHARE: f64 = 0.25;

/// Allowed numbers of chunks at once.
const PARALLEL: RangeInclusive<u64> = 1..=256;

/// Chunks at once where the settings do not say.
const DEFAULT_PARALLEL: usize = 4;
