//! Waits until the scheduler places a request at an upstream.

use super::admission::{RouteMatch, match_route};
use super::request::RoutedRequest;
use super::reserve::{NOT_RESERVED, ReservationOutcome, reserve};
use super::send_history::SendHistory;
use crate::answer::AnswerKind;
use crate::fleet_state::ServiceHash;
use crate::policy::{
    ArrivedRequest, DispatchOutcome, Moment, PlacementDemand, PoolEvent, RequestId, RouteKey,
    UpstreamEvent, UpstreamIndex,
};
use crate::rollout::VersionArm;
use crate::stream_origin::StreamOrigin;
use crate::table::{RouteKind, ServiceName, SoftwareVersion, UpstreamName};
use crate::traffic::crash_check::BrokenUpstream;
use crate::traffic::pool_runtime::{PoolDecision, PoolRuntime, RequestGuard};
use crate::traffic::rollout_gate::TrialTicket;
use crate::traffic::state::ChosenPool;
use slog::info;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;

/// The placement of a request at an upstream.
pub struct PlacedRequest {
    pub pool: Arc<PoolRuntime>,
    pub guard: RequestGuard,
    /// The request's id in its pool.
    pub number: RequestId,
    pub upstream: UpstreamIndex,
    pub name: UpstreamName,
    pub address: SocketAddr,
    /// Software version of the upstream, as listed when it was chosen.
    pub version: Option<SoftwareVersion>,
    pub sent_at: Moment,
    /// Id of the place that the upstream reserved.
    pub place_id: Option<String>,
    /// The arm of the service's roll-out that the upstream's version belongs to.
    pub arm: VersionArm,
    /// Set if the request counts towards the share of a version on trial.
    pub ticket: Option<TrialTicket>,
}

impl PlacedRequest {
    /// What begins a stream here.
    pub fn origin(&self) -> StreamOrigin {
        StreamOrigin::new(&self.pool.service, self.version.as_ref())
    }

    /// Describes the upstream for the crash check after a broken connection.
    pub fn broken_upstream(&self) -> BrokenUpstream {
        BrokenUpstream {
            service: self.pool.service.clone(),
            version: self.pool.version.clone(),
            upstream: self.name.clone(),
            index: self.upstream,
            incarnation: self.pool.incarnation(self.upstream),
            address: self.address,
        }
    }
}

impl RoutedRequest {
    /// Waits until the scheduler places the request at an upstream. The table is checked again
    /// before each send, since a route may have changed and a key may have been revoked while the
    /// request waited. So is the quarantine: every send passes here, whether it is the first one, a
    /// retry, or the resumption of a stream.
    ///
    /// A request that has already failed goes to the proven version, not to one on trial.
    pub async fn place(&mut self, history: SendHistory) -> Result<PlacedRequest, AnswerKind> {
        let mut changes = self.state.rollouts.subscribe();
        loop {
            self.check_quarantine()?;
            let matched = self.match_route_again(history)?;
            self.route = matched.route;
            self.caller = matched.caller;
            self.homes = matched.homes;
            let service = self.target_service()?;
            let chosen = match &self.origin {
                Some(origin) => self.state.choose_pool_of(&service, origin.version),
                None => self.state.choose_pool(&service, history.sent() == 0),
            };
            let chosen = chosen.ok_or(AnswerKind::UpstreamAbsent)?;
            self.check_origin(&service, &chosen)?;
            let Some(placed) = self.wait_in_pool(chosen, &mut changes).await? else { continue };
            self.check_quarantine()?;
            let matched = self.match_route_again(history)?;
            self.homes = matched.homes;
            let meets_demand = placed.pool.meets(placed.upstream, &self.demand());
            let may_use_arm = self.may_use_arm(&service, placed.arm);
            if matched.route.allows(&service) && may_use_arm && meets_demand {
                return Ok(placed);
            }
        }
    }

    /// The service to send the request to: the one that began its stream, or one by weight.
    fn target_service(&self) -> Result<ServiceName, AnswerKind> {
        let Some(origin) = &self.origin else {
            let service = self.route.select_target(self.state.jitter());
            return service.cloned().ok_or(AnswerKind::ServiceUnknown);
        };
        let mut services = self.route.services();
        let began = services.find(|service| ServiceHash::of(service) == origin.service);
        began.cloned().ok_or(AnswerKind::VersionAbsent)
    }

    /// A stream whose version is unknown goes on only where no upstream states a version, and none at
    /// a version that is rolled back.
    fn check_origin(&self, service: &ServiceName, chosen: &ChosenPool) -> Result<(), AnswerKind> {
        let Some(origin) = &self.origin else { return Ok(()) };
        let is_unknown = origin.version.is_none() && chosen.pool.has_versions();
        match is_unknown || !self.state.may_resume_at_arm(service, chosen.arm) {
            true => Err(AnswerKind::VersionAbsent),
            false => Ok(()),
        }
    }

    /// What the request demands of its upstream.
    pub fn demand(&self) -> PlacementDemand {
        let version = self.origin.and_then(|origin| origin.version);
        PlacementDemand { homes: self.homes.clone(), version }
    }

    /// True if the request may be sent to an arm of its service's roll-out.
    fn may_use_arm(&self, service: &ServiceName, arm: VersionArm) -> bool {
        match self.origin {
            Some(_) => self.state.may_resume_at_arm(service, arm),
            None => self.state.may_use_arm(service, arm),
        }
    }

    /// Matches the route in the table in force, which may no longer allow a repeat.
    fn match_route_again(&self, history: SendHistory) -> Result<RouteMatch, AnswerKind> {
        let matched = match_route(&self.state.snapshot(), &self.parts, &self.metadata)?;
        match history.may_have_run() && !matched.route.kind.may_repeat() {
            true => Err(AnswerKind::UpstreamLost),
            false => Ok(matched),
        }
    }

    fn check_quarantine(&self) -> Result<(), AnswerKind> {
        self.state.quarantine.check(&self.state, self.id(), self.fingerprint)
    }

    /// Waits for the scheduler's decision, and reserves a place at the upstream that it chooses.
    /// Returns `None` if a roll-out abandons the pool during the wait.
    async fn wait_in_pool(
        &self,
        chosen: ChosenPool,
        changes: &mut watch::Receiver<()>,
    ) -> Result<Option<PlacedRequest>, AnswerKind> {
        let ChosenPool { pool, arm, ticket } = chosen;
        let number = RequestId(self.state.new_request_id().0);
        let (mut guard, mut decision) = pool.submit(self.arrived_request(number));
        loop {
            let limit = self.time_left();
            let waited = tokio::select! {
                biased;
                waited = tokio::time::timeout(limit, &mut decision) => waited,
                Ok(()) = changes.changed() => {
                    if self.may_use_arm(&pool.service, arm) {
                        continue;
                    }
                    return Ok(None);
                }
            };
            let (upstream, name, address, version) = match waited {
                Ok(Ok(PoolDecision::Send { upstream, name, address, version })) => {
                    (upstream, name, address, version)
                }
                Ok(Ok(PoolDecision::Refuse(kind))) => {
                    guard.disarm();
                    return Err(kind);
                }
                Ok(Err(_)) => return Err(AnswerKind::Internal),
                Err(_) => return Err(AnswerKind::DeadlineWaiting),
            };
            let reservation = match pool.reservation() {
                Some(max_hold) => reserve(self, address, name.as_str(), max_hold).await,
                None => NOT_RESERVED,
            };
            match reservation {
                ReservationOutcome::Granted { incarnation, .. }
                    if !pool.is_same_incarnation(upstream, incarnation) =>
                {
                    // The upstream has restarted or is leaving; the reservation expires by itself.
                    decision = guard.requeue(DispatchOutcome::NoSlot);
                }
                ReservationOutcome::Granted { place_id, .. } => {
                    guard.granted();
                    let sent_at = self.state.clock.now();
                    return Ok(Some(PlacedRequest {
                        arm,
                        ticket,
                        pool,
                        guard,
                        number,
                        upstream,
                        name,
                        address,
                        version,
                        sent_at,
                        place_id,
                    }));
                }
                ReservationOutcome::Full => decision = guard.requeue(DispatchOutcome::NoSlot),
                ReservationOutcome::Gone => {
                    pool.handle_event(PoolEvent::Lifecycle {
                        upstream,
                        event: UpstreamEvent::Leaving,
                    });
                    decision = guard.requeue(DispatchOutcome::NoSlot);
                }
                ReservationOutcome::Unreachable => {
                    info!(self.state.log, "no word on a place"; "request" => self.id(), "upstream" => name.as_str());
                    decision = guard.requeue(DispatchOutcome::NotSent);
                }
            }
        }
    }

    fn arrived_request(&self, id: RequestId) -> ArrivedRequest {
        let snapshot = self.state.snapshot();
        let organisation = self.caller.as_ref().map(|caller| (caller.index, caller.weight));
        let (organisation, weight) = organisation.unwrap_or((super::NO_ORGANISATION, 1));
        ArrivedRequest {
            id,
            organisation,
            weight,
            tier: snapshot.access.route_tier(&self.route, self.caller.as_ref()),
            prompt_bytes: self.body.len(),
            output_limit: self.metadata.output_limit,
            deadline: self.deadline,
            rank: snapshot.access.route_rank(&self.route),
            objective: Some(self.objective()),
            patience: self.route.patience_ms.map(|time| self.arrived_at + time),
            pause: self.route.gap_ms,
            sizes: self.sizes,
            size_tenth: self.size_tenth,
            demand: self.demand(),
            may_be_resumed: self.route.kind == RouteKind::ResumableStream,
            must_stay: self.must_stay,
            route: RouteKey::of(&self.route.route),
            prefix: Box::default(),
        }
    }
}
