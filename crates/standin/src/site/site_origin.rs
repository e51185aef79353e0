//! A simulated origin of weights.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use httpio::{HttpBody, Incoming, Request, Response, ServerHandle, StatusCode};
use serde_json::json;

use crate::StandinRuntime;
use crate::site::silence_switch::SilenceSwitch;
use crate::site::site_weights::SiteWeights;

/// An HTTP server of manifests and pieces that counts the pieces sent.
#[derive(Clone, Debug)]
pub struct SiteOrigin {
    shared: Arc<OriginShared>,
    server: ServerHandle,
}

#[derive(Debug)]
struct OriginShared {
    weights: SiteWeights,
    pieces_sent: AtomicU64,
    corrupts_pieces: AtomicBool,
    /// Number of manifests that are still sent with a wrong digest.
    corrupt_manifests: AtomicU64,
    /// Oldest version that is still served.
    oldest_version: AtomicU64,
    silence: SilenceSwitch,
}

impl SiteOrigin {
    /// Starts an origin that serves `weights`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if no port can be bound.
    pub fn start(runtime: &StandinRuntime, weights: SiteWeights) -> std::io::Result<Self> {
        let shared = Arc::new(OriginShared {
            weights,
            pieces_sent: AtomicU64::new(0),
            corrupts_pieces: AtomicBool::new(false),
            corrupt_manifests: AtomicU64::new(0),
            oldest_version: AtomicU64::new(0),
            silence: SilenceSwitch::default(),
        });
        let server_shared = shared.clone();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server =
            crate::standin_runtime::serve(runtime.handle(), address, move |request, _| {
                let shared = server_shared.clone();
                async move {
                    let work = handle_request(shared.clone(), request);
                    shared.silence.handle(work).await
                }
            })?;
        Ok(Self { shared, server })
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of pieces sent.
    pub fn pieces_sent(&self) -> u64 {
        self.shared.pieces_sent.load(Ordering::Relaxed)
    }

    /// Begins or ends a silence, in which requests are read and none is answered.
    pub fn set_silent(&self, is_silent: bool) {
        self.shared.silence.set_silent(is_silent);
    }

    /// Stops serving versions before `version`.
    pub fn withdraw_before(&self, version: u64) {
        self.shared.oldest_version.store(version, Ordering::Relaxed);
    }

    /// Makes the next `count` manifests name a wrong digest for the first piece.
    pub fn corrupt_manifests(&self, count: u64) {
        self.shared
            .corrupt_manifests
            .store(count, Ordering::Relaxed);
    }

    /// Sets whether every third piece sent is corrupted.
    pub fn set_corrupt_pieces(&self, corrupts_pieces: bool) {
        self.shared
            .corrupts_pieces
            .store(corrupts_pieces, Ordering::Relaxed);
    }
}

async fn handle_request(
    shared: Arc<OriginShared>,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    let param = |name: &str| {
        form_urlencoded::parse(request.uri().query().unwrap_or_default().as_bytes())
            .find(|(it, _)| it == name)
            .and_then(|(_, value)| value.parse::<u64>().ok())
    };
    let weights = &shared.weights;
    let version = param("version").unwrap_or(1);
    let path = request.uri().path();
    if version < shared.oldest_version.load(Ordering::Relaxed) {
        let mut response = Response::new(httpio::empty());
        *response.status_mut() = StatusCode::GONE;
        return response;
    }
    if let Some(model) = path.strip_prefix("/fulmarline/manifest/") {
        let digests = (0..weights.pieces).map(|it| weights.digest(version, it));
        let mut digests: Vec<String> = digests.collect();
        let corrupt = &shared.corrupt_manifests;
        let decrement = |it: u64| it.checked_sub(1);
        let is_corrupt = corrupt.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement);
        if is_corrupt.is_ok() {
            let digit = if digests[0].starts_with('0') {
                "1"
            } else {
                "0"
            };
            digests[0].replace_range(..1, digit);
        }
        let body = json!({
            "model": model, "version": version, "chunkBytes": weights.piece_bytes, "layers": 16, "digests": digests,
        });
        return Response::new(httpio::full(body.to_string()));
    }
    if !path.starts_with("/fulmarline/piece/") {
        let mut response = Response::new(httpio::empty());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let index = usize::try_from(param("num").unwrap_or(0)).unwrap_or(0);
    let count = shared.pieces_sent.fetch_add(1, Ordering::Relaxed);
    let mut bytes = weights.piece(version, index);
    if shared.corrupts_pieces.load(Ordering::Relaxed) && count.is_multiple_of(3) {
        bytes[0] ^= 1;
    }
    Response::new(httpio::full(bytes))
}
