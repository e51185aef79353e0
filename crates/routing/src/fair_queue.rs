//! Weighted fair queue of requests from several organisations.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::{OrganisationName, OverloadCause, ResultCode};

use crate::queue_backlog::{QueueBacklog, WaitingKey, WaitingRequest};
use crate::queue_request::{QueueLimits, QueueRefusal, QueueRequest, QueueTicket};
use crate::service_rate::ServiceRate;

/// Weighted start-time fair queueing between organisations, with priorities within each organisation.
///
/// Priorities do not apply across organisations: otherwise an organisation that marks all its requests as urgent would
/// take the others' shares. Requests that cannot start in time are refused early instead of timing out in the queue.
#[derive(Clone, Debug)]
pub struct FairQueue {
    limits: QueueLimits,
    backlogs: BTreeMap<OrganisationName, QueueBacklog>,
    index: BTreeMap<QueueTicket, (OrganisationName, u8)>,
    virtual_time: f64,
    next_ticket: u64,
    next_front_ticket: u64,
    rate: ServiceRate,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            backlogs: BTreeMap::new(),
            index: BTreeMap::new(),
            virtual_time: 0.0,
            next_ticket: FIRST_TICKET,
            next_front_ticket: FIRST_TICKET,
            rate: ServiceRate::default(),
        }
    }

    /// Queues a request, and returns its ticket and the ticket of a request evicted from the full queue, if any.
    ///
    /// # Errors
    ///
    /// Returns a [`QueueRefusal`] if the expected wait exceeds the request's latest start or the limits, or if the
    /// queue is full and no other organisation has a longer queue relative to its weight.
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
        if self.index.len() >= self.limits.max_waiting {
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

    /// Queues a request that a gate refused after dispatch, ahead of its organisation's other requests of the same
    /// priority.
    pub fn requeue_refused(&mut self, request: &QueueRequest<'_>) -> QueueTicket {
        self.next_front_ticket -= 1;
        let ticket = QueueTicket(self.next_front_ticket);
        self.insert(ticket, request);
        self.rate.on_refused(request.cost);
        ticket
    }

    /// Restores a popped request to its position, because no target had capacity for it.
    pub fn undo_pop(&mut self, ticket: QueueTicket, request: &QueueRequest<'_>) {
        self.insert(ticket, request);
        let backlog = self
            .backlogs
            .get_mut(request.organisation)
            .expect("the request was inserted above");
        backlog.virtual_start -= f64::from(request.cost) / f64::from(backlog.weight);
        self.rate.on_refused(request.cost);
    }

    /// Records a request that was dispatched without queueing, which counts towards the capacity estimate.
    pub fn on_immediate_dispatch(&mut self, now: Instant, cost: u32) {
        let is_backlogged = !self.index.is_empty();
        self.rate.on_served(now, cost, is_backlogged);
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self, now: Instant) -> Option<QueueTicket> {
        let (_, backlog) = self
            .backlogs
            .iter_mut()
            .filter(|(_, it)| !it.waiting.is_empty())
            .min_by(|(_, a), (_, b)| a.virtual_start.total_cmp(&b.virtual_start))?;
        let key = *backlog.waiting.keys().next()?;
        let request = backlog.remove(&key)?;
        self.virtual_time = self.virtual_time.max(backlog.virtual_start);
        backlog.virtual_start += f64::from(request.cost) / f64::from(backlog.weight);
        self.index.remove(&key.1);
        let is_backlogged = !self.index.is_empty();
        self.rate.on_served(now, request.cost, is_backlogged);
        self.remove_idle();
        Some(key.1)
    }

    /// Removes and returns all requests that can no longer start in time.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<QueueTicket> {
        let expired: Vec<QueueTicket> = self
            .backlogs
            .values()
            .flat_map(|it| &it.waiting)
            .filter(|(_, it)| it.latest_start < now)
            .map(|((_, ticket), _)| *ticket)
            .collect();
        for ticket in &expired {
            self.cancel(*ticket);
        }
        expired
    }

    /// Removes a request whose caller has disconnected.
    pub fn cancel(&mut self, ticket: QueueTicket) {
        let Some((organisation, priority)) = self.index.remove(&ticket) else {
            return;
        };
        if let Some(backlog) = self.backlogs.get_mut(&organisation) {
            backlog.remove(&(Reverse(priority), ticket));
        }
        self.remove_idle();
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Estimates the queueing delay of a request that arrives now.
    ///
    /// The request waits for the requests of its own organisation that are ahead of it, and for the shares that other
    /// organisations use meanwhile, which are bounded by their queued work.
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
            .map(|(_, it)| (own as f64 * f64::from(it.weight) / weight).min(it.total_cost as f64))
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
            backlog.virtual_start = backlog.virtual_start.max(virtual_time);
        }
        backlog.weight = weight;
        let waiting = WaitingRequest {
            cost: request.cost.max(1),
            latest_start: request.latest_start,
        };
        backlog.insert((Reverse(request.priority), ticket), waiting);
        let entry = (request.organisation.clone(), request.priority);
        self.index.insert(ticket, entry);
    }

    /// Evicts the last request of the organisation with the longest queue relative to its weight. Returns `None` if
    /// that queue is not longer than the one of the new request's organisation would be.
    fn evict_for(&mut self, request: &QueueRequest<'_>) -> Option<QueueTicket> {
        let weight = f64::from(request.weight.max(1));
        let own = self
            .backlogs
            .get(request.organisation)
            .map_or(0, |it| it.waiting.len());
        let (_, largest) = self
            .backlogs
            .iter()
            .max_by(|(_, a), (_, b)| a.weighted_length().total_cmp(&b.weighted_length()))?;
        if largest.weighted_length() <= (own + 1) as f64 / weight {
            return None;
        }
        let (last, _): (&WaitingKey, _) = largest.waiting.last_key_value()?;
        let ticket = last.1;
        self.cancel(ticket);
        Some(ticket)
    }

    fn refuse(&self, cause: OverloadCause, retry_after: Duration) -> QueueRefusal {
        let is_only_organisation = self
            .backlogs
            .values()
            .filter(|it| !it.waiting.is_empty())
            .count()
            < 2;
        let code = match cause {
            OverloadCause::QueueFull if !is_only_organisation => ResultCode::OverShare,
            _ => ResultCode::Overloaded,
        };
        QueueRefusal {
            code,
            cause,
            retry_after: retry_after.max(MIN_RETRY_AFTER),
        }
    }

    /// Removes organisations that have no queued requests, except those whose virtual start time is ahead of the
    /// virtual time: these have already used a share that still counts when they queue again.
    fn remove_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.backlogs
            .retain(|_, it| !it.waiting.is_empty() || it.virtual_start > virtual_time);
    }
}

/// First regular ticket; lower tickets are used for requests at the front.
const FIRST_TICKET: u64 = 1 << 40;

/// Lower bound of [`QueueRefusal::retry_after`].
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
