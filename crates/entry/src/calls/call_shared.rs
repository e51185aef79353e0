//! The decisions of an entry as its threads share them.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use model::{HostName, OverloadCause, ResultCode, TargetKind, TargetRow};
use routing::{CallKind, FairQueue, QueueLimits, QueueRefusal, QueueTicket};
use settings::EntrySettings;
use tokio::sync::oneshot;

use crate::calls::call_counters::CallCounters;
use crate::calls::call_decisions::{CallDecisions, SlotNeed, SlotWaiter, WaitPool};
use crate::calls::call_refusal::CallRefusal;
use crate::calls::target_slot::TargetSlot;
use crate::control::SnapshotCell;

/// Hands out places at targets, in fair order when there are too few.
#[derive(Debug)]
pub(crate) struct CallShared {
    settings: Arc<EntrySettings>,
    snapshots: Arc<SnapshotCell>,
    counters: Arc<CallCounters>,
    decisions: Mutex<CallDecisions>,
}

/// Takes a request out of its queue when its caller goes away.
struct QueuePlace<'a> {
    shared: &'a CallShared,
    target: TargetKind,
    ticket: QueueTicket,
}

/// How a request comes to ask for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// From its caller.
    New,
    /// From a target that did not take it after it had been let in.
    Refused,
}

enum SlotAnswer {
    Now(Box<TargetRow>),
    Later(
        QueueTicket,
        oneshot::Receiver<Result<TargetSlot, CallRefusal>>,
    ),
}

impl CallShared {
    pub(crate) fn new(
        settings: Arc<EntrySettings>,
        snapshots: Arc<SnapshotCell>,
        counters: Arc<CallCounters>,
    ) -> Self {
        Self {
            settings,
            snapshots,
            counters,
            decisions: Mutex::default(),
        }
    }

    /// Waits for a place at a target.
    ///
    /// # Errors
    ///
    /// Refuses at once when there is no target or the wait would be too long; nothing has run then.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        need: SlotNeed,
        arrival: Arrival,
    ) -> Result<TargetSlot, CallRefusal> {
        let target = need.target.clone();
        match self.ask(need, arrival)? {
            SlotAnswer::Now(row) => Ok(TargetSlot::new(self.clone(), *row)),
            SlotAnswer::Later(ticket, receiver) => {
                let _place = QueuePlace {
                    shared: self,
                    target,
                    ticket,
                };
                receiver.await.map_err(|_| {
                    CallRefusal::new(ResultCode::Internal, "the queue lost the request")
                })?
            }
        }
    }

    /// Takes a place at once or not at all.
    pub(crate) fn try_acquire(self: &Arc<Self>, need: &SlotNeed) -> Option<TargetSlot> {
        let snapshot = self.snapshots.load();
        let now = Instant::now();
        let row = self
            .lock()
            .take_slot(&snapshot, &self.settings.host, need, now)?;
        Some(TargetSlot::new(self.clone(), row))
    }

    /// Gives a place back and lets those that wait go on; a gate that was full is not asked again at once.
    pub(crate) fn release(self: &Arc<Self>, row: &TargetRow, was_full: bool) {
        {
            let mut decisions = self.lock();
            match was_full {
                true => decisions
                    .flights
                    .on_limit_refusal(Instant::now(), &row.host),
                false => decisions.flights.on_finished(&row.host),
            }
        }
        self.pump(&row.kind);
    }

    /// Notes that a caller is refused because every gate was at its limit.
    pub(crate) fn on_overload(&self) {
        self.counters.on_overload(OverloadCause::TargetsFull);
    }

    pub(crate) fn on_failure(&self, host: &HostName) {
        self.lock().outliers.on_failure(Instant::now(), host);
    }

    pub(crate) fn on_success(&self, host: &HostName) {
        self.lock().outliers.on_success(host);
    }

    /// Notes a request of a caller, which earns a part of a retry.
    pub(crate) fn on_request(&self) {
        self.lock().retries.on_request();
    }

    /// Takes a retry from the budget.
    pub(crate) fn take_retry(&self) -> bool {
        self.lock().retries.try_acquire()
    }

    pub(crate) fn hedge_delay(&self, kind: CallKind, left: Duration) -> Option<Duration> {
        self.lock().hedges.delay(kind, left)
    }

    pub(crate) fn on_lookup_answer(&self, latency: Duration) {
        self.lock().hedges.on_answer(latency);
    }

    /// Serves the queues until the runtime ends; rows that arrive can make room as well as requests that end.
    pub(crate) async fn pump_loop(self: Arc<Self>) {
        let mut interval = tokio::time::interval(PUMP_INTERVAL);
        loop {
            interval.tick().await;
            let waiting: Vec<TargetKind> = {
                let decisions = self.lock();
                let pools = decisions.pools.iter();
                pools
                    .filter(|(_, it)| !it.queue.is_empty())
                    .map(|(target, _)| target.clone())
                    .collect()
            };
            for target in &waiting {
                self.pump(target);
            }
        }
    }

    fn ask(&self, need: SlotNeed, arrival: Arrival) -> Result<SlotAnswer, CallRefusal> {
        let snapshot = self.snapshots.load();
        let now = Instant::now();
        let rows = need.open_rows(&snapshot);
        if rows.is_empty() {
            return Err(CallRefusal::new(
                ResultCode::NoTarget,
                "no target is ready for this request",
            ));
        }
        let latest_start = need.latest_start(&rows, now);
        let mut decisions = self.lock();
        let is_next = arrival == Arrival::Refused
            || decisions
                .pools
                .get(&need.target)
                .is_none_or(|it| it.queue.is_empty());
        if is_next
            && let Some(row) = decisions.take_slot(&snapshot, &self.settings.host, &need, now)
        {
            let pool = self.pool(&mut decisions, &need.target);
            pool.queue.on_immediate_dispatch(now, need.cost);
            return Ok(SlotAnswer::Now(Box::new(row)));
        }
        let pool = self.pool(&mut decisions, &need.target);
        let request = need.queue_request(latest_start);
        let pushed = match arrival {
            Arrival::New => pool.queue.push(now, &request),
            Arrival::Refused => Ok((pool.queue.requeue_refused(&request), None)),
        };
        let (ticket, evicted) = match pushed {
            Ok(it) => it,
            Err(refusal) => {
                drop(decisions);
                return Err(self.refused(&refusal));
            }
        };
        let evicted = evicted.and_then(|it| pool.waiters.remove(&it));
        let (reply, receiver) = oneshot::channel();
        let waiter = SlotWaiter {
            need,
            latest_start,
            reply,
        };
        pool.waiters.insert(ticket, waiter);
        drop(decisions);
        if let Some(evicted) = evicted {
            let refusal = QueueRefusal {
                code: ResultCode::OverShare,
                cause: OverloadCause::QueueFull,
                retry_after: EVICTED_RETRY_AFTER,
            };
            let _ = evicted.reply.send(Err(self.refused(&refusal)));
        }
        Ok(SlotAnswer::Later(ticket, receiver))
    }

    /// Answers everybody whose time is over and gives free places to those who are next.
    fn pump(self: &Arc<Self>, target: &TargetKind) {
        let snapshot = self.snapshots.load();
        let now = Instant::now();
        let mut late = Vec::new();
        let mut given = Vec::new();
        {
            let mut decisions = self.lock();
            let Some(mut pool) = decisions.pools.remove(target) else {
                return;
            };
            let expired = pool.queue.remove_expired(now);
            late.extend(expired.iter().filter_map(|it| pool.waiters.remove(it)));
            let mut set_aside = Vec::new();
            while set_aside.len() < MAX_SET_ASIDE
                && let Some(ticket) = pool.queue.pop(now)
            {
                let Some(waiter) = pool.waiters.remove(&ticket) else {
                    continue;
                };
                let own = &self.settings.host;
                match decisions.take_slot(&snapshot, own, &waiter.need, now) {
                    Some(row) => given.push((waiter, row)),
                    None if waiter.need.open_rows(&snapshot).is_empty() => late.push(waiter),
                    None => set_aside.push((ticket, waiter)),
                }
            }
            for (ticket, waiter) in set_aside {
                let request = waiter.need.queue_request(waiter.latest_start);
                pool.queue.undo_pop(ticket, &request);
                pool.waiters.insert(ticket, waiter);
            }
            decisions.pools.insert(target.clone(), pool);
        }
        self.answer_all(late, given);
    }

    fn answer_all(self: &Arc<Self>, late: Vec<SlotWaiter>, given: Vec<(SlotWaiter, TargetRow)>) {
        for waiter in late {
            let refusal = QueueRefusal {
                code: ResultCode::DeadlineNotRun,
                cause: OverloadCause::WaitTooLong,
                retry_after: EVICTED_RETRY_AFTER,
            };
            let _ = waiter.reply.send(Err(self.refused(&refusal)));
        }
        for (waiter, row) in given {
            // A slot that nobody takes any more is dropped, which gives the place back.
            let slot = TargetSlot::new(self.clone(), row);
            let _ = waiter.reply.send(Ok(slot));
        }
    }

    fn refused(&self, refusal: &QueueRefusal) -> CallRefusal {
        self.counters.on_overload(refusal.cause);
        CallRefusal::new(refusal.code, format!("overloaded: {}", refusal.cause))
            .with_retry_after(refusal.retry_after)
    }

    fn pool<'a>(&self, decisions: &'a mut CallDecisions, target: &TargetKind) -> &'a mut WaitPool {
        let pools = &mut decisions.pools;
        pools
            .entry(target.clone())
            .or_insert_with(|| self.new_pool())
    }

    fn new_pool(&self) -> WaitPool {
        let limits = QueueLimits {
            max_waiting: self.settings.limits.queue_length,
            ..QueueLimits::default()
        };
        WaitPool {
            queue: FairQueue::new(limits),
            waiters: Default::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, CallDecisions> {
        self.decisions
            .lock()
            .expect("no holder of the decisions' lock panics")
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let mut decisions = self.shared.lock();
        if let Some(pool) = decisions.pools.get_mut(&self.target) {
            pool.queue.cancel(self.ticket);
            pool.waiters.remove(&self.ticket);
        }
    }
}

/// Time between looks at the queues.
const PUMP_INTERVAL: Duration = Duration::from_millis(20);

/// Waiting requests that are looked at while none of them finds a place.
const MAX_SET_ASIDE: usize = 8;

/// Time after which a request that lost its place may come back.
const EVICTED_RETRY_AFTER: Duration = Duration::from_secs(2);
