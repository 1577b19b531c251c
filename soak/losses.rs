//! Requests that end without a complete answer although their engines are sound.

use crate::context::{AddressKind, RELAY_PORT, SoakContext, lock};
use crate::tables;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time before a request in which no unplanned fault may concern its entry or its engine.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time after the acknowledgement of an edit that still counts as beside it.
const EDIT_TAIL: Duration = Duration::from_secs(3);
/// Time after a SIGHUP in which requests are sent that count as beside it.
const HANGUP_TIME: Duration = Duration::from_secs(2);
/// Part of a request's time after which its end counts as that of its time, in tenths.
const USED_TENTHS: u32 = 7;
/// Factor between the shares of requests that an entry cuts beside edits and at other times.
const EDIT_FACTOR: usize = 3;
/// Number of log lines that are printed for a request.
const PRINTED_LINES: usize = 3;

/// What an unplanned fault concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultTarget {
    Entry(usize),
    /// The connections between callers and an entry, whose process runs.
    CallerLinks(usize),
    Engine(usize),
    AllEngines,
}

/// What an engine saw of the end of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EngineEnd {
    /// It is still at work.
    Working,
    /// It sent its whole answer.
    Sent,
    /// The other side closed the connection.
    Left,
    /// It failed the request, or broke the answer off.
    Failed,
}

#[derive(Clone, Copy, Debug)]
struct EngineView {
    engine: usize,
    end: EngineEnd,
    ended_at: Instant,
}

/// A request as its caller saw it end.
#[derive(Clone, Debug)]
pub struct EndedRequest {
    pub entry: usize,
    pub path: String,
    pub sent_at: Instant,
    pub ended_at: Instant,
    /// Last event that came; 0 if none did.
    pub last_event: u64,
    pub is_cut: bool,
}

impl EndedRequest {
    /// True for a moment from `CONTACT_TIME` before the request to its end.
    fn is_near(&self, at: Instant) -> bool {
        at + CONTACT_TIME >= self.sent_at && at <= self.ended_at
    }
}

/// Record of what ended requests, and of the planned and unplanned events around them.
#[derive(Debug, Default)]
pub struct LossRecord {
    requests: Mutex<BTreeMap<String, EndedRequest>>,
    views: Mutex<BTreeMap<String, Vec<EngineView>>>,
    faults: Mutex<Vec<(Instant, FaultTarget)>>,
    hangups: Mutex<Vec<(Instant, usize)>>,
    terminations: Mutex<Vec<(Instant, usize)>>,
    /// Counts of requests that were cut after an engine got them, and of those whose engines were sound and
    /// that were beside planned work; and of those at sound engines whose peer was disrupted.
    counts: Mutex<[usize; 4]>,
}

/// Records an engine's work on a request; a drop without an end is a crash.
pub struct ViewGuard {
    ctx: Arc<SoakContext>,
    id: String,
    idx: usize,
}

impl ViewGuard {
    /// Records that the engine begins to work on a request.
    pub fn begin(ctx: &Arc<SoakContext>, id: &str, engine: usize) -> Self {
        let mut views = lock(&ctx.losses.views);
        let list = views.entry(id.to_owned()).or_default();
        list.push(EngineView { engine, end: EngineEnd::Working, ended_at: Instant::now() });
        ViewGuard { ctx: Arc::clone(ctx), id: id.to_owned(), idx: list.len() - 1 }
    }

    /// Records how the work of a sound engine ended.
    pub fn end(self, has_sent: bool) {
        self.set(if has_sent { EngineEnd::Sent } else { EngineEnd::Left });
    }

    fn set(&self, end: EngineEnd) {
        let mut views = lock(&self.ctx.losses.views);
        let view = views.get_mut(&self.id).and_then(|list| list.get_mut(self.idx));
        if let Some(view) = view.filter(|view| view.end == EngineEnd::Working) {
            (view.end, view.ended_at) = (end, Instant::now());
        }
    }
}

impl Drop for ViewGuard {
    fn drop(&mut self) {
        self.set(EngineEnd::Failed);
    }
}

impl LossRecord {
    pub fn record_end(&self, id: &str, request: EndedRequest) {
        lock(&self.requests).insert(id.to_owned(), request);
    }

    pub fn record_fault(&self, target: FaultTarget) {
        lock(&self.faults).push((Instant::now(), target));
    }

    pub fn record_hangup(&self, entry: usize) {
        lock(&self.hangups).push((Instant::now(), entry));
    }

    pub fn record_termination(&self, entry: usize) {
        lock(&self.terminations).push((Instant::now(), entry));
    }

    fn has_reached_engine(&self, id: &str) -> bool {
        lock(&self.views).contains_key(id)
    }

    /// The engine that worked on a request last, if it is sound.
    fn sound_view(&self, id: &str) -> Option<EngineView> {
        let views = lock(&self.views);
        let last = views.get(id).and_then(|list| list.last()).copied();
        last.filter(|view| view.end != EngineEnd::Failed)
    }

    /// True if an unplanned fault may have ended the request.
    fn has_fault(&self, request: &EndedRequest, entries: &[usize], engine: usize) -> bool {
        lock(&self.faults).iter().any(|(at, target)| {
            let concerns = match target {
                FaultTarget::Entry(entry) | FaultTarget::CallerLinks(entry) => {
                    entries.contains(entry)
                }
                FaultTarget::Engine(number) => *number == engine,
                FaultTarget::AllEngines => true,
            };
            concerns && request.is_near(*at)
        })
    }

    /// The last fault of a process among `peers`, through which the request was passed on, and how long
    /// before the request's end it was.
    fn peer_fault(&self, request: &EndedRequest, peers: &[usize]) -> Option<(usize, Duration)> {
        let faults = lock(&self.faults);
        let fault_of = |(at, target): &(Instant, FaultTarget)| match target {
            FaultTarget::Entry(entry) if peers.contains(entry) && request.is_near(*at) => {
                Some((*entry, request.ended_at - *at))
            }
            _ => None,
        };
        faults.iter().rev().find_map(fault_of)
    }

    /// True if the entry received SIGTERM or SIGHUP before the request ended.
    fn is_beside_signal(&self, request: &EndedRequest) -> bool {
        let (sent_at, ended_at) = (request.sent_at, request.ended_at);
        let is_here = |entry: &usize| *entry == request.entry;
        let hangups = lock(&self.hangups);
        let mut beside = hangups.iter().filter(|(_, entry)| is_here(entry));
        let terminations = lock(&self.terminations);
        let mut signals = terminations.iter().filter(|(_, entry)| is_here(entry));
        beside.any(|(at, _)| *at <= ended_at && sent_at <= *at + HANGUP_TIME)
            || signals.any(|(at, _)| *at <= ended_at && sent_at <= *at + crate::plan::DRAIN_TIME)
    }
}

impl fmt::Display for LossRecord {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [cut, sound, planned, peers] = *lock(&self.counts);
        write!(
            formatter,
            "{cut} requests at engines were cut, {sound} at sound engines, {planned} beside planned work, {peers} with a disrupted peer"
        )
    }
}

/// Spans beside edits, which may overlap.
fn edit_spans(ctx: &SoakContext) -> Vec<(Instant, Option<Instant>)> {
    let spans = ctx.tables.edit_spans(ctx).into_iter();
    spans.map(|(sent, ended)| (sent, ended.map(|at| at + EDIT_TAIL))).collect()
}

fn is_within(spans: &[(Instant, Option<Instant>)], at: Instant) -> bool {
    spans.iter().any(|(sent, ended)| *sent <= at && ended.is_none_or(|ended| at <= ended))
}

/// Checks that no request of a sound engine was cut beside planned work, and that no process cut a stream
/// of a sound engine.
pub fn check(ctx: &SoakContext) {
    let requests = lock(&ctx.losses.requests).clone();
    let spans = edit_spans(ctx);
    // Requests that ended, and were cut, at each entry: beside edits and at other times.
    let mut ended: BTreeMap<usize, [[usize; 2]; 2]> = BTreeMap::new();
    for (id, request) in &requests {
        let counts = ended.entry(request.entry).or_default();
        let place = &mut counts[usize::from(is_within(&spans, request.ended_at))];
        place[0] += 1;
        place[1] += usize::from(request.is_cut && ctx.losses.has_reached_engine(id));
    }
    let cuts_more_beside_edits = |entry: &usize| {
        let [other, beside] = ended[entry];
        beside[1] * other[0].max(1) > EDIT_FACTOR * other[1] * beside[0]
    };
    let mut cuts = String::new();
    for (id, request) in requests.iter().filter(|(_, request)| request.is_cut) {
        lock(&ctx.losses.counts)[0] += usize::from(ctx.losses.has_reached_engine(id));
        let Some(view) = ctx.losses.sound_view(id) else { continue };
        if ctx.losses.has_fault(request, &[request.entry], view.engine) {
            continue;
        }
        let peers = passed_through(ctx, id, request);
        if let Some((peer, time)) = ctx.losses.peer_fault(request, &peers) {
            lock(&ctx.losses.counts)[3] += 1;
            let detail = describe(ctx, id, request, view);
            cuts.push_str(&format!(
                "{id} passed on through entry {peer}, disrupted {time:?} before the end: {detail}\n"
            ));
            continue;
        }
        lock(&ctx.losses.counts)[1] += 1;
        let time = tables::least_time(ctx, &request.path, request.sent_at, request.ended_at);
        let is_late = (request.ended_at - request.sent_at) * 10 >= time * USED_TENTHS;
        let is_beside_edit =
            is_within(&spans, request.ended_at) && cuts_more_beside_edits(&request.entry);
        if !is_late && (is_beside_edit || ctx.losses.is_beside_signal(request)) {
            lock(&ctx.losses.counts)[2] += 1;
            ctx.recorder.record_request_violation("LOST", id, describe(ctx, id, request, view));
        }
        cuts.push_str(&format!("{id} {}\n", describe(ctx, id, request, view)));
    }
    drop(std::fs::write(ctx.folder().join("cuts.txt"), cuts));
    check_cut_streams(ctx, &requests);
}

/// Checks the processes' own records of streams that were cut before the end of their time, whatever the
/// work beside them.
fn check_cut_streams(ctx: &SoakContext, requests: &BTreeMap<String, EndedRequest>) {
    for entry in 0..ctx.sizes.entries {
        for line in log_lines(ctx, entry, "\"stream cut\"") {
            let Ok(line) = serde_json::from_str::<Value>(&line) else { continue };
            let id = line["request"].as_str().unwrap_or_default();
            let Some(request) = requests.get(id).filter(|request| request.is_cut) else { continue };
            let Some(view) = ctx.losses.sound_view(id) else { continue };
            let has_fault = ctx.losses.has_fault(request, &[entry, request.entry], view.engine);
            let time = tables::most_time(ctx, &request.path, request.sent_at, request.ended_at);
            let has_ended_in_time = request.ended_at - request.sent_at < time;
            if line["ended_by"] == "daemon" && !has_fault && has_ended_in_time {
                ctx.recorder.record_request_violation("CUT", id, describe(ctx, id, request, view));
            }
        }
    }
}

/// The entries through which a request was passed on, as the log of the entry that took it names them.
/// "No unplanned disruption" (RULES.md, LOST) also concerns their processes.
fn passed_through(ctx: &SoakContext, id: &str, request: &EndedRequest) -> Vec<usize> {
    let lines = log_lines(ctx, request.entry, "\"sent through a peer\"");
    let peer_of = |line: &String| {
        let line: Value = serde_json::from_str(line).ok()?;
        let peer = line["peer"].as_str().filter(|_| line["request"] == id)?;
        let mut entries = 0..ctx.sizes.entries;
        entries
            .find(|entry| ctx.address(AddressKind::Entry, *entry, RELAY_PORT).to_string() == peer)
    };
    lines.iter().filter_map(peer_of).collect()
}

/// A cut request as its caller, its engine and its entry's log saw it.
fn describe(ctx: &SoakContext, id: &str, request: &EndedRequest, view: EngineView) -> String {
    let EndedRequest { entry, path, last_event, .. } = request;
    let lines = log_lines(ctx, *entry, &format!("\"{id}\""));
    let is_told =
        |line: &&String| line.contains("\"stream ") || line.contains("\"sent through a peer\"");
    let own_lines: Vec<&String> = lines.iter().filter(is_told).take(PRINTED_LINES).collect();
    format!(
        "was cut at entry {entry} after {:?} and event {last_event} on {path}; engine {} {:?} {:?} after its send; log: {own_lines:?}",
        request.ended_at - request.sent_at,
        view.engine,
        view.end,
        view.ended_at.saturating_duration_since(request.sent_at),
    )
}

/// Lines of an entry's log that contain `text`.
fn log_lines(ctx: &SoakContext, entry: usize, text: &str) -> Vec<String> {
    let path = ctx.folder().join(format!("entry-{entry}.log"));
    let log = std::fs::read(path).unwrap_or_default();
    let log = String::from_utf8_lossy(&log);
    log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
}
