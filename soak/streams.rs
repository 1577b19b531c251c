//! Streams over the tries of a caller: they hold events of one software version, and those that are
//! taken up again go on about as often as new ones begin.

use crate::context::{SoakContext, lock};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Versions of the engines' software; two engines in a row have the same one.
const VERSIONS: [&str; 3] = ["v1", "v1.1", "v1.2"];
/// Number of streams that are taken up from which the share that goes on is checked.
const MIN_TAKEN_UP: usize = 12;

/// The software version of engines that start.
#[derive(Debug, Default)]
pub struct ReleaseState {
    /// Number of the release; 0 if the versions follow the engines' numbers.
    release: AtomicUsize,
}

impl ReleaseState {
    /// Starts with a single version.
    pub fn start_with_one_version(&self) {
        self.release.store(1, Ordering::Relaxed);
    }

    /// Gives engines that start from now on the next version.
    pub fn begin_next(&self) {
        self.release.fetch_add(1, Ordering::Relaxed);
    }

    /// Version of an engine that starts, by its number from 1.
    pub fn version_of(&self, number: usize) -> String {
        match self.release.load(Ordering::Relaxed) {
            0 => VERSIONS[(number - 1) / 2 % VERSIONS.len()].to_owned(),
            release => format!("v{release}"),
        }
    }

    /// True if a release has replaced this version.
    pub fn is_old(&self, version: &str) -> bool {
        match self.release.load(Ordering::Relaxed) {
            0 => false,
            release => version != format!("v{release}"),
        }
    }
}

/// An event as an engine writes it.
pub fn event_text(request: &str, event: u64, version: &str) -> String {
    format!("id: {event}\ndata: {request} {event} {version}\n\n")
}

/// What a caller holds of a stream.
#[derive(Clone, Debug, Default)]
pub struct ReceivedEvents {
    /// Id of the last event; 0 before the first one.
    pub last_event: u64,
    pub versions: BTreeSet<String>,
    /// The text without the versions.
    pub text: String,
}

impl ReceivedEvents {
    /// Reads the events of an answer.
    pub fn read(text: &str) -> Self {
        let mut received = ReceivedEvents::default();
        for line in text.split_inclusive('\n') {
            if let Some(event) = line.strip_prefix("id: ") {
                received.last_event = event.trim().parse().unwrap_or(received.last_event);
            }
            match line.strip_prefix("data: ").and_then(|data| data.trim_end().rsplit_once(' ')) {
                Some((data, version)) if version.starts_with('v') => {
                    received.versions.insert(version.to_owned());
                    received.text.push_str(&format!("data: {data}\n"));
                }
                // An engine that writes no version would hide joins.
                Some(_) if line.ends_with('\n') => {
                    received.versions.insert(String::new());
                    received.text.push_str(line);
                }
                _ => received.text.push_str(line),
            }
        }
        received
    }
}

/// Numbers of streams whose callers reached an entry.
#[derive(Debug, Default)]
struct StreamCounts {
    new: usize,
    begun: usize,
    taken_up: usize,
    gone_on: usize,
    returns: ReturnCounts,
}

/// Numbers of tries of callers to take a stream up.
#[derive(Clone, Copy, Debug, Default)]
struct ReturnCounts {
    all: usize,
    elsewhere: usize,
    gone_on: usize,
    refused: usize,
}

/// How a caller's try to take a stream up ended.
#[derive(Clone, Copy, Debug)]
pub struct StreamReturn {
    /// True if the try before was at another entry.
    pub is_elsewhere: bool,
    pub has_gone_on: bool,
    pub is_refused: bool,
}

/// Record of the streams of a run.
#[derive(Debug, Default)]
pub struct StreamRecord(Mutex<StreamCounts>);

impl StreamRecord {
    /// Counts a new stream and whether it began.
    pub fn record_new(&self, has_begun: bool) {
        let mut counts = lock(&self.0);
        counts.new += 1;
        counts.begun += usize::from(has_begun);
    }

    /// Counts a stream that was taken up and whether it went on.
    pub fn record_taken_up(&self, has_gone_on: bool) {
        let mut counts = lock(&self.0);
        counts.taken_up += 1;
        counts.gone_on += usize::from(has_gone_on);
    }

    /// Counts a try to take a stream up, whatever the versions that are left.
    pub fn record_return(&self, ended: StreamReturn) {
        let counts = &mut lock(&self.0).returns;
        counts.all += 1;
        counts.elsewhere += usize::from(ended.is_elsewhere);
        counts.gone_on += usize::from(ended.has_gone_on);
        counts.refused += usize::from(ended.is_refused);
    }
}

impl fmt::Display for StreamRecord {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StreamCounts { new, begun, taken_up, gone_on, returns } = &*lock(&self.0);
        let ReturnCounts { all, elsewhere, gone_on: all_gone_on, refused } = returns;
        write!(
            formatter,
            "{begun} of {new} streams began, {gone_on} of {taken_up} went on; of {all} tries, {elsewhere} elsewhere, {all_gone_on} went on, {refused} refused"
        )
    }
}

/// True if two engines of a version take requests.
pub fn has_two_engines(ctx: &SoakContext, version: &str) -> bool {
    lock(&ctx.engines).pool().filter(|(_, engine)| engine.version == version).count() >= 2
}

/// Checks that of the streams that were taken up at least half as large a share went on as of new ones
/// began.
pub fn check(ctx: &SoakContext) {
    let StreamCounts { new, begun, taken_up, gone_on, .. } = *lock(&ctx.streams.0);
    if taken_up >= MIN_TAKEN_UP && gone_on * new * 2 < begun * taken_up {
        let detail = format!("{} of streams that were taken up", ctx.streams);
        ctx.recorder.record_violation("LOST", detail);
    }
}
