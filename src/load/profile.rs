//! Models of Lodgeframe's and Wrekin's requests: pure, from a seed.

use crate::standin::EngineShape;
use crate::table::{
    AssignmentRow, KeyDigest, LimitMode, LimitUnit, OperatorTable, OrganisationRow, PlacementMode,
    QueueDiscipline, ServiceKind, ServiceRow, TierRow, UpstreamRow,
};
use clap::ValueEnum;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Bytes of prompt per token, as the stand-in engine counts.
const BYTES_PER_TOKEN: usize = 4;
/// Sequences in a batch when an engine is well used.
const TYPICAL_BATCH: f64 = 32.0;
/// The part of shared prompt tokens that a well-used cache holds.
const TYPICAL_HITS: f64 = 0.5;
/// Requests at an engine at once where nothing should bound them.
const NO_LIMIT: u32 = 10_000;
/// Every firm has this many organisations; the first are large.
const ORGANISATIONS: usize = 5;
/// Shares of requests by organisation.
const ORGANISATION_SHARES: [f64; ORGANISATIONS] = [0.4, 0.3, 0.1, 0.1, 0.1];

/// Whose requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProfileKind {
    /// Lodgeframe Furnishing Labs: long inventories on a small pool.
    Lodgeframe,
    /// Wrekin Hoarding Systems: campaign proposals.
    Wrekin,
}

/// What kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// To the model, streamed.
    Model,
    /// To the plain service, repeatable.
    Lookup,
    /// To the plain service, with an idempotency key.
    Booking,
}

/// One class of requests, which is also a tier.
#[derive(Clone, Copy, Debug)]
pub struct TrafficClass {
    /// The tier's name, and the purpose that callers give.
    pub tier: &'static str,
    /// The tier's rank.
    pub rank: u8,
    /// The tier's weight.
    pub weight: u32,
    /// What kind of request.
    pub kind: RequestKind,
    /// Share of all requests.
    pub share: f64,
    /// Median prompt tokens.
    pub prompt_tokens: f64,
    /// Median output tokens.
    pub output_tokens: f64,
    /// Spread of lengths: the standard deviation of their logarithm.
    pub spread: f64,
    /// Prompts share their first part with others of the same template; how many templates there are.
    pub templates: u64,
    /// The part of a prompt that its template gives.
    pub shared_part: f64,
    /// The caller's deadline.
    pub deadline: Duration,
}

/// One firm's deployment and requests.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// Whose.
    pub kind: ProfileKind,
    /// The model service's name.
    pub model: &'static str,
    /// The plain service's name.
    pub plain: &'static str,
    /// Engines.
    pub engines: usize,
    /// Instances of the plain service.
    pub services: usize,
    /// The engines' speed.
    pub shape: EngineShape,
    /// The number of requests per engine that the firm was given.
    pub given_limit: u32,
    /// Data centres.
    pub data_centres: [&'static str; 3],
    /// Classes of requests.
    pub classes: Vec<TrafficClass>,
}

/// One request to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Its number.
    pub number: u64,
    /// When, since the start.
    pub at: Duration,
    /// Its class, by position.
    pub class: usize,
    /// Whose, by position.
    pub organisation: usize,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Output tokens.
    pub output_tokens: u32,
    /// Its template.
    pub template: u64,
}

impl LoadProfile {
    /// The profile of a firm.
    pub fn new(kind: ProfileKind) -> Self {
        match kind {
            ProfileKind::Lodgeframe => lodgeframe(),
            ProfileKind::Wrekin => wrekin(),
        }
    }

    /// The bearer key of an organisation.
    pub fn key(&self, organisation: usize) -> String {
        format!("{}-org-{organisation}-key", self.model)
    }

    /// Mean engine time of a request in seconds, with well-filled batches and caches.
    fn engine_seconds(&self) -> f64 {
        let shape = &self.shape;
        let per_token = shape.step_micros as f64 / TYPICAL_BATCH + shape.sequence_micros as f64;
        let mean = |median: f64, spread: f64| median * (spread * spread / 2.0).exp();
        let models = self.classes.iter().filter(|class| class.kind == RequestKind::Model);
        let micros: f64 = models
            .map(|class| {
                let prompt = mean(class.prompt_tokens, class.spread)
                    * (1.0 - TYPICAL_HITS * class.shared_part);
                class.share
                    * (prompt * shape.prefill_micros as f64
                        + mean(class.output_tokens, class.spread) * per_token)
            })
            .sum();
        micros / 1e6
    }

    /// Requests a second, of all kinds, that the engines can carry at most.
    pub fn capacity(&self) -> f64 {
        self.engines as f64 / self.engine_seconds()
    }

    /// Requests at `rate` a second for `length`, Poisson in time, from a seed.
    pub fn plan(&self, rate: f64, length: Duration, seed: u64) -> Vec<PlannedRequest> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let Ok(gaps) = Exp::new(rate.max(1e-6)) else { return Vec::new() };
        let mut at = 0.0;
        let mut plan = Vec::new();
        loop {
            at += gaps.sample(&mut rng);
            if at >= length.as_secs_f64() {
                return plan;
            }
            let request = self.request(plan.len() as u64, Duration::from_secs_f64(at), &mut rng);
            plan.push(request);
        }
    }

    fn request(&self, number: u64, at: Duration, rng: &mut ChaCha8Rng) -> PlannedRequest {
        let class_index = pick(rng.random(), self.classes.iter().map(|class| class.share));
        let class = &self.classes[class_index];
        let organisation = pick(rng.random(), ORGANISATION_SHARES.into_iter());
        let length = |median: f64, rng: &mut ChaCha8Rng| match LogNormal::new(
            median.max(1.0).ln(),
            class.spread,
        ) {
            Ok(lengths) => lengths.sample(rng).clamp(1.0, median * 8.0) as u32,
            Err(_) => median as u32,
        };
        PlannedRequest {
            number,
            at,
            class: class_index,
            organisation,
            prompt_tokens: length(class.prompt_tokens, rng).max(8),
            output_tokens: length(class.output_tokens, rng).max(1),
            template: rng.random_range(0..class.templates.max(1)),
        }
    }

    /// The prompt of a request: its template's text, then its own, ending in its nonce.
    pub fn prompt(&self, request: &PlannedRequest, seed: u64) -> String {
        let class = &self.classes[request.class];
        let bytes = request.prompt_tokens as usize * BYTES_PER_TOKEN;
        let shared = (bytes as f64 * class.shared_part) as usize;
        let mut text = filler(&format!("{} template {} ", class.tier, request.template), shared);
        let nonce = nonce(request, seed);
        let own = bytes.saturating_sub(text.len() + nonce.len() + 1);
        text.push_str(&filler(&format!("request {} of {seed} ", request.number), own));
        text.push(' ');
        text.push_str(&nonce);
        text
    }

    /// The firm's table, with upstreams at the given addresses.
    pub fn table(
        &self,
        engines: &[SocketAddr],
        services: &[SocketAddr],
        choice: PolicyChoice,
    ) -> OperatorTable {
        let tiers = self.classes.iter().map(|class| TierRow {
            tier: class.tier.into(),
            rank: class.rank,
            weight: class.weight,
        });
        let organisations = (0..ORGANISATIONS).map(|organisation| OrganisationRow {
            organisation: format!("org-{organisation}").as_str().into(),
            key_digests: vec![KeyDigest::of(&self.key(organisation))],
            weight: 1,
            tokens_per_second: None,
            burst_tokens: None,
            concurrent: None,
            limit_unit: LimitUnit::default(),
            uncounted_tokens: None,
        });
        let assignments = self.classes.iter().map(|class| AssignmentRow {
            service: None,
            organisation: None,
            purpose: Some(class.tier.to_owned()),
            tier: class.tier.into(),
        });
        let upstream = |service: &str, number: usize, address: &SocketAddr| UpstreamRow {
            upstream: format!("{service}-{number}").as_str().into(),
            service: service.into(),
            address: *address,
            data_centre: self.data_centres[number % 3].into(),
            incarnation: 0,
        };
        let engines = engines
            .iter()
            .enumerate()
            .map(|(number, address)| upstream(self.model, number, address));
        let services = services
            .iter()
            .enumerate()
            .map(|(number, address)| upstream(self.plain, number, address));
        OperatorTable {
            tiers: tiers.collect(),
            organisations: organisations.collect(),
            services: vec![
                self.service(self.model, ServiceKind::Model, choice),
                self.service(self.plain, ServiceKind::Plain, choice),
            ],
            assignments: assignments.collect(),
            upstreams: engines.chain(services).collect(),
            routes: Vec::new(),
        }
    }

    /// A service's row under the policy.
    pub fn service(&self, name: &str, kind: ServiceKind, choice: PolicyChoice) -> ServiceRow {
        let lowest =
            self.classes.iter().max_by_key(|class| class.rank).map_or("", |class| class.tier);
        let is_model = kind == ServiceKind::Model;
        let (queue, placement, limit) = choice.choices();
        ServiceRow {
            service: name.into(),
            kind,
            organisations: None,
            default_tier: lowest.into(),
            deadline_ms: Duration::from_secs(30),
            silence_ms: Duration::from_millis(2_000),
            first_guess: if is_model { choice.first_guess(self.given_limit) } else { 32 },
            token_gap_ms: Duration::from_millis(63),
            first_token_ms: Duration::from_millis(750),
            body_limit: 1 << 20,
            waiting_limit: 10_000,
            idempotent_methods: None,
            claim_life_ms: Duration::from_secs(24 * 3_600),
            event_tokens: 1,
            reservation_ms: None,
            size_share_percent: crate::table::default_size_share(),
            health_path: None,
            queue,
            placement: if is_model { placement } else { PlacementMode::LeastReported },
            limit,
        }
    }
}

/// Which policy a run uses: ours, or a baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyChoice {
    /// Weighted queue, affinity placement, learned limit.
    Weighted,
    /// First in, first out; least reported load; the given limit.
    Fifo,
    /// First in, first out; each engine in turn; the given limit.
    RoundRobin,
    /// First in, first out; least reported load; no limit to speak of.
    LeastReported,
}

impl PolicyChoice {
    fn first_guess(self, given: u32) -> u32 {
        if self == PolicyChoice::LeastReported { NO_LIMIT } else { given }
    }

    fn choices(self) -> (QueueDiscipline, PlacementMode, LimitMode) {
        match self {
            PolicyChoice::Weighted => {
                (QueueDiscipline::Weighted, PlacementMode::Affinity, LimitMode::Learned)
            }
            PolicyChoice::Fifo | PolicyChoice::LeastReported => {
                (QueueDiscipline::Fifo, PlacementMode::LeastReported, LimitMode::Fixed)
            }
            PolicyChoice::RoundRobin => {
                (QueueDiscipline::Fifo, PlacementMode::RoundRobin, LimitMode::Fixed)
            }
        }
    }
}

/// The word that every piece of a request's answer must repeat.
pub fn nonce(request: &PlannedRequest, seed: u64) -> String {
    format!("n{seed:x}x{:x}", request.number)
}

fn filler(phrase: &str, bytes: usize) -> String {
    phrase.chars().cycle().take(if phrase.is_empty() { 0 } else { bytes }).collect()
}

fn pick(at: f64, shares: impl Iterator<Item = f64>) -> usize {
    let mut sum = 0.0;
    let mut last = 0;
    for (position, share) in shares.enumerate() {
        sum += share;
        last = position;
        if at < sum {
            break;
        }
    }
    last
}

fn model_class(
    tier: &'static str,
    rank: u8,
    weight: u32,
    share: f64,
    tokens: (f64, f64),
    deadline_s: u64,
) -> TrafficClass {
    TrafficClass {
        tier,
        rank,
        weight,
        kind: RequestKind::Model,
        share,
        prompt_tokens: tokens.0,
        output_tokens: tokens.1,
        spread: 0.5,
        templates: 24,
        shared_part: 0.6,
        deadline: Duration::from_secs(deadline_s),
    }
}

fn plain_class(
    tier: &'static str,
    rank: u8,
    weight: u32,
    kind: RequestKind,
    share: f64,
) -> TrafficClass {
    TrafficClass {
        tier,
        rank,
        weight,
        kind,
        share,
        prompt_tokens: 16.0,
        output_tokens: 1.0,
        spread: 0.1,
        templates: 1,
        shared_part: 0.0,
        deadline: Duration::from_secs(2),
    }
}

/// 12 engines at a 6 ms step and 3 services; long inventories weigh most.
fn lodgeframe() -> LoadProfile {
    LoadProfile {
        kind: ProfileKind::Lodgeframe,
        model: "pack-llm",
        plain: "pack-api",
        engines: 12,
        services: 3,
        shape: EngineShape::with_step(6_000),
        given_limit: 50,
        data_centres: ["hall-a", "hall-b", "hall-c"],
        classes: vec![
            model_class("inventory", 0, 70, 0.02, (3_000.0, 300.0), 20),
            model_class("price", 1, 20, 0.25, (500.0, 80.0), 8),
            model_class("note", 2, 10, 0.43, (40.0, 30.0), 5),
            plain_class("booking", 3, 10, RequestKind::Booking, 0.05),
            plain_class("lookup", 4, 10, RequestKind::Lookup, 0.25),
        ],
    }
}

/// 18 engines at a 4 ms step and 3 services; proposals weigh most.
fn wrekin() -> LoadProfile {
    LoadProfile {
        kind: ProfileKind::Wrekin,
        model: "tk-infer",
        plain: "booking-api",
        engines: 18,
        services: 3,
        shape: EngineShape::with_step(4_000),
        given_limit: 60,
        data_centres: ["brum-a", "brum-b", "cov-1"],
        classes: vec![
            model_class("proposal", 0, 70, 0.04, (2_000.0, 350.0), 15),
            model_class("summary", 1, 20, 0.27, (900.0, 120.0), 10),
            model_class("question", 2, 10, 0.49, (30.0, 25.0), 4),
            plain_class("hold", 3, 10, RequestKind::Booking, 0.05),
            plain_class("lookup", 4, 10, RequestKind::Lookup, 0.15),
        ],
    }
}
