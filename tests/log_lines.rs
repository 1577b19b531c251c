//! The log of a daemon, kept in memory.

use serde_json::Value;
use slog::{Level, Logger};
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tarragonknot::report::json_logger;

/// Time within which a line must appear; generous even for a busy machine.
const LINE_TIME: Duration = Duration::from_secs(60);

/// Everything that a logger has written.
#[derive(Clone, Default)]
pub struct LogLines(Arc<Mutex<Vec<u8>>>);

impl Write for LogLines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl LogLines {
    /// A logger that writes here.
    pub fn logger(&self) -> Logger {
        json_logger(self.clone(), Level::Info, "entry")
    }

    /// The lines with this message.
    pub fn with_message(&self, message: &str) -> Vec<Value> {
        self.lines().into_iter().filter(|line| line["message"] == message).collect()
    }

    /// The lines with a number of records.
    pub fn with_count(&self) -> Vec<Value> {
        self.lines().into_iter().filter(|line| line["count"].is_u64()).collect()
    }

    fn lines(&self) -> Vec<Value> {
        let bytes = self.0.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }

    /// Waits until there are so many lines with this message, and returns them.
    pub async fn wait_for_count(&self, message: &str, count: usize) -> Vec<Value> {
        let lines = tokio::time::timeout(LINE_TIME, async {
            while self.with_message(message).len() < count {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            self.with_message(message)
        });
        lines.await.unwrap_or_else(|_| panic!("fewer than {count} lines say {message:?}"))
    }

    /// Waits until there is a line with this message, and returns the first one.
    pub async fn wait_for(&self, message: &str) -> Value {
        let line = tokio::time::timeout(LINE_TIME, async {
            loop {
                match self.with_message(message).into_iter().next() {
                    Some(line) => return line,
                    None => tokio::time::sleep(Duration::from_millis(5)).await,
                }
            }
        });
        line.await.unwrap_or_else(|_| panic!("no line says {message:?}"))
    }
}
