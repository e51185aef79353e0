//! Assignment of slots at targets to requests.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use model::{HostName, OverloadCause, ResultCode, TargetKind, TargetRow};
use routing::{CallKind, FairQueue, QueueLimits, QueueRefusal, QueueTicket};
use settings::EntrySettings;
use tokio::sync::oneshot;

use crate::calls::call_counters::CallCounters;
use crate::calls::call_error::CallError;
use crate::calls::dispatch_state::{DispatchState, SlotRequest, SlotWaiter, TargetQueue};
use crate::calls::target_slot::TargetSlot;
use crate::control::SnapshotCell;

/// Assigns slots at targets, and queues requests fairly between organisations while no target has capacity.
///
/// All threads of the entry share one scheduler.
#[derive(Debug)]
pub(crate) struct SlotScheduler {
    settings: Arc<EntrySettings>,
    snapshots: Arc<SnapshotCell>,
    counters: Arc<CallCounters>,
    state: Mutex<DispatchState>,
}

/// Removes a request from its queue on drop, for example when its caller disconnects.
struct QueueGuard<'a> {
    scheduler: &'a SlotScheduler,
    target: TargetKind,
    ticket: QueueTicket,
}

/// Whether a request is scheduled for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// The first attempt of a request.
    New,
    /// A further attempt of a request that was already admitted, queued at the front of its organisation's queue.
    Retry,
}

enum SlotGrant {
    Immediate(Box<TargetRow>),
    Queued(
        QueueTicket,
        oneshot::Receiver<Result<TargetSlot, CallError>>,
    ),
}

impl SlotScheduler {
    pub(crate) fn new(
        settings: Arc<EntrySettings>,
        snapshots: Arc<SnapshotCell>,
        counters: Arc<CallCounters>,
    ) -> Self {
        Self {
            settings,
            snapshots,
            counters,
            state: Mutex::default(),
        }
    }

    /// Acquires a slot at a target, and waits in the queue if none is free.
    ///
    /// # Errors
    ///
    /// Returns an error if no target is ready, if the expected wait is too long, or if the request is evicted from the
    /// queue or expires in it. No new attempt has started then.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        slot_request: SlotRequest,
        arrival: Arrival,
    ) -> Result<TargetSlot, CallError> {
        let target = slot_request.target.clone();
        match self.acquire_or_enqueue(slot_request, arrival)? {
            SlotGrant::Immediate(row) => Ok(TargetSlot::new(self.clone(), *row)),
            SlotGrant::Queued(ticket, receiver) => {
                let _guard = QueueGuard {
                    scheduler: self,
                    target,
                    ticket,
                };
                receiver.await.map_err(|_| {
                    CallError::new(
                        ResultCode::Internal,
                        "the request was removed from the queue without a result",
                    )
                })?
            }
        }
    }

    /// Acquires a slot at a target without waiting.
    pub(crate) fn try_acquire(self: &Arc<Self>, slot_request: &SlotRequest) -> Option<TargetSlot> {
        let snapshot = self.snapshots.load();
        let now = Instant::now();
        let row = self
            .lock()
            .assign_target(&snapshot, &self.settings.host, slot_request, now)?;
        Some(TargetSlot::new(self.clone(), row))
    }

    /// Releases a slot and dispatches queued requests; a gate that refused at its limit enters a backoff.
    pub(crate) fn release(self: &Arc<Self>, row: &TargetRow, refused_at_limit: bool) {
        {
            let mut state = self.lock();
            match refused_at_limit {
                true => state
                    .in_flight_table
                    .on_limit_refusal(Instant::now(), &row.host),
                false => state.in_flight_table.on_finished(&row.host),
            }
        }
        self.dispatch_queued(&row.kind);
    }

    /// Returns whether a target can serve the request, regardless of its capacity.
    pub(crate) fn has_target(&self, slot_request: &SlotRequest) -> bool {
        !slot_request
            .candidate_rows(&self.snapshots.load())
            .is_empty()
    }

    /// Records that a request failed because every gate was at its limit.
    pub(crate) fn on_overload(&self) {
        self.counters.on_overload(OverloadCause::TargetsFull);
    }

    pub(crate) fn on_failure(&self, host: &HostName) {
        self.lock().outlier_table.on_failure(Instant::now(), host);
    }

    pub(crate) fn on_success(&self, host: &HostName) {
        self.lock().outlier_table.on_success(host);
    }

    /// Records a request of a caller, which earns a fraction of a retry.
    pub(crate) fn on_request(&self) {
        let budget = &mut self.lock().retry_budget;
        budget.on_request();
        self.counters.set_available_retries(budget.available());
    }

    /// Takes one retry from the budget, and returns `false` if the budget is exhausted.
    pub(crate) fn try_acquire_retry(&self) -> bool {
        let budget = &mut self.lock().retry_budget;
        let is_acquired = budget.try_acquire();
        self.counters.set_available_retries(budget.available());
        is_acquired
    }

    /// Returns the number of retries that the budget allows now.
    pub(crate) fn available_retries(&self) -> u32 {
        self.lock().retry_budget.available()
    }

    pub(crate) fn hedge_delay(&self, kind: CallKind, time_remaining: Duration) -> Option<Duration> {
        self.lock().hedge_timer.delay(kind, time_remaining)
    }

    pub(crate) fn on_lookup_latency(&self, latency: Duration) {
        self.lock().hedge_timer.on_response(latency);
    }

    /// Dispatches queued requests at an interval until the runtime shuts down.
    ///
    /// Released slots trigger a dispatch by themselves, but capacity also appears when new target rows arrive.
    pub(crate) async fn dispatch_loop(self: Arc<Self>) {
        let mut interval = tokio::time::interval(DISPATCH_INTERVAL);
        loop {
            interval.tick().await;
            let waiting: Vec<TargetKind> = {
                let state = self.lock();
                let queues = state.queues.iter();
                queues
                    .filter(|(_, it)| !it.fair_queue.is_empty())
                    .map(|(target, _)| target.clone())
                    .collect()
            };
            for target in &waiting {
                self.dispatch_queued(target);
            }
        }
    }

    fn acquire_or_enqueue(
        &self,
        slot_request: SlotRequest,
        arrival: Arrival,
    ) -> Result<SlotGrant, CallError> {
        let snapshot = self.snapshots.load();
        let now = Instant::now();
        let rows = slot_request.candidate_rows(&snapshot);
        if rows.is_empty() {
            return Err(CallError::new(
                ResultCode::NoTarget,
                "no target is ready for this request",
            ));
        }
        let latest_start = slot_request.latest_start(&rows, now);
        let mut state = self.lock();
        let may_skip_queue = arrival == Arrival::Retry
            || state
                .queues
                .get(&slot_request.target)
                .is_none_or(|it| it.fair_queue.is_empty());
        if may_skip_queue
            && let Some(row) =
                state.assign_target(&snapshot, &self.settings.host, &slot_request, now)
        {
            let queue = self.queue(&mut state, &slot_request.target);
            queue
                .fair_queue
                .on_immediate_dispatch(now, slot_request.cost);
            return Ok(SlotGrant::Immediate(Box::new(row)));
        }
        let queue = self.queue(&mut state, &slot_request.target);
        let queue_request = slot_request.queue_request(latest_start);
        let pushed = match arrival {
            Arrival::New => queue.fair_queue.push(now, &queue_request),
            Arrival::Retry => Ok((queue.fair_queue.requeue_refused(&queue_request), None)),
        };
        let (ticket, evicted) = match pushed {
            Ok(it) => it,
            Err(refusal) => {
                drop(state);
                return Err(self.overload_error(&refusal));
            }
        };
        let evicted = evicted.and_then(|it| queue.waiters.remove(&it));
        let (sender, receiver) = oneshot::channel();
        let waiter = SlotWaiter {
            slot_request,
            latest_start,
            sender,
        };
        queue.waiters.insert(ticket, waiter);
        drop(state);
        if let Some(evicted) = evicted {
            let refusal = QueueRefusal {
                code: ResultCode::OverShare,
                cause: OverloadCause::QueueFull,
                retry_after: EVICTED_RETRY_AFTER,
            };
            let _ = evicted.sender.send(Err(self.overload_error(&refusal)));
        }
        Ok(SlotGrant::Queued(ticket, receiver))
    }

    /// Refuses queued requests that cannot start in time or have no candidate target, and assigns free slots to the
    /// next ones.
    fn dispatch_queued(self: &Arc<Self>, target: &TargetKind) {
        let snapshot = self.snapshots.load();
        let now = Instant::now();
        let mut refused = Vec::new();
        let mut granted = Vec::new();
        {
            let mut state = self.lock();
            let Some(mut queue) = state.queues.remove(target) else {
                return;
            };
            let expired = queue.fair_queue.remove_expired(now);
            refused.extend(expired.iter().filter_map(|it| queue.waiters.remove(it)));
            let mut skipped = Vec::new();
            while skipped.len() < MAX_SKIPPED
                && let Some(ticket) = queue.fair_queue.pop(now)
            {
                let Some(waiter) = queue.waiters.remove(&ticket) else {
                    continue;
                };
                let own_host = &self.settings.host;
                match state.assign_target(&snapshot, own_host, &waiter.slot_request, now) {
                    Some(row) => granted.push((waiter, row)),
                    None if waiter.slot_request.candidate_rows(&snapshot).is_empty() => {
                        refused.push(waiter)
                    }
                    None => skipped.push((ticket, waiter)),
                }
            }
            for (ticket, waiter) in skipped {
                let queue_request = waiter.slot_request.queue_request(waiter.latest_start);
                queue.fair_queue.undo_pop(ticket, &queue_request);
                queue.waiters.insert(ticket, waiter);
            }
            state.queues.insert(target.clone(), queue);
        }
        self.notify_waiters(refused, granted);
    }

    fn notify_waiters(
        self: &Arc<Self>,
        refused: Vec<SlotWaiter>,
        granted: Vec<(SlotWaiter, TargetRow)>,
    ) {
        for waiter in refused {
            let refusal = QueueRefusal {
                code: ResultCode::DeadlineNotRun,
                cause: OverloadCause::WaitTooLong,
                retry_after: EVICTED_RETRY_AFTER,
            };
            let _ = waiter.sender.send(Err(self.overload_error(&refusal)));
        }
        for (waiter, row) in granted {
            // If the caller has disconnected, sending fails and drops the slot, which releases it.
            let slot = TargetSlot::new(self.clone(), row);
            let _ = waiter.sender.send(Ok(slot));
        }
    }

    fn overload_error(&self, refusal: &QueueRefusal) -> CallError {
        self.counters.on_overload(refusal.cause);
        CallError::new(refusal.code, format!("overloaded: {}", refusal.cause))
            .with_retry_after(refusal.retry_after)
    }

    fn queue<'a>(&self, state: &'a mut DispatchState, target: &TargetKind) -> &'a mut TargetQueue {
        let queues = &mut state.queues;
        queues
            .entry(target.clone())
            .or_insert_with(|| self.new_queue())
    }

    fn new_queue(&self) -> TargetQueue {
        let limits = QueueLimits {
            max_waiting: self.settings.limits.queue_length,
            ..QueueLimits::default()
        };
        TargetQueue {
            fair_queue: FairQueue::new(limits),
            waiters: Default::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, DispatchState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the scheduler lock")
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.scheduler.lock();
        if let Some(queue) = state.queues.get_mut(&self.target) {
            queue.fair_queue.cancel(self.ticket);
            queue.waiters.remove(&self.ticket);
        }
    }
}

/// Interval between dispatches of the queues.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of queued requests that one dispatch skips because no target has capacity for them.
const MAX_SKIPPED: usize = 8;

/// Retry delay reported for a request that was evicted from the queue or expired in it.
const EVICTED_RETRY_AFTER: Duration = Duration::from_secs(2);
