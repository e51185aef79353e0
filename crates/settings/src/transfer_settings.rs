//! Resources of a host for transfers of weights.

use std::ops::RangeInclusive;

use crate::walker::Section;

/// Memory, bandwidth and concurrency that a host provides for transfers of weights.
#[derive(Clone, Debug, PartialEq)]
pub struct TransferSettings {
    /// Memory for verified chunks, in bytes; it must fit a complete version.
    pub memory_bytes: u64,
    /// Bandwidth of the host's link, in bytes per second in each direction.
    pub link_bytes_per_s: u64,
    /// Fraction of the link reserved for live requests during transfers.
    pub live_share: f64,
    /// Maximum number of concurrent chunk downloads.
    pub fetch_parallel: usize,
    /// Maximum number of concurrent chunk uploads.
    pub serve_parallel: usize,
}

impl TransferSettings {
    pub(crate) fn read(mut section: Section<'_>) -> Option<Self> {
        let memory_bytes = section.required("memory_bytes", |it| it.integer(MEMORY_BYTES_RANGE));
        let link_bytes_per_s =
            section.required("link_bytes_per_s", |it| it.integer(LINK_BYTES_PER_S_RANGE));
        let live_share = section.optional("live_share", |it| it.float(LIVE_SHARE_RANGE));
        let fetch_parallel = section.integer_or("fetch_parallel", PARALLEL_RANGE, DEFAULT_PARALLEL);
        let serve_parallel = section.integer_or("serve_parallel", PARALLEL_RANGE, DEFAULT_PARALLEL);
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

/// Allowed values of `memory_bytes`.
const MEMORY_BYTES_RANGE: RangeInclusive<u64> = 64 * 1024..=16 * 1024 * 1024 * 1024 * 1024;

/// Allowed values of `link_bytes_per_s`.
const LINK_BYTES_PER_S_RANGE: RangeInclusive<u64> = 1024..=1_000_000_000_000;

/// Allowed values of `live_share`.
const LIVE_SHARE_RANGE: RangeInclusive<f64> = 0.05..=0.95;

/// Default of `live_share`.
const DEFAULT_LIVE_SHARE: f64 = 0.25;

/// Allowed values of `fetch_parallel` and `serve_parallel`.
const PARALLEL_RANGE: RangeInclusive<u64> = 1..=256;

/// Default of `fetch_parallel` and `serve_parallel`.
const DEFAULT_PARALLEL: usize = 4;
