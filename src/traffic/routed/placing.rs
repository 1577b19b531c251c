//! Waits until the scheduler places a request at an upstream.

use super::admission::{RouteMatch, match_route};
use super::request::RoutedRequest;
use super::reserve::{NOT_RESERVED, ReservationOutcome, reserve};
use super::send_history::SendHistory;
use super::statements::AnsweringUpstream;
use crate::answer::AnswerKind;
use crate::fleet_state::ServiceHash;
use crate::policy::{
    ArrivedRequest, DispatchOutcome, Moment, PlacementDemand, PoolEvent, RequestId, RouteKey,
    UpstreamEvent, UpstreamIndex,
};
use crate::rollout::VersionArm;
use crate::stream_origin::StreamOrigin;
use crate::table::{RouteKind, RouteRow, ServiceName, SoftwareVersion, UpstreamName};
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
    /// When the first event of its answer arrived.
    pub first_event_at: Option<Moment>,
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

    /// The upstream as the source of an answer.
    pub fn answering_upstream(&self) -> AnsweringUpstream<'_> {
        AnsweringUpstream { pool: &self.pool, index: self.upstream, name: &self.name }
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

/// What decides where a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacingRule {
    /// The table in force, for a request whose answer has not begun.
    InForce,
    /// The table that admitted the request, for an answer that has begun: what its caller has of it
    /// would be worth nothing if a later table could end it.
    Admitted,
}

impl PlacingRule {
    /// Sends that count towards the attempts of a route. An answer that has begun is not given up for
    /// upstreams that have not run it.
    pub fn counted_sends(self, history: SendHistory) -> u32 {
        match self {
            PlacingRule::InForce => history.sent(),
            PlacingRule::Admitted => history.possible_runs(),
        }
    }
}

impl RoutedRequest {
    /// Waits until the scheduler places the request at an upstream, by the table in force.
    pub async fn place(&mut self, history: SendHistory) -> Result<PlacedRequest, AnswerKind> {
        let (placed, matched) = self.find_place(history, PlacingRule::InForce, None).await?;
        self.apply_match(matched);
        Ok(placed)
    }

    /// Continues under the route and caller by which the request was placed.
    pub fn apply_match(&mut self, matched: RouteMatch) {
        let RouteMatch { route, caller, homes } = matched;
        (self.route, self.caller, self.homes) = (route, caller, homes);
    }

    /// Waits until the scheduler places the request at an upstream other than `except`. The table is
    /// checked again before each send of a request whose answer has not begun, since a route may have
    /// changed and a key may have been revoked while it waited. The quarantine is checked before every
    /// send, whether it is the first one, a retry, or the resumption of a stream.
    ///
    /// A request that has already failed goes to the proven version, not to one on trial.
    pub async fn find_place(
        &self,
        history: SendHistory,
        rule: PlacingRule,
        except: Option<&UpstreamName>,
    ) -> Result<(PlacedRequest, RouteMatch), AnswerKind> {
        let mut changes = self.state.rollouts.subscribe();
        loop {
            let matched = self.match_by(rule, history)?;
            let service = self.target_service(&matched.route)?;
            self.check_quarantine(&service)?;
            let chosen = match &self.origin {
                Some(origin) => self.state.choose_pool_of(&service, origin.version),
                None => self.state.choose_pool(&service, history.sent() == 0),
            };
            let chosen = chosen.ok_or(AnswerKind::UpstreamAbsent)?;
            self.check_origin(&service, &chosen)?;
            let waited = self.wait_in_pool(chosen, (&matched, except), &mut changes).await?;
            let Some(placed) = waited else { continue };
            self.check_quarantine(&service)?;
            let matched = self.match_by(rule, history)?;
            let demand = self.demand(&placed.pool, &matched, except);
            let meets_demand = placed.pool.meets(placed.upstream, &demand);
            let may_use_arm = self.may_use_arm(&service, placed.arm);
            if matched.route.allows(&service) && may_use_arm && meets_demand {
                return Ok((placed, matched));
            }
        }
    }

    /// The service to send the request to: the one that began its stream, or one by weight.
    fn target_service(&self, route: &RouteRow) -> Result<ServiceName, AnswerKind> {
        let Some(origin) = &self.origin else {
            let service = route.select_target(self.state.jitter());
            return service.cloned().ok_or(AnswerKind::ServiceUnknown);
        };
        let mut services = route.services();
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

    /// Fails once a stopping daemon has too little time left for the request.
    fn check_time_to_send(&self) -> Result<(), AnswerKind> {
        match self.time_to_send().is_zero() {
            true => Err(AnswerKind::Draining),
            false => Ok(()),
        }
    }

    /// What the request demands of its upstream.
    fn demand(
        &self,
        pool: &PoolRuntime,
        matched: &RouteMatch,
        except: Option<&UpstreamName>,
    ) -> PlacementDemand {
        let version = self.origin.and_then(|origin| origin.version);
        let begins_stream =
            matched.route.kind == RouteKind::ResumableStream && self.origin.is_none();
        let needs_announced =
            begins_stream && !self.state.origins.held_back(&self.state, &pool.service).is_empty();
        let (homes, except) = (matched.homes.clone(), except.cloned());
        let demand = PlacementDemand { homes, version, except, needs_announced };
        match needs_announced && !pool.has_usable(&demand) {
            true => PlacementDemand { needs_announced: false, ..demand },
            false => demand,
        }
    }

    /// True if the request may be sent to an arm of its service's roll-out.
    fn may_use_arm(&self, service: &ServiceName, arm: VersionArm) -> bool {
        match self.origin {
            Some(_) => self.state.may_resume_at_arm(service, arm),
            None => self.state.may_use_arm(service, arm),
        }
    }

    /// The route and caller under which the request may be placed. The table in force may no longer
    /// allow a repeat.
    fn match_by(&self, rule: PlacingRule, history: SendHistory) -> Result<RouteMatch, AnswerKind> {
        if rule == PlacingRule::Admitted {
            let (route, caller) = (Arc::clone(&self.route), self.caller.clone());
            return Ok(RouteMatch { route, caller, homes: self.homes.clone() });
        }
        let matched = match_route(&self.state.snapshot(), &self.parts, &self.metadata)?;
        match history.may_have_run() && !matched.route.kind.may_repeat() {
            true => Err(AnswerKind::UpstreamLost),
            false => Ok(matched),
        }
    }

    fn check_quarantine(&self, service: &ServiceName) -> Result<(), AnswerKind> {
        self.state.quarantine.check(&self.state, self.id(), &self.suspect_keys(service))
    }

    /// Waits for the scheduler's decision, and reserves a place at the upstream that it chooses.
    /// Returns `None` if a roll-out abandons the pool during the wait.
    async fn wait_in_pool(
        &self,
        chosen: ChosenPool,
        (matched, except): (&RouteMatch, Option<&UpstreamName>),
        changes: &mut watch::Receiver<()>,
    ) -> Result<Option<PlacedRequest>, AnswerKind> {
        let ChosenPool { pool, arm, ticket } = chosen;
        let mut stop = self.state.stop.subscribe();
        self.check_time_to_send()?;
        let number = RequestId(self.state.new_request_id().0);
        let arrived = self.arrived_request(&pool, number, matched, except);
        let (mut guard, mut decision) = pool.submit(arrived);
        loop {
            self.check_time_to_send()?;
            let limit = self.time_left().min(self.time_to_send());
            let waited = tokio::select! {
                biased;
                waited = tokio::time::timeout(limit, &mut decision) => waited,
                Ok(()) = stop.changed() => continue,
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
                Err(_) => {
                    self.check_time_to_send()?;
                    return Err(AnswerKind::DeadlineWaiting);
                }
            };
            let reservation = match pool.reservation() {
                Some(max_hold) => {
                    let from = AnsweringUpstream { pool: &pool, index: upstream, name: &name };
                    reserve(self, from, address, max_hold).await
                }
                None => NOT_RESERVED,
            };
            match reservation {
                ReservationOutcome::Granted { incarnation, .. }
                    if !pool.may_send_to(upstream, incarnation) =>
                {
                    // The upstream has restarted, is leaving or rests; the reservation expires by itself.
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
                        first_event_at: None,
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

    fn arrived_request(
        &self,
        pool: &PoolRuntime,
        id: RequestId,
        matched: &RouteMatch,
        except: Option<&UpstreamName>,
    ) -> ArrivedRequest {
        let snapshot = self.state.snapshot();
        let RouteMatch { route, caller, .. } = matched;
        let organisation = caller.as_ref().map(|caller| (caller.index, caller.weight));
        let (organisation, weight) = organisation.unwrap_or((super::NO_ORGANISATION, 1));
        ArrivedRequest {
            id,
            organisation,
            weight,
            tier: snapshot.access.route_tier(route, caller.as_ref()),
            prompt_bytes: self.body.len(),
            output_limit: self.metadata.output_limit,
            deadline: self.deadline,
            rank: snapshot.access.route_rank(route),
            objective: Some(self.objective()),
            patience: route.patience_ms.map(|time| self.arrived_at + time),
            pause: route.gap_ms,
            sizes: self.sizes,
            // A search is no request of its own in the account of sizes.
            size_tenth: self.size_tenth.filter(|_| except.is_none()),
            demand: self.demand(pool, matched, except),
            may_be_resumed: route.kind == RouteKind::ResumableStream,
            must_stay: self.must_stay,
            route: RouteKey::of(&route.route),
            prefix: self.metadata.prefix.clone(),
        }
    }
}
