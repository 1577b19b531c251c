//! Whom to tell of a slot that a daemon leaves unused.

use super::FleetState;
use super::peers::MemberState;
use crate::fleet_state::ServiceHash;
use crate::policy::Moment;
use std::net::SocketAddr;

/// The next receiver of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferTarget {
    /// The group's aggregator, which knows the waiting requests of each member.
    Aggregator(SocketAddr),
    /// A daemon with waiting requests.
    Member(SocketAddr),
}

impl FleetState {
    /// Returns whom to tell of an unused slot at an upstream of a service, and counts the offer: the
    /// member with the most waiting requests that has not been told of as many slots since its last
    /// report. `None` if no member is known to wait.
    pub fn offer_slot(&mut self, service: ServiceHash, now: Moment) -> Option<OfferTarget> {
        if !self.has_direct_view(now) {
            return self.choice.chosen().map(OfferTarget::Aggregator);
        }
        let (ttl, own) = (self.work_ttl(), &self.identity.daemon);
        let others = self.members.iter_mut().filter(|(daemon, _)| *daemon != own);
        let fresh = others.filter(|(_, member)| now.since(member.last_heard) < ttl);
        let wanting = fresh.map(|(_, member)| (unserved(member, service), member));
        let (_, member) =
            wanting.filter(|(count, _)| *count > 0).max_by_key(|(count, _)| *count)?;
        member.offered_slots += 1;
        Some(OfferTarget::Member(member.address))
    }
}

/// Waiting requests of a service that the member has not been told of a slot for.
fn unserved(member: &MemberState, service: ServiceHash) -> u32 {
    let rows = member.waiting.iter().filter(|row| row.service == service);
    let waiting: u32 = rows.map(|row| row.count).sum();
    waiting.saturating_sub(member.offered_slots)
}
