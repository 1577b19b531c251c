//! One bound on the request bodies and answers that the daemon holds for callers and upstreams.
//!
//! A caller that reads slowly must not hold the place of its request at the upstream, so answers are
//! read at the upstream's speed and held here until they are written. [`MemoryLedger`] decides who may
//! hold how much; it is free of I/O. Bodies use only a part of the bound, so that new requests are
//! refused before an answer in progress is dropped. An answer that needs more than is left has the
//! largest unread one dropped, which may be itself.

use axum::body::Body;
use bytes::{Bytes, BytesMut};
use http_body::{Frame, SizeHint};
use metrics::counter;
use slog::{Logger, info};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// The bound is the daemon's memory divided by this. The rest is for the process itself, its control
/// state, large events and the sockets' buffers.
const MEMORY_DIVISOR: u64 = 4;
/// Share of the bound that request bodies may use, in percent.
const BODY_PERCENT: usize = 75;
/// How long a body waits for memory: less than the shortest objective of callers leaves for a retry
/// elsewhere.
const BODY_WAIT: Duration = Duration::from_millis(200);
/// Size in bytes of the pieces in which answers are held. The connection takes up to 16 of them before
/// they are written, and these can no longer be dropped.
const PIECE_BYTES: usize = 8 << 10;
/// A stream is not read further while this many of its bytes are unread. At 7 Mbit/s a caller reads
/// them within 0.3 s; a stream of 34 events has a few KB.
const STREAM_BUFFER_BYTES: usize = 256 << 10;
/// After the deadline, an answer is dropped once its caller has taken none of it for this long.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of an answer in a ledger.
pub type AnswerNumber = u64;

/// No memory is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoMemory;

/// Who holds how much of the bound. Free of I/O.
#[derive(Debug, Default)]
pub struct MemoryLedger {
    /// In bytes; `None` if there is no bound.
    limit: Option<usize>,
    held: usize,
    /// Unread bytes of each answer.
    answers: BTreeMap<AnswerNumber, usize>,
    next_number: AnswerNumber,
}

impl MemoryLedger {
    /// Creates a ledger with a bound in bytes.
    pub fn new(limit: Option<usize>) -> Self {
        MemoryLedger { limit, ..MemoryLedger::default() }
    }

    /// Bytes held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Reserves memory for a part of a request body.
    pub fn reserve_body(&mut self, bytes: usize) -> Result<(), NoMemory> {
        let limit = self.limit.map(|limit| limit / 100 * BODY_PERCENT);
        if limit.is_some_and(|limit| self.held + bytes > limit) {
            return Err(NoMemory);
        }
        self.held += bytes;
        Ok(())
    }

    /// Adds an answer.
    pub fn begin_answer(&mut self) -> AnswerNumber {
        self.next_number += 1;
        self.answers.insert(self.next_number, 0);
        self.next_number
    }

    /// Reserves memory for a part of an answer. The answers in `dropped` have lost theirs, and fails
    /// if this one has.
    pub fn reserve_answer(
        &mut self,
        number: AnswerNumber,
        bytes: usize,
        dropped: &mut Vec<(AnswerNumber, usize)>,
    ) -> Result<(), NoMemory> {
        let own = *self.answers.get(&number).ok_or(NoMemory)?;
        while self.limit.is_some_and(|limit| self.held + bytes > limit) {
            let others = self.answers.iter().filter(|(other, _)| **other != number);
            let largest = others.max_by_key(|(_, unread)| **unread);
            let larger = largest.filter(|(_, unread)| **unread > own + bytes);
            let victim = larger.map_or(number, |(other, _)| *other);
            dropped.push((victim, self.end_answer(victim)));
            if victim == number {
                return Err(NoMemory);
            }
        }
        self.held += bytes;
        self.answers.insert(number, own + bytes);
        Ok(())
    }

    /// Moves bytes of an answer to its connection, which releases them once they are written. Fails if
    /// the answer was dropped.
    pub fn begin_writing(&mut self, number: AnswerNumber, bytes: usize) -> Result<(), NoMemory> {
        let unread = self.answers.get_mut(&number).ok_or(NoMemory)?;
        *unread = unread.saturating_sub(bytes);
        Ok(())
    }

    /// Releases the unread bytes of an answer and returns their number.
    pub fn end_answer(&mut self, number: AnswerNumber) -> usize {
        let unread = self.answers.remove(&number).unwrap_or_default();
        self.release(unread);
        unread
    }

    /// Releases bytes.
    pub fn release(&mut self, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
    }
}

#[derive(Debug, Default)]
struct BudgetState {
    ledger: MemoryLedger,
    buffers: BTreeMap<AnswerNumber, Arc<AnswerBuffer>>,
    /// True if the bound is for answers that are kept whole alone, not for bodies and streams.
    counts_whole_answers_only: bool,
}

#[derive(Debug)]
struct BudgetShared {
    log: Logger,
    state: Mutex<BudgetState>,
    /// Notified when memory is released.
    released: Notify,
}

/// The bound shared by all bodies and answers of a daemon.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<BudgetShared>);

impl MemoryBudget {
    /// Creates a budget without a bound.
    pub fn new(log: Logger) -> Self {
        let (state, released) = (Mutex::default(), Notify::new());
        MemoryBudget(Arc::new(BudgetShared { log, state, released }))
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the bound to a fraction of the daemon's memory, given in MiB.
    pub fn set_memory(&self, memory_mb: u64) {
        let bytes = memory_mb.saturating_mul(1 << 20) / MEMORY_DIVISOR;
        self.set_limit(usize::try_from(bytes).unwrap_or(usize::MAX));
    }

    /// Sets the bound as [`set_memory`](Self::set_memory) does, for answers that are kept whole alone.
    pub fn set_answer_memory(&self, memory_mb: u64) {
        self.set_memory(memory_mb);
        self.lock().counts_whole_answers_only = true;
    }

    /// Sets the bound, in bytes.
    pub fn set_limit(&self, bytes: usize) {
        self.lock().ledger.limit = Some(bytes);
    }

    /// True if there is a bound for bodies and all answers.
    pub fn is_bounded(&self) -> bool {
        let state = self.lock();
        state.ledger.limit.is_some() && !state.counts_whole_answers_only
    }

    /// True if there is a bound for answers that are kept whole.
    pub fn bounds_whole_answers(&self) -> bool {
        self.lock().ledger.limit.is_some()
    }

    /// Bytes held.
    pub fn held(&self) -> usize {
        self.lock().ledger.held()
    }

    /// A guard that holds nothing yet.
    pub fn guard(&self) -> MemoryGuard {
        MemoryGuard { budget: self.clone(), bytes: 0 }
    }

    /// Begins an answer: its writer, and the body that its caller reads.
    pub fn begin_answer(&self, request: &str) -> (AnswerWriter, HeldBody) {
        let buffer = Arc::new(AnswerBuffer { request: request.to_owned(), ..Default::default() });
        let mut state = self.lock();
        let number = state.ledger.begin_answer();
        state.buffers.insert(number, Arc::clone(&buffer));
        drop(state);
        let writer = AnswerWriter { budget: self.clone(), number, buffer: Arc::clone(&buffer) };
        let tasks = Vec::new();
        (writer, HeldBody { budget: self.clone(), number, buffer, tasks, length: None })
    }

    fn reserve_answer(&self, number: AnswerNumber, bytes: usize) -> Result<(), NoMemory> {
        let mut dropped = Vec::new();
        let mut state = self.lock();
        let reserved = state.ledger.reserve_answer(number, bytes, &mut dropped);
        let buffers = dropped
            .into_iter()
            .filter_map(|(victim, unread)| Some((state.buffers.remove(&victim)?, unread)));
        let buffers: Vec<_> = buffers.collect();
        drop(state);
        for (buffer, unread) in buffers {
            self.cut(&buffer, unread, "bound");
        }
        reserved
    }

    /// Drops an answer that its caller no longer reads.
    fn drop_unread(&self, number: AnswerNumber) {
        let mut state = self.lock();
        let unread = state.ledger.end_answer(number);
        let buffer = state.buffers.remove(&number);
        drop(state);
        buffer.iter().for_each(|buffer| self.cut(buffer, unread, "unread"));
    }

    fn cut(&self, buffer: &AnswerBuffer, unread: usize, cause: &'static str) {
        buffer.cut();
        self.0.released.notify_waiters();
        counter!("tarragonknot_answers_dropped_total", "cause" => cause).increment(1);
        info!(self.0.log, "answer dropped"; "request" => &buffer.request, "unread_bytes" => unread,
            "cause" => cause, "held_bytes" => self.held());
    }

    /// Forgets an answer whose body is no longer needed.
    fn end_answer(&self, number: AnswerNumber) {
        let mut state = self.lock();
        state.ledger.end_answer(number);
        state.buffers.remove(&number);
        drop(state);
        self.0.released.notify_waiters();
    }
}

/// Memory of the budget, released on drop.
#[derive(Debug)]
pub struct MemoryGuard {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryGuard {
    /// Reserves more memory for a request body; waits for a short time if there is none.
    pub async fn grow_body(&mut self, bytes: usize) -> Result<(), NoMemory> {
        let waiting = async {
            loop {
                let released = self.budget.0.released.notified();
                let mut released = std::pin::pin!(released);
                // Registered before the attempt, so that no release is missed.
                released.as_mut().enable();
                if self.budget.lock().ledger.reserve_body(bytes).is_ok() {
                    return;
                }
                released.await;
            }
        };
        if tokio::time::timeout(BODY_WAIT, waiting).await.is_err() {
            counter!("tarragonknot_bodies_refused_total").increment(1);
            info!(self.budget.0.log, "body refused"; "body_bytes" => self.bytes + bytes,
                "held_bytes" => self.budget.held());
            return Err(NoMemory);
        }
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for MemoryGuard {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.budget.lock().ledger.release(self.bytes);
            self.budget.0.released.notify_waiters();
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BufferEnd {
    Whole,
    Cut,
}

#[derive(Debug, Default)]
struct BufferState {
    pieces: VecDeque<BytesMut>,
    bytes: usize,
    end: Option<BufferEnd>,
    reader: Option<Waker>,
    /// Bytes that the connection has taken.
    taken: u64,
}

/// What a caller has not yet read of its answer.
#[derive(Debug, Default)]
struct AnswerBuffer {
    request: String,
    state: Mutex<BufferState>,
    /// Notified when the connection takes a piece, and when the answer is cut.
    changed: Notify,
}

impl AnswerBuffer {
    fn lock(&self) -> MutexGuard<'_, BufferState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, bytes: &[u8]) {
        let mut state = self.lock();
        if state.end.is_some() {
            return;
        }
        state.bytes += bytes.len();
        for part in bytes.chunks(PIECE_BYTES) {
            match state.pieces.back_mut() {
                Some(last) if last.len() + part.len() <= PIECE_BYTES => {
                    last.extend_from_slice(part);
                }
                _ => state.pieces.push_back(BytesMut::from(part)),
            }
        }
        state.reader.take().into_iter().for_each(Waker::wake);
    }

    /// Marks the answer as whole, unless it was cut.
    fn finish(&self) {
        let mut state = self.lock();
        state.end.get_or_insert(BufferEnd::Whole);
        state.reader.take().into_iter().for_each(Waker::wake);
    }

    /// Drops what is unread, also of an answer that was read whole from its upstream.
    fn cut(&self) {
        let mut state = self.lock();
        (state.end, state.pieces, state.bytes) = (Some(BufferEnd::Cut), VecDeque::new(), 0);
        state.reader.take().into_iter().for_each(Waker::wake);
        drop(state);
        self.changed.notify_one();
    }

    /// True if there are unread bytes, of which none was taken since `taken` were.
    fn is_left_unread(&self, taken: u64) -> bool {
        let state = self.lock();
        state.bytes > 0 && state.taken == taken
    }

    fn is_cut(&self) -> bool {
        self.lock().end == Some(BufferEnd::Cut)
    }
}

/// Writes an answer as it is read from its upstream. Dropped before [`AnswerWriter::finish`], it cuts
/// the answer.
#[derive(Debug)]
pub struct AnswerWriter {
    budget: MemoryBudget,
    number: AnswerNumber,
    buffer: Arc<AnswerBuffer>,
}

impl AnswerWriter {
    /// Adds bytes; fails if the answer was dropped for lack of memory.
    pub fn push(&self, bytes: &[u8]) -> Result<(), NoMemory> {
        self.budget.reserve_answer(self.number, bytes.len())?;
        self.buffer.push(bytes);
        Ok(())
    }

    /// Waits until little enough of a stream is unread for more of it to be read.
    pub async fn wait_for_room(&self) {
        while self.unread() >= STREAM_BUFFER_BYTES && !self.buffer.is_cut() {
            self.buffer.changed.notified().await;
        }
    }

    /// Completes once the answer is dropped.
    pub async fn dropped(&self) {
        while !self.buffer.is_cut() {
            self.buffer.changed.notified().await;
        }
    }

    /// Bytes that the connection has not taken.
    pub fn unread(&self) -> usize {
        self.buffer.lock().bytes
    }

    /// A copy of the unread bytes.
    pub fn copy_unread(&self) -> Vec<u8> {
        self.buffer.lock().pieces.iter().flat_map(|piece| piece.iter().copied()).collect()
    }

    /// Marks the answer as whole.
    pub fn finish(self) {
        self.buffer.finish();
    }
}

impl Drop for AnswerWriter {
    fn drop(&mut self) {
        if self.buffer.lock().end.is_none() {
            self.buffer.cut();
        }
    }
}

/// A piece on its way to the caller, with its memory.
struct WrittenPiece {
    bytes: Bytes,
    _memory: MemoryGuard,
}

impl AsRef<[u8]> for WrittenPiece {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The body of an answer that is held until its caller has read it.
#[derive(Debug)]
pub struct HeldBody {
    budget: MemoryBudget,
    number: AnswerNumber,
    buffer: Arc<AnswerBuffer>,
    /// Tasks that end with the body.
    tasks: Vec<AbortHandle>,
    /// Length in bytes of an answer that was read whole, less what was taken.
    length: Option<u64>,
}

impl HeldBody {
    /// The body of a response. It is dropped once its deadline is over and its caller reads nothing.
    pub fn into_body(mut self, time_left: Duration) -> Body {
        let state = self.buffer.lock();
        let is_whole = state.end == Some(BufferEnd::Whole);
        self.length = is_whole.then_some(state.bytes as u64);
        let is_small = is_whole && state.pieces.len() <= 1;
        drop(state);
        if !is_small {
            let (budget, number) = (self.budget.clone(), self.number);
            let buffer = Arc::clone(&self.buffer);
            let watch = tokio::spawn(async move {
                tokio::time::sleep(time_left).await;
                loop {
                    let before = buffer.lock().taken;
                    tokio::time::sleep(UNREAD_TIMEOUT).await;
                    if buffer.is_left_unread(before) {
                        return budget.drop_unread(number);
                    }
                }
            });
            self.end_with_body(watch.abort_handle());
        }
        Body::new(self)
    }

    /// Ends a task once the body is dropped.
    pub fn end_with_body(&mut self, task: AbortHandle) {
        self.tasks.push(task);
    }
}

impl http_body::Body for HeldBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let body = self.get_mut();
        let cut = || Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into())));
        let mut state = body.buffer.lock();
        let Some(piece) = state.pieces.pop_front() else {
            return match state.end {
                Some(BufferEnd::Whole) => Poll::Ready(None),
                Some(BufferEnd::Cut) => cut(),
                None => {
                    state.reader = Some(context.waker().clone());
                    Poll::Pending
                }
            };
        };
        state.bytes -= piece.len();
        state.taken += piece.len() as u64;
        drop(state);
        let begun = body.budget.lock().ledger.begin_writing(body.number, piece.len());
        if begun.is_err() {
            return cut();
        }
        body.buffer.changed.notify_one();
        body.length = body.length.map(|length| length - piece.len() as u64);
        let memory = MemoryGuard { budget: body.budget.clone(), bytes: piece.len() };
        let piece = WrittenPiece { bytes: piece.freeze(), _memory: memory };
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_owner(piece)))))
    }

    fn is_end_stream(&self) -> bool {
        let state = self.buffer.lock();
        state.pieces.is_empty() && state.end == Some(BufferEnd::Whole)
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
        self.budget.end_answer(self.number);
    }
}
