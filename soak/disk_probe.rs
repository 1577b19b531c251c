//! Watches the disk of the test machine, on which the data folders of all voters lie.

use crate::context::lock;
use std::fs::File;
use std::io::{Seek, Write};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Duration of a sync from which the disk counts as slow.
const SLOW_SYNC: Duration = Duration::from_millis(100);
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
const PROBE_BYTES: usize = 4_096;

/// Syncs that this process made itself.
#[derive(Debug, Default)]
struct SyncRecord {
    /// Start of the sync that is under way.
    started_at: Option<Instant>,
    /// End of the last slow sync.
    slow_at: Option<Instant>,
}

/// Syncs a small file again and again until it is dropped.
pub struct DiskProbe {
    record: Arc<Mutex<SyncRecord>>,
    is_stopped: Arc<AtomicBool>,
}

impl DiskProbe {
    /// Begins to watch the disk of `folder`.
    pub fn start(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("disk-probe"))?;
        let probe =
            DiskProbe { record: Arc::default(), is_stopped: Arc::new(AtomicBool::new(false)) };
        let (record, is_stopped) = (Arc::clone(&probe.record), Arc::clone(&probe.is_stopped));
        std::thread::spawn(move || watch(file, &record, &is_stopped));
        Ok(probe)
    }

    /// True if a sync was slow at `since` or later, or is now.
    pub fn was_slow_since(&self, since: Instant) -> bool {
        let record = lock(&self.record);
        record.slow_at.is_some_and(|slow_at| slow_at >= since)
            || record.started_at.is_some_and(|started_at| started_at.elapsed() >= SLOW_SYNC)
    }
}

impl Drop for DiskProbe {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Release);
    }
}

fn watch(mut file: File, record: &Mutex<SyncRecord>, is_stopped: &AtomicBool) {
    while !is_stopped.load(Ordering::Acquire) {
        let started_at = Instant::now();
        lock(record).started_at = Some(started_at);
        let synced = file
            .rewind()
            .and_then(|()| file.write_all(&[0; PROBE_BYTES]))
            .and_then(|()| file.sync_all());
        let mut record = lock(record);
        record.started_at = None;
        if started_at.elapsed() >= SLOW_SYNC {
            record.slow_at = Some(Instant::now());
        }
        drop(record);
        if synced.is_err() {
            return;
        }
        std::thread::sleep(PROBE_INTERVAL);
    }
}
