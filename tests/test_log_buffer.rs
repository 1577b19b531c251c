//! The log: records that its buffer or its writer doesn't take.

use crate::log_lines::LogLines;
use serde_json::Value;
use slog::{Discard, Level, Logger, info, o};
use std::io::{Error, ErrorKind, Result, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;
use tarragonknot::report::{
    guarded_json_logger, install_metrics, json_logger, log_panics, render_metrics,
};
use tarragonknot::traffic::TrafficState;

/// Records that no buffer holds.
const RECORDS: usize = 20_000;

/// A writer that waits until it is opened, and fails a number of times.
#[derive(Clone)]
struct GatedWriter {
    lines: LogLines,
    gate: Arc<(Mutex<bool>, Condvar)>,
    failures: Arc<AtomicUsize>,
}

impl GatedWriter {
    fn new(is_open: bool, failures: usize) -> Self {
        let gate = Arc::new((Mutex::new(is_open), Condvar::new()));
        GatedWriter { lines: LogLines::default(), gate, failures: Arc::new(failures.into()) }
    }

    fn open(&self) {
        *self.gate.0.lock().expect("no holder of the lock panics") = true;
        self.gate.1.notify_all();
    }
}

impl Write for GatedWriter {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        let guard = self.gate.0.lock().expect("no holder of the lock panics");
        drop(self.gate.1.wait_while(guard, |is_open| !*is_open));
        let fails = self
            .failures
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |count| count.checked_sub(1));
        match fails {
            Ok(_) => Err(Error::from(ErrorKind::StorageFull)),
            Err(_) => self.lines.write(bytes),
        }
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

/// True if a counter has counted.
fn has_counted(name: &str) -> bool {
    let state = TrafficState::new("entry".into(), Logger::root(Discard, o!()), 7);
    render_metrics(&state).lines().any(|line| line.starts_with(name))
}

/// Guards against records that a slow writer doesn't take being lost without their number.
#[tokio::test]
async fn dropped_records_are_counted_in_the_log() {
    install_metrics();
    let writer = GatedWriter::new(false, 0);
    let log = json_logger(writer.clone(), Level::Info, "entry");

    (0..RECORDS).for_each(|number| info!(log, "one of many"; "number" => number));
    writer.open();
    while writer.lines.with_message("one of many").len() < 1_000 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    info!(log, "after");
    writer.lines.wait_for("after").await;

    let written = writer.lines.with_message("one of many").len();
    let dropped: u64 =
        writer.lines.with_count().iter().map(|line| line["count"].as_u64().unwrap_or(0)).sum();
    assert!(written < RECORDS, "nothing was dropped");
    assert_eq!(written as u64 + dropped, RECORDS as u64);
    assert!(writer.lines.with_count().iter().all(|line| line["daemon"] == "entry"));
    assert!(has_counted("tarragonknot_log_records_dropped_total"));
}

/// Guards against a log that stays silent after its writer has failed once.
#[tokio::test]
async fn a_writer_that_fails_once_loses_no_later_record() {
    install_metrics();
    let writer = GatedWriter::new(true, 1);
    let log = json_logger(writer.clone(), Level::Info, "entry");

    info!(log, "lost");
    while writer.failures.load(Ordering::SeqCst) > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    info!(log, "kept");

    writer.lines.wait_for("kept").await;
    assert!(has_counted("tarragonknot_log_records_unwritten_total"));
}

/// Guards against records that are lost at the end of the process while some logger still exists.
#[test]
fn a_guard_writes_what_is_buffered() {
    let writer = GatedWriter::new(false, 0);
    let (log, guard) = guarded_json_logger(writer.clone(), Level::Info, "entry");

    (0..1_000).for_each(|number| info!(log, "buffered"; "number" => number));
    writer.open();
    drop(guard);

    assert_eq!(writer.lines.with_message("buffered").len(), 1_000);
    drop(log);
}

/// Guards against a process that doesn't end because nobody reads its log.
#[test]
fn a_writer_that_takes_nothing_keeps_no_process() {
    let writer = GatedWriter::new(false, 0);
    let (log, guard) = guarded_json_logger(writer.clone(), Level::Info, "entry");

    (0..RECORDS).for_each(|number| info!(log, "stuck"; "number" => number));
    drop(guard);

    assert!(writer.lines.with_message("stuck").is_empty());
    writer.open();
}

/// Guards against a panic that ends the work of a task without a line in the log.
#[tokio::test]
async fn a_panic_is_logged() {
    install_metrics();
    let lines = LogLines::default();
    log_panics(lines.logger());

    let task = tokio::spawn(async { panic!("a panic of this test") });
    let is_panic = task.await.is_err_and(|error| error.is_panic());

    assert!(is_panic);
    lines.wait_for("panicked").await;
    // Other tests may panic meanwhile.
    let is_own = |line: &Value| line["cause"] == "a panic of this test";
    while !lines.with_message("panicked").iter().any(is_own) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(has_counted("tarragonknot_panics_total"));
}
