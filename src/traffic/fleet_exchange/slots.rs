//! Offers of slots that a daemon leaves unused to daemons of its group that have requests waiting.
//!
//! An offer that is lost, or that comes too late, costs a reservation in vain, or the time until the next
//! reports, as without it.

use super::wire::DaemonMessage;
use super::{FleetExchange, lock};
use crate::fleet_state::{OfferTarget, ServiceHash};
use crate::policy::{Moment, PoolEvent, UpstreamHash, UpstreamIndex};
use crate::traffic::pool_runtime::PoolRuntime;
use crate::traffic::state::TrafficState;
use metrics::counter;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Offers kept until they are sent; more are dropped.
const OFFER_CAPACITY: usize = 256;

/// An unused slot at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotOffer {
    pub service: ServiceHash,
    pub upstream: UpstreamHash,
    /// True if an aggregator has passed the offer on to this daemon.
    pub is_forwarded: bool,
}

/// The way of offers from the pools to the exchange.
#[derive(Debug)]
pub struct OfferChannel {
    sender: mpsc::Sender<SlotOffer>,
    /// None once the exchange is started.
    receiver: std::sync::Mutex<Option<mpsc::Receiver<SlotOffer>>>,
}

impl Default for OfferChannel {
    fn default() -> Self {
        let (sender, receiver) = mpsc::channel(OFFER_CAPACITY);
        OfferChannel { sender, receiver: std::sync::Mutex::new(Some(receiver)) }
    }
}

impl FleetExchange {
    /// Returns the sender by which pools offer slots.
    pub fn offer_sender(&self) -> mpsc::Sender<SlotOffer> {
        self.offers.sender.clone()
    }

    /// Sends an offer on its way: to the group's aggregator, or to a daemon with waiting requests.
    fn send_offer(&self, offer: SlotOffer, now: Moment) {
        let target = self.fleet().and_then(|mut fleet| fleet.offer_slot(offer.service, now));
        let (to, is_forwarded): (SocketAddr, bool) = match target {
            Some(OfferTarget::Member(address)) => (address, true),
            Some(OfferTarget::Aggregator(address)) => (address, false),
            None => return,
        };
        counter!("slot_offers_sent").increment(1);
        self.send(&DaemonMessage::SlotOffer(SlotOffer { is_forwarded, ..offer }), &[to]);
    }
}

/// Sends the offers of this daemon's pools.
pub async fn send_offers(state: Arc<TrafficState>) {
    let receiver = lock(&state.fleet.offers.receiver).take();
    let Some(mut receiver) = receiver else { return };
    while let Some(offer) = receiver.recv().await {
        state.fleet.send_offer(offer, state.clock.now());
    }
}

/// Handles another daemon's offer: a waiting request of this daemon takes the slot, or the aggregator
/// passes the offer on.
pub fn handle_offer(state: &TrafficState, offer: SlotOffer) {
    let pools = state.pools();
    let wanting = pools.values().find_map(|pool| Some((pool, offered_to(pool, &offer)?)));
    match wanting {
        Some((pool, upstream)) => {
            counter!("slot_offers_taken").increment(1);
            pool.handle_event(PoolEvent::SlotFreed { upstream });
        }
        None if !offer.is_forwarded => state.fleet.send_offer(offer, state.clock.now()),
        None => {}
    }
}

/// The upstream of an offer, if requests of the pool wait for a slot.
fn offered_to(pool: &PoolRuntime, offer: &SlotOffer) -> Option<UpstreamIndex> {
    if ServiceHash::of(&pool.service) != offer.service {
        return None;
    }
    pool.inspect(|scheduler| {
        let matches = |name, incarnation| {
            UpstreamHash::of(&pool.service, name, incarnation) == offer.upstream
        };
        let mut upstreams = scheduler.upstreams().iter().filter(|_| scheduler.has_waiting());
        let found = upstreams.find(|it| matches(&it.source.name, it.source.incarnation));
        found.map(|status| status.index)
    })
}
