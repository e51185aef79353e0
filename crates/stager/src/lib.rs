//! Agent for the users' platform that transfers declared versions of weights to the replica on its host.
//!
//! The `fleet` crate plans which agent fetches which piece from which source; the `platform` crate defines the names
//! and formats of the platform. This crate must not depend on the requests of clients or on their routing.

mod agent_metrics;
mod agent_shared;
mod config_loop;
mod declaration_loop;
mod feed_reader;
mod link_pacer;
mod load_order;
mod piece_fetch;
mod piece_server;
mod prior_orders;
mod source_client;
mod staged_check;
mod status_loop;
mod weight_loop;

use std::sync::Arc;

use anyhow::Context;
use httpio::{HttpServer, ServerLimits};
use platform::NodeSettings;
use slog::{Logger, info};

use crate::agent_shared::AgentShared;

/// Runs an agent until `stop` completes.
///
/// # Errors
///
/// Returns an error if the settings contain no replica address, an address cannot be bound or `stop` fails.
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
    let shared = Arc::new(AgentShared::new(settings, log)?);
    let settings = &shared.settings;
    let pieces = HttpServer::bind(
        (settings.ip, settings.first_port).into(),
        ServerLimits::default(),
    )
    .context("cannot bind the address of the piece server")?;
    let piece_server_shared = shared.clone();
    let pieces = pieces.serve(move |request, _| {
        piece_server::handle_request(piece_server_shared.clone(), request)
    })?;
    let metrics = HttpServer::bind(
        (settings.ip, settings.last_port).into(),
        ServerLimits::default(),
    )
    .context("cannot bind the metrics address")?;
    let metrics_shared = shared.clone();
    metrics.serve(move |_, _| agent_metrics::handle_scrape(metrics_shared.clone()))?;

    tokio::spawn(config_loop::run(shared.clone()));
    tokio::spawn(declaration_loop::run(shared.clone()));
    tokio::spawn(status_loop::run(shared.clone()));
    tokio::spawn(weight_loop::run(shared.clone()));
    info!(shared.log, "started"; "pid" => std::process::id());

    stop.await?;
    info!(shared.log, "stopping"; "open_connections" => pieces.open_connections());
    Ok(())
}
