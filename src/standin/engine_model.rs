//! Model of an inference engine: continuous batching, step time that grows with batch size and
//! prefill, and a prefix cache of limited size. It reads no clock: the caller advances the time
//! between steps.
//!
//! Chunked prefill follows Sarathi-Serve (Agrawal et al., 2024): each step decodes the whole batch
//! and computes prompt tokens up to its prefill budget.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::{Mutex, PoisonError};

/// Tokens per prefix cache block.
const BLOCK_TOKENS: u32 = 128;

/// Speed and capacity of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineShape {
    /// Base duration of a step, in microseconds.
    pub step_micros: u64,
    /// Microseconds added per decoding sequence in the batch.
    pub sequence_micros: u64,
    /// Microseconds added per prompt token computed in the step.
    pub prefill_micros: u64,
    /// Maximum number of prompt tokens computed in a step.
    pub prefill_budget: u32,
    /// Maximum number of sequences in the batch.
    pub batch_limit: usize,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
}

impl EngineShape {
    /// Returns a shape whose other times are proportional to the base step time.
    pub fn with_step(step_micros: u64) -> Self {
        EngineShape {
            step_micros,
            sequence_micros: step_micros / 40,
            prefill_micros: step_micros / 150,
            prefill_budget: 512,
            batch_limit: 64,
            cache_blocks: 512,
        }
    }
}

/// Identifies a job within an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A request submitted to an engine.
#[derive(Clone, Debug)]
pub struct EngineJob {
    pub id: JobId,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Cumulative hashes of the prompt's blocks.
    pub blocks: Box<[u64]>,
    /// Number of output tokens to generate.
    pub output_tokens: u32,
}

#[derive(Debug)]
struct RunningJob {
    job: EngineJob,
    prefilled: u32,
    cached: u32,
    emitted: u32,
}

/// The result of a step.
#[derive(Clone, Debug, Default)]
pub struct EngineStep {
    /// Duration in microseconds.
    pub micros: u64,
    /// Jobs that generated a token.
    pub emitted: Vec<JobId>,
    /// Jobs that generated their last token.
    pub finished: Vec<JobId>,
    /// Blocks evicted from the prefix cache.
    pub evicted: Vec<u64>,
}

/// Counts the prompt tokens that the engines of a pool computed, and those of them wasted.
#[derive(Debug, Default)]
pub struct PrefillLedger(Mutex<LedgerState>);

#[derive(Debug, Default)]
struct LedgerState {
    seen_blocks: HashSet<u64>,
    computed: u64,
    recomputed: u64,
    discarded: u64,
}

impl PrefillLedger {
    fn add_computed(&self, tokens: u32, blocks: &[u64]) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.computed += u64::from(tokens);
        let known = blocks.iter().filter(|block| !state.seen_blocks.insert(**block)).count();
        state.recomputed += known as u64 * u64::from(BLOCK_TOKENS);
    }

    fn add_discarded(&self, tokens: u32) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).discarded += u64::from(tokens);
    }

    /// Returns the number of prompt tokens computed.
    pub fn computed_tokens(&self) -> u64 {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).computed
    }

    /// Returns the number of prompt tokens recomputed after some engine of the pool had computed
    /// them, plus those discarded with cancelled jobs.
    pub fn wasted_tokens(&self) -> u64 {
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.recomputed + state.discarded
    }
}

/// An inference engine.
#[derive(Debug)]
pub struct EngineModel {
    shape: EngineShape,
    /// Multiplier of all step times; above 1 for a straggler.
    pub slowness: f64,
    waiting: VecDeque<EngineJob>,
    running: Vec<RunningJob>,
    cache: HashMap<u64, u64>,
    cache_order: BTreeMap<u64, u64>,
    tick: u64,
    last_step_micros: u64,
}

impl EngineModel {
    /// Creates an idle engine.
    pub fn new(shape: EngineShape) -> Self {
        EngineModel {
            shape,
            slowness: 1.0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: HashMap::new(),
            cache_order: BTreeMap::new(),
            tick: 0,
            last_step_micros: shape.step_micros,
        }
    }

    /// Queues a job; jobs enter the batch in order of arrival.
    pub fn submit(&mut self, job: EngineJob) {
        self.waiting.push_back(job);
    }

    /// Removes a job; the prompt tokens computed for it are counted as discarded.
    pub fn cancel(&mut self, id: JobId, ledger: &PrefillLedger) {
        self.waiting.retain(|job| job.id != id);
        if let Some(position) = self.running.iter().position(|running| running.job.id == id) {
            let running = self.running.swap_remove(position);
            ledger.add_discarded(running.prefilled - running.cached);
        }
    }

    /// Returns the number of jobs in the batch.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of jobs waiting for the batch.
    pub fn queued_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the duration of the last step, in microseconds.
    pub fn last_step_micros(&self) -> u64 {
        self.last_step_micros
    }

    /// True if no job is running or waiting.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Runs one step; returns `None` if the engine is idle.
    pub fn step(&mut self, ledger: &PrefillLedger) -> Option<EngineStep> {
        self.fill_batch();
        if self.running.is_empty() {
            return None;
        }
        let mut step = EngineStep::default();
        let decoding = self
            .running
            .iter()
            .filter(|running| running.prefilled >= running.job.prompt_tokens)
            .count() as u64;
        let mut budget = self.shape.prefill_budget;
        let mut finished_prefill = Vec::new();
        for running in &mut self.running {
            let missing = running.job.prompt_tokens - running.prefilled;
            if missing == 0 {
                running.emitted += 1;
                step.emitted.push(running.job.id);
                continue;
            }
            let chunk = missing.min(budget);
            budget -= chunk;
            running.prefilled += chunk;
            if running.prefilled == running.job.prompt_tokens {
                let known = (running.cached / BLOCK_TOKENS) as usize;
                ledger.add_computed(
                    running.job.prompt_tokens - running.cached,
                    &running.job.blocks[known..],
                );
                finished_prefill.push(running.job.blocks.clone());
                running.emitted += 1;
                step.emitted.push(running.job.id);
            }
        }
        let prefill_tokens = u64::from(self.shape.prefill_budget - budget);
        let micros = self.shape.step_micros
            + decoding * self.shape.sequence_micros
            + prefill_tokens * self.shape.prefill_micros;
        step.micros = (micros as f64 * self.slowness) as u64;
        self.last_step_micros = step.micros;
        finished_prefill.iter().for_each(|blocks| self.cache_prompt(blocks, &mut step.evicted));
        self.running.retain(|running| {
            let is_done = running.emitted >= running.job.output_tokens;
            if is_done {
                step.finished.push(running.job.id);
            }
            !is_done
        });
        Some(step)
    }

    fn fill_batch(&mut self) {
        while self.running.len() < self.shape.batch_limit {
            let Some(job) = self.waiting.pop_front() else { return };
            let cached_blocks =
                job.blocks.iter().take_while(|block| self.cache.contains_key(*block)).count();
            // The last prompt token is always computed, because the first output token needs it.
            let cached =
                (cached_blocks as u32 * BLOCK_TOKENS).min(job.prompt_tokens.saturating_sub(1));
            let touched: Vec<u64> = job.blocks[..cached_blocks].to_vec();
            touched.into_iter().for_each(|block| self.touch(block));
            self.running.push(RunningJob { job, prefilled: cached, cached, emitted: 0 });
        }
    }

    fn touch(&mut self, block: u64) {
        self.tick += 1;
        if let Some(old) = self.cache.insert(block, self.tick) {
            self.cache_order.remove(&old);
        }
        self.cache_order.insert(self.tick, block);
    }

    fn cache_prompt(&mut self, blocks: &[u64], evicted: &mut Vec<u64>) {
        blocks.iter().for_each(|block| self.touch(*block));
        while self.cache.len() > self.shape.cache_blocks {
            let Some((_, block)) = self.cache_order.pop_first() else { return };
            self.cache.remove(&block);
            evicted.push(block);
        }
    }
}
