//! Structured logs as JSON lines, written asynchronously through `slog`. If the buffer is full,
//! records are dropped and their number is logged, so that logging never blocks traffic.

use slog::{Drain, FnValue, Level, Logger, PushFnValue, o};
use std::io::Write;
use std::sync::Mutex;

/// Records buffered for a slow writer; `slog_async` drops and counts those beyond.
const BUFFERED_RECORDS: usize = 4_096;

/// Creates a logger that writes records at `level` and above to `writer` as JSON lines.
pub fn json_logger(writer: impl Write + Send + 'static, level: Level, daemon: &str) -> Logger {
    let json = slog_json::Json::new(writer)
        .add_key_value(o!(
            "time" => FnValue(|_| unix_millis()),
            "level" => FnValue(|record| record.level().as_short_str()),
            "message" => PushFnValue(|record, serializer| serializer.emit(record.msg())),
        ))
        .build();
    let drain =
        slog_async::Async::new(Mutex::new(json).fuse()).chan_size(BUFFERED_RECORDS).build().fuse();
    let drain = slog::LevelFilter::new(drain, level).fuse();
    Logger::root(drain, o!("daemon" => daemon.to_owned()))
}

fn unix_millis() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |since| since.as_millis() as u64)
}
