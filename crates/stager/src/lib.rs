//! The agent on the users' platform: it brings declared weights to the replica on its machine.
//!
//! Who fetches what from whom is decided in `fleet`, names and formats of the platform are in `platform`. The crate must
//! not know clients' requests or routes.

mod agent_metrics;
mod agent_shared;
mod config_loop;
mod declared_loop;
mod feed_reader;
mod link_pace;
mod notice_loop;
mod piece_book;
mod piece_fetch;
mod piece_server;
mod piece_source;
mod source_pause;
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
/// Returns an error when settings name no replica or an address cannot be bound.
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
    .context("cannot bind the address for pieces")?;
    let for_pieces = shared.clone();
    let pieces =
        pieces.serve(move |request, _| piece_server::answer(for_pieces.clone(), request))?;
    let metrics = HttpServer::bind(
        (settings.ip, settings.last_port).into(),
        ServerLimits::default(),
    )
    .context("cannot bind the metrics address")?;
    let for_metrics = shared.clone();
    metrics.serve(move |_, _| agent_metrics::answer(for_metrics.clone()))?;

    tokio::spawn(config_loop::run(shared.clone()));
    tokio::spawn(declared_loop::run(shared.clone()));
    tokio::spawn(notice_loop::run(shared.clone()));
    tokio::spawn(weight_loop::run(shared.clone()));
    info!(shared.log, "started"; "pid" => std::process::id());

    stop.await?;
    info!(shared.log, "stopping"; "open_connections" => pieces.open_connections());
    Ok(())
}
