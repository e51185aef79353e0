//! Compares the fair queue with a reference implementation, and checks shares, eviction and expiry.

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::{OrganisationName, ResultCode};
use routing::{FairQueue, QueueLimits, QueueRequest, QueueTicket};
use support::{organisation, with_fixed_seeds};

/// Reference implementation that searches one list linearly.
#[derive(Default)]
struct ReferenceQueue {
    waiting: Vec<ReferenceRequest>,
    virtual_starts: BTreeMap<usize, f64>,
    virtual_time: f64,
}

struct ReferenceRequest {
    ticket: QueueTicket,
    organisation: usize,
    priority: u8,
    cost: u32,
}

impl ReferenceQueue {
    fn push(&mut self, request: ReferenceRequest) {
        if !self
            .waiting
            .iter()
            .any(|it| it.organisation == request.organisation)
        {
            let start = self.virtual_starts.entry(request.organisation).or_default();
            *start = start.max(self.virtual_time);
        }
        self.waiting.push(request);
    }

    fn pop(&mut self) -> Option<QueueTicket> {
        let (idx, _) = self.waiting.iter().enumerate().min_by(|(_, a), (_, b)| {
            let (a_start, b_start) = (
                self.virtual_starts[&a.organisation],
                self.virtual_starts[&b.organisation],
            );
            a_start
                .total_cmp(&b_start)
                .then(a.organisation.cmp(&b.organisation))
                .then(b.priority.cmp(&a.priority))
                .then(a.ticket.cmp(&b.ticket))
        })?;
        let request = self.waiting.remove(idx);
        let start = self.virtual_starts.get_mut(&request.organisation)?;
        self.virtual_time = self.virtual_time.max(*start);
        *start += f64::from(request.cost) / f64::from(WEIGHTS[request.organisation]);
        Some(request.ticket)
    }

    fn remove(&mut self, ticket: QueueTicket) {
        self.waiting.retain(|it| it.ticket != ticket);
    }
}

const WEIGHTS: [u32; 4] = [1, 1, 2, 5];

fn names() -> Vec<OrganisationName> {
    (0..4).map(|it| organisation(&format!("o{it}"))).collect()
}

fn limits(max_waiting: usize) -> QueueLimits {
    QueueLimits {
        max_waiting,
        max_wait: Duration::from_secs(1_000_000),
    }
}

#[test]
fn pops_in_the_order_of_the_reference_queue() {
    let names = names();
    with_fixed_seeds(|u| {
        let mut now = Instant::now();
        let mut queue = FairQueue::new(limits(10_000));
        let mut reference = ReferenceQueue::default();
        let mut tickets = Vec::new();
        while !u.is_empty() {
            now += Duration::from_millis(1);
            match u.int_in_range(0..=9u8)? {
                0..=5 => {
                    let idx = u.choose_index(4)?;
                    let request = QueueRequest {
                        organisation: &names[idx],
                        weight: WEIGHTS[idx],
                        priority: u.int_in_range(0..=9)?,
                        cost: u.int_in_range(1..=100)?,
                        latest_start: now + Duration::from_secs(1_000_000),
                    };
                    let (ticket, evicted) = queue.push(now, &request).unwrap();
                    assert_eq!(evicted, None);
                    tickets.push(ticket);
                    reference.push(ReferenceRequest {
                        ticket,
                        organisation: idx,
                        priority: request.priority,
                        cost: request.cost,
                    });
                }
                6 if !tickets.is_empty() => {
                    let ticket = *u.choose(&tickets)?;
                    queue.cancel(ticket);
                    reference.remove(ticket);
                }
                _ => assert_eq!(queue.pop(now), reference.pop()),
            }
            assert_eq!(queue.len(), reference.waiting.len());
        }
        Ok(())
    });
}

/// Pops work with a total cost of 4,000 from two backlogged organisations and returns the cost served to each.
fn served_costs(small_weight: u32, small_cost: u32, large_cost: u32) -> (u32, u32) {
    let (small, large) = (organisation("small"), organisation("large"));
    let now = Instant::now();
    let mut queue = FairQueue::new(limits(10_000));
    let mut costs = BTreeMap::new();
    for idx in 0..8_000 {
        let (organisation, weight, cost, priority) = match idx % 8 {
            0 => (&small, small_weight, small_cost, 0),
            _ => (&large, 1, large_cost, 9),
        };
        let request = QueueRequest {
            organisation,
            weight,
            priority,
            cost,
            latest_start: now + Duration::from_secs(60),
        };
        let (ticket, _) = queue.push(now, &request).unwrap();
        costs.insert(ticket, (organisation == &small, cost));
    }
    let mut shares = (0, 0);
    while shares.0 + shares.1 < 4_000 {
        let (is_small, cost) = costs[&queue.pop(now).unwrap()];
        match is_small {
            true => shares.0 += cost,
            false => shares.1 += cost,
        }
    }
    shares
}

#[test]
fn a_burst_of_urgent_requests_does_not_reduce_the_share_of_others() {
    assert_eq!(served_costs(1, 10, 10), (2_000, 2_000));
    assert_eq!(served_costs(1, 10, 100), (2_000, 2_000));
    assert_eq!(served_costs(3, 10, 10), (3_000, 1_000));
}

#[test]
fn a_full_queue_evicts_from_the_largest_backlog() {
    let (small, large) = (organisation("small"), organisation("large"));
    let now = Instant::now();
    let mut queue = FairQueue::new(limits(4));
    let request = |organisation| QueueRequest {
        organisation,
        weight: 1,
        priority: 5,
        cost: 10,
        latest_start: now + Duration::from_secs(60),
    };
    let mut last = None;
    for _ in 0..4 {
        last = Some(queue.push(now, &request(&large)).unwrap().0);
    }
    let refusal = queue.push(now, &request(&large)).unwrap_err();
    assert_eq!(refusal.code, ResultCode::Overloaded);
    let (_, evicted) = queue.push(now, &request(&small)).unwrap();
    assert_eq!(evicted, last);
    let refusal = queue.push(now, &request(&large)).unwrap_err();
    assert_eq!(refusal.code, ResultCode::OverShare);
    assert!(refusal.retry_after >= Duration::from_secs(1));
}

#[test]
fn requests_that_cannot_start_in_time_are_refused_early() {
    let name = organisation("o");
    let start = Instant::now();
    let mut queue = FairQueue::new(limits(1_000));
    let request = |wait_ms| QueueRequest {
        organisation: &name,
        weight: 1,
        priority: 5,
        cost: 1,
        latest_start: start + Duration::from_millis(wait_ms),
    };
    for _ in 0..100 {
        queue.push(start, &request(60_000)).unwrap();
    }
    // Serve ten requests per second while others are queued.
    for idx in 1..=30 {
        queue.pop(start + Duration::from_millis(100 * idx));
    }
    let now = start + Duration::from_secs(3);
    let (expiring, _) = queue.push(now, &request(20_000)).unwrap();
    let refusal = queue.push(now, &request(8_000)).unwrap_err();
    assert_eq!(refusal.code, ResultCode::Overloaded);
    assert!(
        queue
            .remove_expired(start + Duration::from_secs(20))
            .is_empty()
    );
    assert_eq!(
        queue.remove_expired(start + Duration::from_secs(21)),
        [expiring]
    );
}

#[test]
fn a_refused_request_is_requeued_at_the_front_of_its_own_organisation_only() {
    let (a, b) = (organisation("a"), organisation("b"));
    let now = Instant::now();
    let mut queue = FairQueue::new(limits(10));
    let request = |organisation| QueueRequest {
        organisation,
        weight: 1,
        priority: 5,
        cost: 10,
        latest_start: now + Duration::from_secs(60),
    };
    let (first, _) = queue.push(now, &request(&a)).unwrap();
    let (other, _) = queue.push(now, &request(&b)).unwrap();
    let refused = queue.requeue_refused(&request(&a));
    let order: Vec<_> = std::iter::from_fn(|| queue.pop(now)).collect();
    assert_eq!(order, [refused, other, first]);
}
