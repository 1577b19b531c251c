//! Structured logs: JSON lines, through `slog`. A full buffer drops lines and says how many; traffic never waits.

use slog::{Drain, FnValue, Level, Logger, PushFnValue, o};
use std::io::Write;
use std::sync::Mutex;

/// Records held while the writer is slow; more are dropped and counted by the library.
const BUFFERED_RECORDS: usize = 4_096;

/// A logger of JSON lines to `writer`, at `level` and above.
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
