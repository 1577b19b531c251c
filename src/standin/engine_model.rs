//! The model of one engine: continuous batching, step time growing with batch and prefill, and a
//! prefix cache of limited size. Pure: the caller lets time pass between steps.
//!
//! Chunked prefill after Sarathi-Serve (Agrawal et al., 2024): each step decodes the whole batch and
//! spends what is left of its token budget on prompts.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::{Mutex, PoisonError};

/// Tokens in one cached block.
const BLOCK_TOKENS: u32 = 128;

/// How fast and how large an engine is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineShape {
    /// Microseconds of a step with nothing in it.
    pub step_micros: u64,
    /// Microseconds added by each sequence in the batch.
    pub sequence_micros: u64,
    /// Microseconds added by each prompt token computed in the step.
    pub prefill_micros: u64,
    /// Prompt tokens computed in one step at most.
    pub prefill_budget: u32,
    /// Sequences in the batch at most.
    pub batch_limit: usize,
    /// Blocks of the prefix cache.
    pub cache_blocks: usize,
}

impl EngineShape {
    /// An engine with the given least step time.
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

/// A job's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// One request inside an engine.
#[derive(Clone, Debug)]
pub struct EngineJob {
    /// Its number.
    pub id: JobId,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Cumulative hashes of the prompt's blocks.
    pub blocks: Box<[u64]>,
    /// Output tokens to make.
    pub output_tokens: u32,
}

#[derive(Debug)]
struct RunningJob {
    job: EngineJob,
    prefilled: u32,
    cached: u32,
    emitted: u32,
}

/// What one step did.
#[derive(Clone, Debug, Default)]
pub struct EngineStep {
    /// How long it took, in microseconds.
    pub micros: u64,
    /// Jobs that made a token.
    pub emitted: Vec<JobId>,
    /// Jobs that made their last token.
    pub finished: Vec<JobId>,
    /// Blocks dropped from the cache.
    pub evicted: Vec<u64>,
}

/// Prefill work of a whole pool, and how much of it was wasted.
#[derive(Debug, Default)]
pub struct PrefillLedger(Mutex<LedgerState>);

#[derive(Debug, Default)]
struct LedgerState {
    seen: HashSet<u64>,
    computed: u64,
    repeated: u64,
    thrown_away: u64,
}

impl PrefillLedger {
    fn computed(&self, tokens: u32, blocks: &[u64]) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.computed += u64::from(tokens);
        let known = blocks.iter().filter(|block| !state.seen.insert(**block)).count();
        state.repeated += known as u64 * u64::from(BLOCK_TOKENS);
    }

    fn thrown_away(&self, tokens: u32) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).thrown_away += u64::from(tokens);
    }

    /// Prompt tokens computed.
    pub fn computed_tokens(&self) -> u64 {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).computed
    }

    /// Prompt tokens computed again although some engine had computed them, or thrown away.
    pub fn wasted_tokens(&self) -> u64 {
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.repeated + state.thrown_away
    }
}

/// One engine.
#[derive(Debug)]
pub struct EngineModel {
    shape: EngineShape,
    /// A factor on all times: above 1 for a straggler.
    pub slowness: f64,
    waiting: VecDeque<EngineJob>,
    running: Vec<RunningJob>,
    cache: HashMap<u64, u64>,
    cache_order: BTreeMap<u64, u64>,
    tick: u64,
    last_step_micros: u64,
}

impl EngineModel {
    /// An idle engine.
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

    /// Takes a job; engines admit in order of arrival.
    pub fn submit(&mut self, job: EngineJob) {
        self.waiting.push_back(job);
    }

    /// Drops a job; what it computed is thrown away.
    pub fn cancel(&mut self, id: JobId, ledger: &PrefillLedger) {
        self.waiting.retain(|job| job.id != id);
        if let Some(position) = self.running.iter().position(|running| running.job.id == id) {
            let running = self.running.swap_remove(position);
            ledger.thrown_away(running.prefilled - running.cached);
        }
    }

    /// Jobs in the batch.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Jobs not yet in the batch.
    pub fn queued_count(&self) -> usize {
        self.waiting.len()
    }

    /// Microseconds of the last step.
    pub fn last_step_micros(&self) -> u64 {
        self.last_step_micros
    }

    /// True if there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Runs one step; none if idle.
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
                ledger.computed(
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
        finished_prefill.iter().for_each(|blocks| self.remember(blocks, &mut step.evicted));
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
            // At least one prompt token is always computed: the first output needs it.
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

    fn remember(&mut self, blocks: &[u64], evicted: &mut Vec<u64>) {
        blocks.iter().for_each(|block| self.touch(*block));
        while self.cache.len() > self.shape.cache_blocks {
            let Some((_, block)) = self.cache_order.pop_first() else { return };
            self.cache.remove(&block);
            evicted.push(block);
        }
    }
}
