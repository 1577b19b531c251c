//! Load profiles: models of Lodgeframe's and Wrekin's requests, deterministic for a given seed.

use crate::standin::EngineShape;
use crate::table::{
    AssignmentRow, KeyDigest, LimitMode, LimitUnit, OperatorTable, OrganisationRow, PlacementMode,
    PrefixReuse, QueueDiscipline, ServiceKind, ServiceRow, TierRow, UpstreamRow,
};
use clap::ValueEnum;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Bytes of prompt per token, as in the stand-in engine.
const BYTES_PER_TOKEN: usize = 4;
/// Number of sequences in the batch of a well-utilised engine.
const TYPICAL_BATCH_SIZE: f64 = 32.0;
/// Fraction of shared prompt tokens that a well-utilised prefix cache holds.
const TYPICAL_CACHE_HIT_RATE: f64 = 0.5;
/// Concurrency limit of an engine that is high enough to have no effect.
const UNLIMITED_REQUESTS: u32 = 10_000;
/// Number of organisations of each firm.
const ORGANISATION_COUNT: usize = 5;
/// Share of all requests by organisation; the first ones are the largest.
const ORGANISATION_SHARES: [f64; ORGANISATION_COUNT] = [0.4, 0.3, 0.1, 0.1, 0.1];

/// Firm whose requests are modelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProfileKind {
    /// Lodgeframe Furnishing Labs: long inventories on a small pool.
    Lodgeframe,
    /// Wrekin Hoarding Systems: campaign proposals.
    Wrekin,
}

/// Kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// Streamed request to the model service.
    Model,
    /// Idempotent request to the plain service.
    Lookup,
    /// Request to the plain service with an idempotency key.
    Booking,
}

/// A class of requests with a tier of its own.
#[derive(Clone, Copy, Debug)]
pub struct TrafficClass {
    /// Name of the tier, which is also the purpose stated by callers.
    pub tier: &'static str,
    /// Rank of the tier.
    pub rank: u8,
    /// Weight of the tier.
    pub weight: u32,
    /// Kind of request.
    pub kind: RequestKind,
    /// Share of all requests.
    pub share: f64,
    /// Median prompt tokens.
    pub prompt_tokens: f64,
    /// Median output tokens.
    pub output_tokens: f64,
    /// Standard deviation of the logarithm of the lengths.
    pub length_sigma: f64,
    /// Number of prompt templates; prompts of the same template share a prefix.
    pub template_count: u64,
    /// Fraction of a prompt that comes from its template.
    pub shared_fraction: f64,
    /// Deadline stated by the caller.
    pub deadline: Duration,
}

/// Deployment and requests of a firm.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// The firm.
    pub kind: ProfileKind,
    /// Name of the model service.
    pub model_service: &'static str,
    /// Name of the plain service.
    pub plain_service: &'static str,
    /// Number of engines.
    pub engines: usize,
    /// Number of instances of the plain service.
    pub plain_instances: usize,
    /// Speed and size of an engine.
    pub shape: EngineShape,
    /// Concurrency limit per engine as configured by the firm, in requests; the learned limit
    /// starts from it.
    pub configured_limit: u32,
    /// Names of the data centres.
    pub data_centres: [&'static str; 3],
    /// Classes of requests.
    pub classes: Vec<TrafficClass>,
}

/// A request to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Number of the request within its plan.
    pub number: u64,
    /// Time of arrival, relative to the start.
    pub at: Duration,
    /// Index of the class in the profile.
    pub class: usize,
    /// Index of the organisation.
    pub organisation: usize,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Output tokens.
    pub output_tokens: u32,
    /// Number of the prompt template.
    pub template: u64,
}

impl LoadProfile {
    /// Creates the profile of a firm.
    pub fn new(kind: ProfileKind) -> Self {
        match kind {
            ProfileKind::Lodgeframe => lodgeframe(),
            ProfileKind::Wrekin => wrekin(),
        }
    }

    /// Returns the bearer key of an organisation.
    pub fn key(&self, organisation: usize) -> String {
        format!("{}-org-{organisation}-key", self.model_service)
    }

    /// Mean engine time per request in seconds, with the typical batch and cache utilisation.
    fn engine_seconds(&self) -> f64 {
        let shape = &self.shape;
        let per_token =
            shape.step_micros as f64 / TYPICAL_BATCH_SIZE + shape.sequence_micros as f64;
        let mean = |median: f64, sigma: f64| median * (sigma * sigma / 2.0).exp();
        let models = self.classes.iter().filter(|class| class.kind == RequestKind::Model);
        let micros: f64 = models
            .map(|class| {
                let prompt = mean(class.prompt_tokens, class.length_sigma)
                    * (1.0 - TYPICAL_CACHE_HIT_RATE * class.shared_fraction);
                class.share
                    * (prompt * shape.prefill_micros as f64
                        + mean(class.output_tokens, class.length_sigma) * per_token)
            })
            .sum();
        micros / 1e6
    }

    /// Maximum rate that the engines can sustain, in requests of all kinds per second.
    pub fn capacity(&self) -> f64 {
        self.engines as f64 / self.engine_seconds()
    }

    /// Generates requests for the time `length` as a Poisson process of `rate` requests per second.
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
            let request =
                self.sample_request(plan.len() as u64, Duration::from_secs_f64(at), &mut rng);
            plan.push(request);
        }
    }

    fn sample_request(&self, number: u64, at: Duration, rng: &mut ChaCha8Rng) -> PlannedRequest {
        let class_idx = pick_by_share(rng.random(), self.classes.iter().map(|class| class.share));
        let class = &self.classes[class_idx];
        let organisation = pick_by_share(rng.random(), ORGANISATION_SHARES.into_iter());
        let length = |median: f64, rng: &mut ChaCha8Rng| match LogNormal::new(
            median.max(1.0).ln(),
            class.length_sigma,
        ) {
            Ok(lengths) => lengths.sample(rng).clamp(1.0, median * 8.0) as u32,
            Err(_) => median as u32,
        };
        PlannedRequest {
            number,
            at,
            class: class_idx,
            organisation,
            prompt_tokens: length(class.prompt_tokens, rng).max(8),
            output_tokens: length(class.output_tokens, rng).max(1),
            template: rng.random_range(0..class.template_count.max(1)),
        }
    }

    /// Builds the prompt of a request: the text of its template, then its own text and its nonce.
    pub fn prompt(&self, request: &PlannedRequest, seed: u64) -> String {
        let class = &self.classes[request.class];
        let bytes = request.prompt_tokens as usize * BYTES_PER_TOKEN;
        let shared_bytes = (bytes as f64 * class.shared_fraction) as usize;
        let mut text = repeat_to_length(
            &format!("{} template {} ", class.tier, request.template),
            shared_bytes,
        );
        let nonce = nonce(request, seed);
        let own_bytes = bytes.saturating_sub(text.len() + nonce.len() + 1);
        text.push_str(&repeat_to_length(
            &format!("request {} of {seed} ", request.number),
            own_bytes,
        ));
        text.push(' ');
        text.push_str(&nonce);
        text
    }

    /// Builds the firm's table with upstreams at the given addresses.
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
        let organisations = (0..ORGANISATION_COUNT).map(|organisation| OrganisationRow {
            organisation: format!("org-{organisation}").as_str().into(),
            key_digests: vec![KeyDigest::of(&self.key(organisation))],
            weight: 1,
            tokens_per_second: None,
            burst_tokens: None,
            concurrent: None,
            limit_unit: LimitUnit::default(),
            uncounted_tokens: None,
            regions: None,
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
            .map(|(number, address)| upstream(self.model_service, number, address));
        let services = services
            .iter()
            .enumerate()
            .map(|(number, address)| upstream(self.plain_service, number, address));
        OperatorTable {
            tiers: tiers.collect(),
            organisations: organisations.collect(),
            services: vec![
                self.service(self.model_service, ServiceKind::Model, choice),
                self.service(self.plain_service, ServiceKind::Plain, choice),
            ],
            assignments: assignments.collect(),
            upstreams: engines.chain(services).collect(),
            routes: Vec::new(),
        }
    }

    /// Builds the row of a service under a policy.
    pub fn service(&self, name: &str, kind: ServiceKind, choice: PolicyChoice) -> ServiceRow {
        let lowest =
            self.classes.iter().max_by_key(|class| class.rank).map_or("", |class| class.tier);
        let is_model = kind == ServiceKind::Model;
        let (queue, placement, limit) = choice.modes();
        ServiceRow {
            service: name.into(),
            kind,
            organisations: None,
            default_tier: lowest.into(),
            deadline_ms: Duration::from_secs(30),
            silence_ms: Duration::from_millis(2_000),
            first_guess: if is_model { choice.initial_limit(self.configured_limit) } else { 32 },
            token_gap_ms: Duration::from_millis(63),
            first_token_ms: Duration::from_millis(750),
            body_limit: 1 << 20,
            waiting_limit: 10_000,
            idempotent_methods: None,
            claim_life_ms: Duration::from_secs(24 * 3_600),
            event_tokens: 1,
            reservation_ms: None,
            engine_memory_tokens: None,
            cold_requests_per_second: None,
            cold_start_ms: Duration::ZERO,
            size_share_percent: crate::table::default_size_share(),
            health_path: None,
            queue,
            placement: if is_model { placement } else { PlacementMode::LeastReported },
            limit,
            prefix_reuse: PrefixReuse::Off,
        }
    }
}

/// Policy of a run: Tarragonknot's own, or a baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyChoice {
    /// Weighted queue, affinity placement, learned limit.
    Weighted,
    /// First in, first out; least reported load; the configured limit.
    Fifo,
    /// First in, first out; round-robin placement; the configured limit.
    RoundRobin,
    /// First in, first out; least reported load; no effective limit.
    LeastReported,
}

impl PolicyChoice {
    fn initial_limit(self, configured: u32) -> u32 {
        if self == PolicyChoice::LeastReported { UNLIMITED_REQUESTS } else { configured }
    }

    fn modes(self) -> (QueueDiscipline, PlacementMode, LimitMode) {
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

/// Returns the word that every piece of the answer to a request must repeat.
pub fn nonce(request: &PlannedRequest, seed: u64) -> String {
    format!("n{seed:x}x{:x}", request.number)
}

fn repeat_to_length(phrase: &str, bytes: usize) -> String {
    phrase.chars().cycle().take(if phrase.is_empty() { 0 } else { bytes }).collect()
}

fn pick_by_share(at: f64, shares: impl Iterator<Item = f64>) -> usize {
    let mut sum = 0.0;
    let mut last = 0;
    for (idx, share) in shares.enumerate() {
        sum += share;
        last = idx;
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
        length_sigma: 0.5,
        template_count: 24,
        shared_fraction: 0.6,
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
        length_sigma: 0.1,
        template_count: 1,
        shared_fraction: 0.0,
        deadline: Duration::from_secs(2),
    }
}

/// 12 engines with a step time of 6 ms and 3 plain instances; inventories have the highest weight.
fn lodgeframe() -> LoadProfile {
    LoadProfile {
        kind: ProfileKind::Lodgeframe,
        model_service: "pack-llm",
        plain_service: "pack-api",
        engines: 12,
        plain_instances: 3,
        shape: EngineShape::with_step(6_000),
        configured_limit: 50,
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

/// 18 engines with a step time of 4 ms and 3 plain instances; proposals have the highest weight.
fn wrekin() -> LoadProfile {
    LoadProfile {
        kind: ProfileKind::Wrekin,
        model_service: "tk-infer",
        plain_service: "booking-api",
        engines: 18,
        plain_instances: 3,
        shape: EngineShape::with_step(4_000),
        configured_limit: 60,
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
