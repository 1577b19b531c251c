//! Structured logs as JSON lines, written asynchronously through `slog`. If the buffer is full,
//! records are dropped and their number is logged, so that logging never blocks traffic.

use metrics::counter;
use slog::{
    Drain, FnValue, Level, Logger, Never, OwnedKVList, PushFnValue, Record, b, error, o, record,
};
use slog_async::{AsyncCore, AsyncCoreBuilder, AsyncGuard};
use std::io::Write;
use std::panic::PanicHookInfo;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, mpsc};
use std::time::Duration;

/// Records buffered for a slow writer; those beyond are dropped and counted.
const BUFFERED_RECORDS: usize = 4_096;
/// Longest time for which the end of the process waits until the buffered records are written.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of panics that are logged; all are counted.
const MAX_LOGGED_PANICS: u64 = 64;

/// Creates a logger that writes records at `level` and above to `writer` as JSON lines.
pub fn json_logger(writer: impl Write + Send + 'static, level: Level, daemon: &str) -> Logger {
    root_logger(buffer_builder(writer).build_no_guard(), level, daemon)
}

/// As [`json_logger`], with a guard that writes the buffered records when the process ends.
pub fn guarded_json_logger(
    writer: impl Write + Send + 'static,
    level: Level,
    daemon: &str,
) -> (Logger, LogGuard) {
    let (core, guard) = buffer_builder(writer).build_with_guard();
    (root_logger(core, level, daemon), LogGuard(Some(guard)))
}

fn buffer_builder(
    writer: impl Write + Send + 'static,
) -> AsyncCoreBuilder<impl Drain<Err = Never, Ok = ()> + Send + 'static> {
    let json = slog_json::Json::new(writer)
        .add_key_value(o!(
            "time" => FnValue(|_| unix_millis()),
            "level" => FnValue(|record| record.level().as_short_str()),
            "message" => PushFnValue(|record, serializer| serializer.emit(record.msg())),
        ))
        .build();
    let writer = LogWriter { drain: Mutex::new(json), unwritten: AtomicU64::new(0) };
    AsyncCore::custom(writer).chan_size(BUFFERED_RECORDS)
}

fn root_logger(core: AsyncCore, level: Level, daemon: &str) -> Logger {
    let buffer = LogBuffer { core, dropped: AtomicU64::new(0) };
    let drain = slog::LevelFilter::new(buffer, level).fuse();
    Logger::root(drain, o!("daemon" => daemon.to_owned()))
}

/// The buffer before the writer's thread.
struct LogBuffer {
    core: AsyncCore,
    /// Records dropped since their number was last logged.
    dropped: AtomicU64,
}

impl Drain for LogBuffer {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        self.report_dropped(values);
        if self.core.log(record, values).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            counter!("tarragonknot_log_records_dropped_total").increment(1);
        }
        Ok(())
    }
}

impl LogBuffer {
    fn report_dropped(&self, values: &OwnedKVList) {
        let count = self.dropped.swap(0, Ordering::Relaxed);
        if count == 0 {
            return;
        }
        let text = format_args!("log records dropped");
        let report =
            self.core.log(&record!(Level::Warning, "", &text, b!("count" => count)), values);
        if report.is_err() {
            self.dropped.fetch_add(count, Ordering::Relaxed);
        }
    }
}

/// Writes records, and goes on after a record that could not be written.
struct LogWriter<D> {
    drain: D,
    /// Records that were not written since their number was last logged.
    unwritten: AtomicU64,
}

impl<D: Drain> Drain for LogWriter<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if self.drain.log(record, values).is_err() {
            self.unwritten.fetch_add(1, Ordering::Relaxed);
            counter!("tarragonknot_log_records_unwritten_total").increment(1);
            return Ok(());
        }
        let count = self.unwritten.swap(0, Ordering::Relaxed);
        if count > 0 {
            let text = format_args!("log records not written");
            drop(self.drain.log(&record!(Level::Warning, "", &text, b!("count" => count)), values));
        }
        Ok(())
    }
}

/// Writes the buffered records of a logger when it is dropped, within a bounded time.
pub struct LogGuard(Option<AsyncGuard>);

impl Drop for LogGuard {
    fn drop(&mut self) {
        let Some(guard) = self.0.take() else { return };
        let (done, written) = mpsc::channel();
        // A thread of its own, since a writer that takes nothing must not keep the process.
        std::thread::spawn(move || {
            drop(guard);
            let _ = done.send(());
        });
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Logs and counts the panics of all threads and tasks, which end what they were working on.
pub fn log_panics(log: Logger) {
    let earlier = std::panic::take_hook();
    let logged = AtomicU64::new(0);
    std::panic::set_hook(Box::new(move |panic| {
        counter!("tarragonknot_panics_total").increment(1);
        if logged.fetch_add(1, Ordering::Relaxed) < MAX_LOGGED_PANICS {
            let place = panic.location().map(ToString::to_string);
            let thread = std::thread::current().name().map(str::to_owned);
            error!(log, "panicked"; "cause" => panic_text(panic), "place" => place, "thread" => thread);
        }
        earlier(panic);
    }));
}

fn panic_text(panic: &PanicHookInfo<'_>) -> String {
    let payload = panic.payload();
    let text = payload.downcast_ref::<&str>().map(|text| (*text).to_owned());
    text.or_else(|| payload.downcast_ref::<String>().cloned()).unwrap_or_default()
}

fn unix_millis() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |since| since.as_millis() as u64)
}
