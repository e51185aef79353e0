//! Orders the replica to load staged pieces, if they are known to be valid at that moment.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use fleet::{LoadDenial, LoadPermit, OrderWindow};
use platform::{CallError, LoadOrder, OrderResponse, ReplicaReport};
use relay::boot_clock;
use slog::info;

use crate::agent_shared::{AgentShared, UnsettledOrder, WeightTarget};
use crate::staged_check;
use crate::weight_loop::{count_call, report_serving};

/// Verifies the staged pieces and orders the replica to load them.
pub(crate) async fn order_load(
    shared: &AgentShared,
    target: &WeightTarget,
    report: &ReplicaReport,
    staging_time: Duration,
) {
    if !staged_check::verify_staged(shared, target).await {
        return;
    }
    // The replica rejects requests during a load, so entries are notified first and route them elsewhere.
    report_serving(shared, &[], None);
    tokio::time::sleep(REROUTE_DELAY).await;
    let order = LoadOrder {
        model: target.model.clone(),
        version: target.version,
        orders_started: report.orders_started,
    };
    // The replica may accept the order later even if it is not answered, so it is sent again until it is.
    let earlier = shared.state().unsettled_order.replace(UnsettledOrder {
        target: target.clone(),
        window: OrderWindow::open(order.orders_started, Instant::now()),
    });
    count_call(shared, "order");
    // The line that tells the outcome is missing if the process ends before the replica responds.
    info!(
        shared.log, "sending load order";
        "version" => target.version,
        "orders_begun" => order.orders_started,
    );
    shared.state().ordered_at = Some(Instant::now());
    let permit = Mutex::new(None);
    // The agent may have been suspended since the verification, and opening a connection may take long.
    let may_send = || {
        let checked = shared.state().permit_load(target, boot_clock::now());
        let expires_at = checked.as_ref().ok().map(|it| it.expires_at);
        *permit
            .lock()
            .expect("no thread panics while it holds the permit") = Some(checked);
        expires_at
    };
    let response = shared.replica_client.load(&order, &may_send).await;
    let permit = permit
        .into_inner()
        .expect("no thread panics while it holds the permit");
    let mut state = shared.state();
    match &response {
        Err(CallError::TimedOut | CallError::NoResponse(_)) => {}
        // The replica rejects all earlier orders once it has begun one.
        Ok(OrderResponse::Started) => state.unsettled_order = None,
        // Any other response settles this order only.
        _ => state.unsettled_order = earlier,
    }
    if matches!(response, Ok(OrderResponse::Started)) {
        state.ordered_version = Some(target.version);
    }
    drop(state);
    record_order(shared, target, report, staging_time, permit, response);
}

fn record_order(
    shared: &AgentShared,
    target: &WeightTarget,
    report: &ReplicaReport,
    staging_time: Duration,
    permit: Option<Result<LoadPermit, LoadDenial>>,
    response: Result<OrderResponse, CallError>,
) {
    let outcome = match &response {
        Ok(OrderResponse::Started) => "begun",
        Ok(OrderResponse::AlreadyDone) => "done",
        Ok(OrderResponse::Conflict) => "conflict",
        Err(_) if matches!(permit, Some(Err(_))) => "unverified",
        Err(_) => "failed",
    };
    shared.metrics.orders.with_label_values(&[outcome]).inc();
    let oldest_age = permit.and_then(Result::ok).map(|it| it.oldest_age);
    if let Some(age) = oldest_age {
        shared.metrics.verification_age.observe(age.as_secs_f64());
    }
    info!(
        shared.log, "load ordered";
        "version" => target.version,
        "outcome" => outcome,
        "error" => response.err().map(|it| it.to_string()),
        "staged_ms" => u64::try_from(staging_time.as_millis()).unwrap_or(u64::MAX),
        "orders_begun" => report.orders_started,
        "oldest_ms" => oldest_age.map(|it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX)),
    );
}

/// Time for entries to stop sending requests before a load starts; a few times the latency between regions.
const REROUTE_DELAY: Duration = Duration::from_millis(15);
