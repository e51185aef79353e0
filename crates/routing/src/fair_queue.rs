//! Waiting requests, shared fairly between organisations.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::{OrganisationName, OverloadCause, ResultCode};

use crate::queue_backlog::{QueueBacklog, WaitingKey, WaitingRequest};
use crate::queue_request::{QueueLimits, QueueRefusal, QueueRequest, QueueTicket};
use crate::service_rate::ServiceRate;

/// Start-time fair queueing by weight, with priorities inside each organisation.
///
/// A priority never moves a request ahead of another organisation's: otherwise the one that marks everything urgent
/// would take the others' share. What cannot start in time is handed back at once instead of waiting in vain.
#[derive(Clone, Debug)]
pub struct FairQueue {
    limits: QueueLimits,
    backlogs: BTreeMap<OrganisationName, QueueBacklog>,
    places: BTreeMap<QueueTicket, (OrganisationName, u8)>,
    virtual_time: f64,
    next_ticket: u64,
    next_front: u64,
    rate: ServiceRate,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            backlogs: BTreeMap::new(),
            places: BTreeMap::new(),
            virtual_time: 0.0,
            next_ticket: FIRST_TICKET,
            next_front: FIRST_TICKET,
            rate: ServiceRate::default(),
        }
    }

    /// Lets a request wait; also returns the one that has to leave for it when the queue was full.
    ///
    /// # Errors
    ///
    /// Refuses early when the expected wait is longer than the request or the limits allow, or when the queue is full
    /// and no other organisation uses more of it.
    pub fn push(
        &mut self,
        now: Instant,
        request: &QueueRequest<'_>,
    ) -> Result<(QueueTicket, Option<QueueTicket>), QueueRefusal> {
        let wait = self.expected_wait(request);
        let allowed = request
            .latest_start
            .saturating_duration_since(now)
            .min(self.limits.max_wait);
        if wait > allowed {
            return Err(self.refuse(OverloadCause::WaitTooLong, wait - allowed));
        }
        let mut evicted = None;
        if self.places.len() >= self.limits.max_waiting {
            evicted = self.evict_for(request);
            if evicted.is_none() {
                return Err(self.refuse(OverloadCause::QueueFull, wait));
            }
        }
        let ticket = QueueTicket(self.next_ticket);
        self.next_ticket += 1;
        self.insert(ticket, request);
        Ok((ticket, evicted))
    }

    /// Lets a request wait ahead of its organisation's others, because it had been let in and a gate refused it.
    pub fn requeue_refused(&mut self, request: &QueueRequest<'_>) -> QueueTicket {
        self.next_front -= 1;
        let ticket = QueueTicket(self.next_front);
        self.insert(ticket, request);
        self.rate.on_refused(request.cost);
        ticket
    }

    /// Puts a request back in its old place, because no target had room for it.
    pub fn undo_pop(&mut self, ticket: QueueTicket, request: &QueueRequest<'_>) {
        self.insert(ticket, request);
        let backlog = self
            .backlogs
            .get_mut(request.organisation)
            .expect("the request was inserted above");
        backlog.start -= f64::from(request.cost) / f64::from(backlog.weight);
        self.rate.on_refused(request.cost);
    }

    /// Notes a request that found a place without waiting, which tells of the capacity as well.
    pub fn on_immediate_dispatch(&mut self, now: Instant, cost: u32) {
        let is_backlogged = !self.places.is_empty();
        self.rate.on_served(now, cost, is_backlogged);
    }

    /// Takes the next request out.
    pub fn pop(&mut self, now: Instant) -> Option<QueueTicket> {
        let (_, backlog) = self
            .backlogs
            .iter_mut()
            .filter(|(_, it)| !it.waiting.is_empty())
            .min_by(|(_, a), (_, b)| a.start.total_cmp(&b.start))?;
        let key = *backlog.waiting.keys().next()?;
        let request = backlog.remove(&key)?;
        self.virtual_time = self.virtual_time.max(backlog.start);
        backlog.start += f64::from(request.cost) / f64::from(backlog.weight);
        self.places.remove(&key.1);
        let is_backlogged = !self.places.is_empty();
        self.rate.on_served(now, request.cost, is_backlogged);
        self.drop_idle();
        Some(key.1)
    }

    /// Takes out every request that can no longer start in time, so that each gets its answer at once.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<QueueTicket> {
        let late: Vec<QueueTicket> = self
            .backlogs
            .values()
            .flat_map(|it| &it.waiting)
            .filter(|(_, it)| it.latest_start < now)
            .map(|((_, ticket), _)| *ticket)
            .collect();
        for ticket in &late {
            self.cancel(*ticket);
        }
        late
    }

    /// Takes a request out whose caller went away.
    pub fn cancel(&mut self, ticket: QueueTicket) {
        let Some((organisation, priority)) = self.places.remove(&ticket) else {
            return;
        };
        if let Some(backlog) = self.backlogs.get_mut(&organisation) {
            backlog.remove(&(Reverse(priority), ticket));
        }
        self.drop_idle();
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Estimates how long a request that arrives now would wait.
    ///
    /// It waits for what its own organisation has ahead of it, stretched by the others' shares, but never longer than
    /// for everything that waits.
    pub fn expected_wait(&self, request: &QueueRequest<'_>) -> Duration {
        let Some(rate) = self.rate.cost_per_second() else {
            return Duration::ZERO;
        };
        let weight = f64::from(request.weight.max(1));
        let own = self
            .backlogs
            .get(request.organisation)
            .map_or(0, |it| it.cost_ahead(request.priority));
        let others: f64 = self
            .backlogs
            .iter()
            .filter(|(name, it)| *name != request.organisation && !it.waiting.is_empty())
            .map(|(_, it)| (own as f64 * f64::from(it.weight) / weight).min(it.cost as f64))
            .sum();
        Duration::try_from_secs_f64((own as f64 + others) / rate).unwrap_or(Duration::MAX)
    }

    fn insert(&mut self, ticket: QueueTicket, request: &QueueRequest<'_>) {
        let virtual_time = self.virtual_time;
        let weight = request.weight.max(1);
        let backlog = self
            .backlogs
            .entry(request.organisation.clone())
            .or_insert_with(|| QueueBacklog::new(weight, virtual_time));
        if backlog.waiting.is_empty() {
            backlog.start = backlog.start.max(virtual_time);
        }
        backlog.weight = weight;
        let waiting = WaitingRequest {
            cost: request.cost.max(1),
            latest_start: request.latest_start,
        };
        backlog.insert((Reverse(request.priority), ticket), waiting);
        let place = (request.organisation.clone(), request.priority);
        self.places.insert(ticket, place);
    }

    /// Makes room at the cost of the organisation that uses most of the queue for its weight.
    fn evict_for(&mut self, request: &QueueRequest<'_>) -> Option<QueueTicket> {
        let weight = f64::from(request.weight.max(1));
        let own = self
            .backlogs
            .get(request.organisation)
            .map_or(0, |it| it.waiting.len());
        let (_, largest) = self
            .backlogs
            .iter()
            .max_by(|(_, a), (_, b)| a.pressure().total_cmp(&b.pressure()))?;
        if largest.pressure() <= (own + 1) as f64 / weight {
            return None;
        }
        let (last, _): (&WaitingKey, _) = largest.waiting.last_key_value()?;
        let ticket = last.1;
        self.cancel(ticket);
        Some(ticket)
    }

    fn refuse(&self, cause: OverloadCause, retry_after: Duration) -> QueueRefusal {
        let alone = self
            .backlogs
            .values()
            .filter(|it| !it.waiting.is_empty())
            .count()
            < 2;
        let code = match cause {
            OverloadCause::QueueFull if !alone => ResultCode::OverShare,
            _ => ResultCode::Overloaded,
        };
        QueueRefusal {
            code,
            cause,
            retry_after: retry_after.max(MIN_RETRY_AFTER),
        }
    }

    /// Forgets organisations that have nothing waiting and no used share to remember.
    fn drop_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.backlogs
            .retain(|_, it| !it.waiting.is_empty() || it.start > virtual_time);
    }
}

/// Number of the first ticket; those below stand ahead of it.
const FIRST_TICKET: u64 = 1 << 40;

/// Shortest time after which a caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
