//! Operators in virtual time, who call the voters by the platform's rules: any machine of a list
//! that lags, redirects followed twice, and pauses that grow after each failure.

use crate::slow_voters::SlowFleet;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::time::Duration;
use tarragonknot::policy::Moment;

/// Age of the list of machines.
const LIST_LAG: Duration = Duration::from_secs(3);
const LIST_INTERVAL: Duration = Duration::from_millis(100);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time to wait for the response to a large body.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
const MIN_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_secs(2);
const MAX_REDIRECTS: usize = 2;
/// Maximum number of orders under way.
const MAX_ORDERS_UNDER_WAY: usize = 8;

/// Number of a call; each attempt and each redirect has its own.
pub type CallId = u64;

/// A voter's answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallAnswer {
    /// Acknowledged.
    Done,
    /// Redirected to a machine.
    Elsewhere(usize),
    /// Refused without a clear outcome.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
enum CallState {
    Paused { until: Moment },
    Waiting { call: CallId, until: Moment, redirects: usize },
    Redirected { machine: usize, redirects: usize },
}

/// An order that is sent until it is acknowledged.
#[derive(Clone, Debug)]
pub struct ClientOrder {
    pub version: u64,
    pub sent_at: Moment,
    pub acked_at: Option<Moment>,
    state: CallState,
    pause: Duration,
}

/// The operators and their orders.
pub struct OrderClients {
    rng: ChaCha8Rng,
    interval: Duration,
    order_at: Moment,
    pub orders: Vec<ClientOrder>,
    lists: VecDeque<(Moment, Vec<usize>)>,
    listed_at: Moment,
    next_call: CallId,
}

impl OrderClients {
    /// Operators that give an order each `interval`.
    pub fn new(interval: Duration, seed: u64) -> Self {
        OrderClients {
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x0_1d3),
            interval,
            order_at: Moment(0),
            orders: Vec::new(),
            lists: VecDeque::new(),
            listed_at: Moment(0),
            next_call: 0,
        }
    }

    /// The longest time that an order waited for its acknowledgement, not counted before `since`.
    pub fn longest_wait(&self, since: Moment, now: Moment) -> Duration {
        let wait =
            |order: &ClientOrder| order.acked_at.unwrap_or(now).since(order.sent_at.max(since));
        self.orders.iter().map(wait).max().unwrap_or_default()
    }

    fn add_order(&mut self, now: Moment) {
        let version = self.orders.len() as u64 + 1;
        self.orders.push(ClientOrder {
            version,
            sent_at: now,
            acked_at: None,
            state: CallState::Paused { until: now },
            pause: MIN_PAUSE,
        });
    }

    /// Gives orders, begins calls and ends those without a response.
    pub fn drive(&mut self, fleet: &mut SlowFleet) {
        let now = fleet.now;
        if now >= self.listed_at {
            self.listed_at = now + LIST_INTERVAL;
            self.lists.push_back((now, fleet.running()));
            while self.lists.get(1).is_some_and(|(at, _)| now.since(*at) >= LIST_LAG) {
                self.lists.pop_front();
            }
        }
        let under_way = self.orders.iter().filter(|order| order.acked_at.is_none()).count();
        if now >= self.order_at && under_way < MAX_ORDERS_UNDER_WAY {
            self.order_at = now + self.interval;
            self.add_order(now);
        }
        for number in 0..self.orders.len() {
            let order = &self.orders[number];
            match order.state {
                _ if order.acked_at.is_some() => {}
                CallState::Paused { until } if now >= until => {
                    let listed = self.lists.front().map_or(&[][..], |(_, listed)| listed);
                    if let Some(machine) = listed.choose(&mut self.rng).copied() {
                        self.call(fleet, number, machine, MAX_REDIRECTS);
                    }
                }
                CallState::Redirected { machine, redirects } => {
                    self.call(fleet, number, machine, redirects);
                }
                CallState::Waiting { until, .. } if now >= until => {
                    self.orders[number].fail(now);
                }
                _ => {}
            }
        }
    }

    fn call(&mut self, fleet: &mut SlowFleet, number: usize, machine: usize, redirects: usize) {
        let now = fleet.now;
        self.next_call += 1;
        let order = &mut self.orders[number];
        let is_up = fleet.call(machine, self.next_call, order.version);
        let until = now + if is_up { RESPONSE_TIMEOUT } else { CONNECT_TIMEOUT };
        order.state = CallState::Waiting { call: self.next_call, until, redirects };
    }

    /// Passes a voter's answer to the order that waits for it.
    pub fn answer(&mut self, call: CallId, answer: CallAnswer, now: Moment) {
        let waits = |order: &&mut ClientOrder| matches!(order.state, CallState::Waiting { call: known, .. } if known == call);
        let Some(order) = self.orders.iter_mut().find(waits) else { return };
        let CallState::Waiting { redirects, .. } = order.state else { return };
        match answer {
            CallAnswer::Done => {
                order.acked_at = Some(now);
                order.state = CallState::Paused { until: now };
            }
            CallAnswer::Elsewhere(machine) if redirects > 0 => {
                order.state = CallState::Redirected { machine, redirects: redirects - 1 };
            }
            CallAnswer::Elsewhere(_) | CallAnswer::Unknown => order.fail(now),
        }
    }
}

impl ClientOrder {
    /// Pauses before the next attempt, each time longer.
    fn fail(&mut self, now: Moment) {
        self.state = CallState::Paused { until: now + self.pause };
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }
}
