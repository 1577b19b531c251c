//! Runs sessions of callers, scheduler, exchanges and upstreams in virtual time, without I/O. Every
//! step writes a line to a transcript, which is compared with a snapshot.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;
use tarragonknot::answer::AnswerKind;
use tarragonknot::chart::ChartMachine;
use tarragonknot::policy::{
    ArrivedRequest, DispatchOutcome, Exchange, ExchangeAction, ExchangeEvent, LoadReport,
    MechanismSet, Moment, OrganisationIndex, PlacementDemand, PoolAction, PoolEvent, PoolPlan,
    PoolScheduler, PrefixPlan, RequestId, RequestState, RouteKey, TierRank, TierShare,
    UpstreamIndex, UpstreamSource, prefix_marks,
};
use tarragonknot::table::{LimitMode, PlacementMode, QueueDiscipline};
use tarragonknot::traffic::{DrainAction, DrainEvent, DrainState, drain_chart};

/// A plan with three tiers of weights 6, 3 and 1, for engines that take `first_guess` requests
/// each.
pub fn plan(first_guess: u32) -> PoolPlan {
    let share = |rank, weight| TierShare { rank: TierRank(rank), weight };
    PoolPlan {
        tiers: vec![share(0, 6), share(1, 3), share(2, 1)],
        queue: QueueDiscipline::Weighted,
        placement: PlacementMode::Affinity,
        limit: LimitMode::Fixed,
        first_guess,
        waiting_limit: 6,
        counts_tokens: true,
        token_gap: Duration::from_millis(63),
        first_token: Duration::from_millis(750),
        refuses_late: true,
        avoids_stragglers: true,
        keeps_headroom: true,
        sheds_locally: false,
        event_tokens: 1,
        size_share: 0.75,
        mechanisms: MechanismSet::default(),
        has_reservations: false,
        cold_bound: None,
        has_slot_offers: false,
        engine_memory_tokens: None,
        shares_organisations: false,
        prefix: PrefixPlan::default(),
    }
}

struct SessionRequest {
    name: String,
    tier: u8,
    exchange: Exchange,
}

/// A scheduler, its requests and upstreams, and the transcript so far.
pub struct Session {
    now: Moment,
    scheduler: PoolScheduler,
    requests: BTreeMap<RequestId, SessionRequest>,
    upstreams: Vec<UpstreamSource>,
    rng: ChaCha8Rng,
    log: String,
    drain: ChartMachine<DrainState, DrainEvent, DrainAction>,
    next_id: u64,
    /// Number of dispatches by request name; more than one is a fault.
    pub dispatches: BTreeMap<String, u32>,
}

impl Session {
    /// A session with engines of these names.
    pub fn new(plan: PoolPlan, engines: &[&str]) -> Self {
        let mut session = Session {
            now: Moment(0),
            scheduler: PoolScheduler::new(plan),
            requests: BTreeMap::new(),
            upstreams: engines
                .iter()
                .enumerate()
                .map(|(number, name)| source(name, number as u16 + 1))
                .collect(),
            rng: ChaCha8Rng::seed_from_u64(1),
            log: String::new(),
            drain: drain_chart().start(),
            next_id: 1,
            dispatches: BTreeMap::new(),
        };
        session.write_line(&format!("upstreams: {}", engines.join(" ")));
        session.deliver(PoolEvent::Sources(session.upstreams.clone()));
        session
    }

    /// Returns the transcript after checking that no request was dispatched twice and that the shed
    /// order was kept.
    pub fn transcript(self) -> String {
        assert!(self.dispatches.values().all(|count| *count == 1), "{:?}", self.dispatches);
        assert_eq!(self.scheduler.shed_order_violations(), 0, "{}", self.log);
        self.log
    }

    fn write_line(&mut self, text: &str) {
        let millis = self.now.0 / 1_000;
        let _ = writeln!(self.log, "{:>3}.{:03}  {text}", millis / 1_000, millis % 1_000);
    }

    /// Advances time to `millis`, with a scheduler tick every 10 ms.
    pub fn advance_to(&mut self, millis: u64) -> &mut Self {
        while self.now + Duration::from_millis(10) <= Moment::from_millis(millis) {
            self.now = self.now + Duration::from_millis(10);
            self.deliver(PoolEvent::Tick);
        }
        self.now = Moment::from_millis(millis);
        self
    }

    fn deliver(&mut self, event: PoolEvent) {
        let mut actions = Vec::new();
        self.scheduler.handle(event, self.now, &mut self.rng, &mut actions);
        actions.into_iter().for_each(|action| self.carry_out(action));
    }

    fn carry_out(&mut self, action: PoolAction) {
        match action {
            PoolAction::Dispatch { id, upstream } => {
                let target = self
                    .scheduler
                    .upstreams()
                    .get(upstream)
                    .map(|status| status.source.name.to_string());
                let Some(request) = self.requests.get_mut(&id) else { return };
                let actions = request.exchange.handle(ExchangeEvent::Placed(upstream), self.now);
                let text = format!(
                    "{} -> {}  {}",
                    request.name,
                    target.unwrap_or_default(),
                    action_names(actions)
                );
                self.write_line(&text);
            }
            PoolAction::Refuse { id, kind } => {
                let Some(request) = self.requests.get_mut(&id) else { return };
                request.exchange.handle(ExchangeEvent::Refused(kind), self.now);
                let row = kind.row();
                let text = format!(
                    "{} (tier {}) refused: {} {}, ran {:?}",
                    request.name, request.tier, row.status, row.name, row.ran
                );
                self.write_line(&text);
            }
        }
    }

    /// Adds a request with `tokens` of prompt and a deadline in `deadline` milliseconds.
    pub fn arrive(&mut self, name: &str, tier: u8, tokens: usize, deadline: u64) -> &mut Self {
        self.arrive_as(name, tier, tokens, deadline, true)
    }

    /// As [`Session::arrive`], for an upstream that may be unable to resume.
    pub fn arrive_as(
        &mut self,
        name: &str,
        tier: u8,
        tokens: usize,
        deadline: u64,
        can_resume: bool,
    ) -> &mut Self {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        self.write_line(&format!(
            "caller {name}: tier {tier}, {tokens} tokens, deadline {deadline} ms"
        ));
        let exchange = Exchange::new(name, can_resume);
        self.requests.insert(id, SessionRequest { name: name.to_owned(), tier, exchange });
        let prompt = name.repeat(tokens);
        self.deliver(PoolEvent::Arrived(ArrivedRequest {
            id,
            organisation: OrganisationIndex(u32::from(tier)),
            weight: 1,
            tier: TierRank(tier),
            prompt_bytes: tokens * 4,
            output_limit: Some(16),
            deadline: self.now + Duration::from_millis(deadline),
            sizes: None,
            size_tenth: None,
            demand: PlacementDemand::default(),
            may_be_resumed: false,
            must_stay: false,
            route: RouteKey::default(),
            rank: 0,
            objective: None,
            patience: None,
            pause: None,
            prefix: prefix_marks(prompt.as_bytes()),
        }));
        self
    }

    fn find(&self, name: &str) -> RequestId {
        *self
            .requests
            .iter()
            .find(|(_, request)| request.name == name)
            .expect("a request with this name")
            .0
    }

    /// Passes an event to a request's exchange and carries out the resulting actions.
    pub fn handle_event(&mut self, name: &str, event: ExchangeEvent<'_>) -> &mut Self {
        let id = self.find(name);
        let now = self.now;
        let request = self.requests.get_mut(&id).expect("found above");
        let actions = request.exchange.handle(event, now);
        let state = request.exchange.state();
        let failure = request.exchange.failure();
        let pieces = request.exchange.pieces();
        if event == ExchangeEvent::Opened && state == RequestState::Sent {
            *self.dispatches.entry(name.to_owned()).or_default() += 1;
        }
        self.write_line(&format!("{name}: {event:?}  => {state:?}  {}", action_names(actions)));
        for action in actions {
            match action {
                ExchangeAction::Requeue => {
                    self.deliver(PoolEvent::Ended { id, outcome: DispatchOutcome::NotSent })
                }
                ExchangeAction::Withdraw => self.deliver(PoolEvent::CallerLeft(id)),
                ExchangeAction::Release => {
                    let outcome = match state {
                        RequestState::Answered => DispatchOutcome::Completed {
                            prompt_tokens: Some(100),
                            output_tokens: pieces as u32,
                        },
                        RequestState::Abandoned => DispatchOutcome::Cancelled,
                        _ => DispatchOutcome::Failed,
                    };
                    self.deliver(PoolEvent::Ended { id, outcome });
                }
                ExchangeAction::Fail => self.answer_failure(name, failure),
                ExchangeAction::Finish => {
                    self.write_line(&format!("{name}: whole answer, {pieces} pieces"))
                }
                _ => {}
            }
        }
        self
    }

    fn answer_failure(&mut self, name: &str, kind: AnswerKind) {
        let row = kind.row();
        self.write_line(&format!("{name}: failed: {} {}, ran {:?}", row.status, row.name, row.ran));
    }

    /// Sends a request and delivers its whole answer of `pieces` at once.
    pub fn answer(&mut self, name: &str, pieces: u64) -> &mut Self {
        self.open(name);
        for sequence in 1..=pieces {
            self.handle_event(name, ExchangeEvent::Piece { sequence, echo: Some(name) });
        }
        self.handle_event(name, ExchangeEvent::Ended)
    }

    /// Sends a request and delivers the head of its answer.
    pub fn open(&mut self, name: &str) -> &mut Self {
        self.handle_event(name, ExchangeEvent::Opened);
        self.handle_event(name, ExchangeEvent::Head { echo: Some(name) })
    }

    /// Passes an upstream's load report to the scheduler.
    pub fn report_load(&mut self, upstream: u32, running: u32, is_leaving: bool) -> &mut Self {
        self.write_line(&format!(
            "engine {upstream} reports running {running}{}",
            if is_leaving { ", leaving" } else { "" }
        ));
        let report = LoadReport { running, is_leaving, ..LoadReport::default() };
        self.deliver(PoolEvent::LoadReported { upstream: UpstreamIndex(upstream), report });
        self
    }

    /// Replaces the listed upstreams.
    pub fn replace_upstreams(&mut self, sources: Vec<UpstreamSource>) -> &mut Self {
        let names: Vec<String> = sources
            .iter()
            .map(|source| format!("{}#{}", source.name, source.incarnation))
            .collect();
        self.write_line(&format!("listed: {}", names.join(" ")));
        self.deliver(PoolEvent::Sources(sources));
        self
    }

    /// Applies an operator's edit of the plan.
    pub fn apply_plan(&mut self, what: &str, plan: PoolPlan) -> &mut Self {
        self.write_line(&format!("edit in force: {what}"));
        self.deliver(PoolEvent::Plan(plan));
        self
    }

    /// Expires the daemon's currency lease.
    pub fn expire_lease(&mut self) -> &mut Self {
        self.write_line("currency lease ran out");
        self.deliver(PoolEvent::LeaseExpired);
        self
    }

    /// Passes an event to the drain chart; `Idle` is valid only when no request is in progress.
    pub fn drain(&mut self, event: DrainEvent) -> &mut Self {
        let in_progress =
            self.requests.values().filter(|request| !request.exchange.is_final()).count();
        assert!(event != DrainEvent::Idle || in_progress == 0, "{in_progress} in progress");
        let actions = self.drain.step(event);
        let state = self.drain.state();
        self.write_line(&format!(
            "drain: {event:?}  => {state:?}  {actions:?}  in progress {in_progress}"
        ));
        self
    }

    /// Writes the pool's status to the transcript.
    pub fn status(&mut self) -> &mut Self {
        let status = self.scheduler.status();
        let floor = status.floor.map_or_else(|| "none".to_owned(), |rank| rank.0.to_string());
        self.write_line(&format!(
            "waiting {} running {} live {} floor {floor}",
            status.waiting, status.running, status.live
        ));
        self
    }
}

/// An upstream at a local port.
pub fn source(name: &str, port: u16) -> UpstreamSource {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
    UpstreamSource::new(name.into(), address)
}

fn action_names(actions: &[ExchangeAction]) -> String {
    actions
        .iter()
        .map(|action| format!("{action:?}").to_lowercase())
        .collect::<Vec<String>>()
        .join(" ")
}
