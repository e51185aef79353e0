//! The entry on the users' platform: it serves clients the list of entries, accepts their requests and relays them to
//! replicas.
//!
//! Decisions are made in `fleet`; names and formats of the platform are defined in `platform`. This crate must not
//! depend on the internals of either, nor on anything of the agents except their datagrams.

mod attempt_start;
mod buffered_relay;
mod client_accounts;
mod client_call;
mod config_catch_up;
mod crash_guard;
mod crash_probe;
mod declaration_log;
mod declared_versions;
mod departure_guard;
mod directory;
mod entry_metrics;
mod entry_shared;
mod feed_loop;
mod feed_relay;
mod in_flight_guard;
mod limit_guard;
mod operator_rows;
mod peer_evidence;
mod peer_exchange;
mod placement_guard;
mod refusal;
mod replica_rows;
mod replica_send;
mod request_handler;
mod retry_denial;
mod send_permit;
mod stop;
mod stream_attempts;
mod stream_relay;
mod stream_segment;
mod switch_guard;
mod switch_wait;
mod time_limit_log;
mod weight_announcer;
mod zone_exchange;

use std::sync::Arc;

use anyhow::Context;
use fleet::FeedTable;
use httpio::{HttpServer, ServerLimits};
use platform::NodeSettings;
use slog::{Logger, info};

use crate::entry_shared::EntryShared;

/// Runs an entry until `stop` completes and every request has ended or the grace period has expired.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub fn run(
    settings: NodeSettings,
    log: Logger,
    stop: impl Future<Output = anyhow::Result<()>>,
) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    runtime.block_on(serve(settings, log, stop))
}

async fn serve(
    settings: NodeSettings,
    log: Logger,
    stop: impl Future<Output = anyhow::Result<()>>,
) -> anyhow::Result<()> {
    let front = settings
        .listen
        .front
        .context("the settings contain no front address")?;
    let shared = Arc::new(EntryShared::new(settings, front, log)?);
    let log = &shared.log;
    let settings = &shared.settings;

    let accounts = &shared.client_accounts;
    let limits = ServerLimits {
        // Connections are bounded by the accounts.
        max_connections: settings.max_descriptors,
        max_headers: MIN_HEADERS,
        max_header_bytes: MIN_HEADER_BYTES,
        header_timeout: MIN_IDLE_TIMEOUT,
        head_error_handler: None,
    };
    let current_limits = || {
        let shared = shared.clone();
        move |limits: &ServerLimits| client_limits(&shared, limits)
    };
    let front = HttpServer::bind(front, limits.clone())
        .context("cannot bind the front address")?
        .with_account(accounts.front.clone());
    let mut servers = Vec::new();
    if let Some(address) = settings.listen.ready {
        let server =
            HttpServer::bind(address, limits.clone()).context("cannot bind the ready address")?;
        let server = server.with_account(accounts.ready.clone());
        let shared = shared.clone();
        servers.push(server.serve_with_limits(
            move |request, _| directory::handle_ready(shared.clone(), request),
            current_limits(),
        )?);
    }
    if let Some(address) = settings.listen.directory {
        let server = HttpServer::bind(address, limits.clone())
            .context("cannot bind the directory address")?
            .with_account(accounts.directory.clone());
        let shared = shared.clone();
        servers.push(server.serve_with_limits(
            move |request, _| directory::handle_directory(shared.clone(), request),
            current_limits(),
        )?);
    }
    let internal = (settings.ip, settings.first_port).into();
    let server =
        HttpServer::bind(internal, limits.clone()).context("cannot bind the internal address")?;
    let server = server.with_account(accounts.internal.clone());
    let shared_for_feeds = shared.clone();
    servers.push(
        server.serve(move |request, _| feed_relay::handle(shared_for_feeds.clone(), request))?,
    );
    let metrics = (settings.ip, settings.last_port).into();
    let server = HttpServer::bind(metrics, limits).context("cannot bind the metrics address")?;
    let server = server.with_account(accounts.metrics.clone());
    let shared_for_metrics = shared.clone();
    servers
        .push(server.serve(move |_, _| entry_metrics::handle_scrape(shared_for_metrics.clone()))?);
    let shared_for_front = shared.clone();
    let front = front.serve_with_limits(
        move |request, _| request_handler::handle(shared_for_front.clone(), request),
        current_limits(),
    )?;

    for table in [FeedTable::Operator, FeedTable::Replicas] {
        tokio::spawn(feed_loop::run(shared.clone(), table));
    }
    tokio::spawn(weight_announcer::run(shared.clone()));
    tokio::spawn(declaration_log::run(shared.clone()));
    tokio::spawn(client_accounts::log_closed(shared.clone()));
    peer_exchange::start(&shared).await?;
    info!(
        log, "started";
        "front" => front.address().to_string(),
        "pid" => std::process::id(),
        "client_limits" => format!("{:?}", shared.client_limits),
    );

    stop.await?;
    stop::drain(&shared, &front).await;
    for server in servers {
        server.stop();
    }
    Ok(())
}

/// Returns the limits of a client's new connection: those of the configuration in force, but at least `limits`.
fn client_limits(shared: &EntryShared, limits: &ServerLimits) -> ServerLimits {
    let mut limits = limits.clone();
    if let Some(configured) = shared.state().routes.as_ref().map(|it| it.limits()) {
        // The timeout for a head also includes the time for which the connection was idle before.
        let header_timeout = configured.idle_timeout + configured.header_timeout;
        limits.header_timeout = header_timeout.clamp(limits.header_timeout, MAX_IDLE_TIMEOUT);
        limits.max_header_bytes = limits.max_header_bytes.max(configured.max_header_bytes);
        limits.max_headers = (configured.max_header_bytes / MIN_FIELD_BYTES).max(MIN_HEADERS);
    }
    limits
}

/// Number of header fields of a request up to which it is accepted under every configuration.
const MIN_HEADERS: usize = 100;

/// Size of the shortest header field with its line end, which bounds the fields of a head of legal size.
const MIN_FIELD_BYTES: usize = 4;

/// Size of a request's head in bytes up to which it is accepted under every configuration.
const MIN_HEADER_BYTES: usize = 32 * 1024;

/// Time for which a client's connection may be idle under every configuration.
const MIN_IDLE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(15);

/// Time for which a client's connection may be idle at most; a longer one would only hold descriptors of clients that
/// are gone.
const MAX_IDLE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(3600);
