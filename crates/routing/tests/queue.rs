//! The fair queue against a naive version, and the shares that it gives.

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::{OrganisationName, ResultCode};
use routing::{FairQueue, QueueLimits, QueueRequest, QueueTicket};
use support::{on_fixed_seeds, organisation};

/// Keeps everything in one list and searches it from the start each time.
#[derive(Default)]
struct NaiveQueue {
    waiting: Vec<NaiveRequest>,
    starts: BTreeMap<usize, f64>,
    virtual_time: f64,
}

struct NaiveRequest {
    ticket: QueueTicket,
    organisation: usize,
    priority: u8,
    cost: u32,
}

impl NaiveQueue {
    fn push(&mut self, request: NaiveRequest) {
        if !self
            .waiting
            .iter()
            .any(|it| it.organisation == request.organisation)
        {
            let start = self.starts.entry(request.organisation).or_default();
            *start = start.max(self.virtual_time);
        }
        self.waiting.push(request);
    }

    fn pop(&mut self) -> Option<QueueTicket> {
        let (idx, _) = self.waiting.iter().enumerate().min_by(|(_, a), (_, b)| {
            let (a_start, b_start) = (self.starts[&a.organisation], self.starts[&b.organisation]);
            a_start
                .total_cmp(&b_start)
                .then(a.organisation.cmp(&b.organisation))
                .then(b.priority.cmp(&a.priority))
                .then(a.ticket.cmp(&b.ticket))
        })?;
        let request = self.waiting.remove(idx);
        let start = self.starts.get_mut(&request.organisation)?;
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
fn pops_in_the_order_of_the_naive_queue() {
    let names = names();
    on_fixed_seeds(|u| {
        let mut now = Instant::now();
        let mut queue = FairQueue::new(limits(10_000));
        let mut naive = NaiveQueue::default();
        let mut tickets = Vec::new();
        while !u.is_empty() {
            now += Duration::from_millis(1);
            match u.int_in_range(0..=9u8)? {
                0..=5 => {
                    let who = u.choose_index(4)?;
                    let request = QueueRequest {
                        organisation: &names[who],
                        weight: WEIGHTS[who],
                        priority: u.int_in_range(0..=9)?,
                        cost: u.int_in_range(1..=100)?,
                        latest_start: now + Duration::from_secs(1_000_000),
                    };
                    let (ticket, evicted) = queue.push(now, &request).unwrap();
                    assert_eq!(evicted, None);
                    tickets.push(ticket);
                    naive.push(NaiveRequest {
                        ticket,
                        organisation: who,
                        priority: request.priority,
                        cost: request.cost,
                    });
                }
                6 if !tickets.is_empty() => {
                    let ticket = *u.choose(&tickets)?;
                    queue.cancel(ticket);
                    naive.remove(ticket);
                }
                _ => assert_eq!(queue.pop(now), naive.pop()),
            }
            assert_eq!(queue.len(), naive.waiting.len());
        }
        Ok(())
    });
}

/// Serves 4,000 units to a small and a large organisation and returns what each got.
fn served(small_weight: u32, small_cost: u32, large_cost: u32) -> (u32, u32) {
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
fn a_flood_of_urgent_requests_leaves_the_others_their_share() {
    assert_eq!(served(1, 10, 10), (2_000, 2_000));
    assert_eq!(served(1, 10, 100), (2_000, 2_000));
    assert_eq!(served(3, 10, 10), (3_000, 1_000));
}

#[test]
fn a_full_queue_cuts_the_largest_backlog() {
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
fn what_cannot_start_in_time_is_handed_back_at_once() {
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
    // Ten requests in each second, while others wait.
    for idx in 1..=30 {
        queue.pop(start + Duration::from_millis(100 * idx));
    }
    let now = start + Duration::from_secs(3);
    let (late, _) = queue.push(now, &request(20_000)).unwrap();
    let refusal = queue.push(now, &request(8_000)).unwrap_err();
    assert_eq!(refusal.code, ResultCode::Overloaded);
    assert!(
        queue
            .remove_expired(start + Duration::from_secs(20))
            .is_empty()
    );
    assert_eq!(
        queue.remove_expired(start + Duration::from_secs(21)),
        [late]
    );
}

#[test]
fn a_request_that_a_gate_refused_goes_ahead_of_its_own_organisation_only() {
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
