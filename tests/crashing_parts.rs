//! Several daemons with a shared pool of engines, which crash once they begin to write an answer on
//! one prompt part and are replaced.

use crate::routed_fleet::{
    EngineAction, KEY, ReceivedRequest, ReceivedStream, RoutedFleet, ScriptedEngine,
};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tarragonknot::quarantine::{PromptPart, RequestFingerprint};
use tarragonknot::upstream::VmState;
use tokio::time::Instant;

/// Id of the prompt part that crashes engines.
pub const BAD_PART: &str = "bad0";
/// Number of daemons.
pub const DAEMON_COUNT: usize = 3;
/// Number of engines that run at any time.
const ENGINE_COUNT: usize = 8;
/// Time limit for the daemons to learn of a crashed engine.
const CRASH_REPORT_TIMEOUT: Duration = Duration::from_secs(3);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Daemons and the engines that they share.
pub struct PartCrashes {
    pub daemons: Vec<RoutedFleet>,
    engines: Vec<ScriptedEngine>,
    /// Requests with the part that crashed engines received.
    sends_to_crashed: usize,
    crashed_count: usize,
    script: EngineScript,
}

/// What an engine does with a request.
type EngineScript = Arc<dyn Fn(&ReceivedRequest) -> EngineAction + Send + Sync>;

impl PartCrashes {
    /// Starts engines that answer every request but those with [`BAD_PART`], on which they perform
    /// `crash`.
    pub async fn start(crash: EngineAction) -> Self {
        Self::with_script(Arc::new(move |request| match request.head.contains(BAD_PART) {
            true => crash.clone(),
            false => sound_answer(request),
        }))
        .await
    }

    /// Starts engines of which one ends at every `nth` request, whatever that is.
    pub async fn start_ending_each(nth: usize) -> Self {
        let count = AtomicUsize::new(0);
        Self::with_script(Arc::new(move |request| {
            match (count.fetch_add(1, Ordering::Relaxed) + 1) % nth {
                0 => EngineAction::CrashAfter(1, 1),
                _ => sound_answer(request),
            }
        }))
        .await
    }

    async fn with_script(script: EngineScript) -> Self {
        let mut engines = Vec::new();
        for number in 0..ENGINE_COUNT {
            engines.push(engine(number, &script).await);
        }
        let listed: Vec<&ScriptedEngine> = engines.iter().collect();
        let daemons = RoutedFleet::start_peers(DAEMON_COUNT, &listed).await;
        PartCrashes { daemons, engines, sends_to_crashed: 0, crashed_count: 0, script }
    }

    /// Sends a request that is like no other to one of the daemons, then replaces crashed engines.
    pub async fn attempt(&mut self, number: usize, path: &str, prompt: &str) -> ReceivedStream {
        let daemon = &self.daemons[number % self.daemons.len()];
        let headers = [("tarragonknot-prefix-hash", prompt)];
        let answer = daemon.stream_for(KEY, path, &format!("id-{number}"), &headers).await;
        self.wait_for_crash_reports().await;
        self.replace_crashed().await;
        answer
    }

    /// Waits until all daemons have recorded every engine crash, or the time limit is over.
    async fn wait_for_crash_reports(&self) {
        let part = RequestFingerprint::of_part(&"pool".into(), PromptPart::of(BAD_PART.as_bytes()));
        let crashed = self.engines.iter().filter(|engine| engine.has_ended()).count();
        let total = self.crashed_count + crashed;
        let knows = |daemon: &RoutedFleet| daemon.state.quarantine.crashes(part) >= total;
        let time_limit = Instant::now() + CRASH_REPORT_TIMEOUT;
        while crashed > 0 && !self.daemons.iter().all(knows) && Instant::now() < time_limit {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    pub async fn replace_crashed(&mut self) {
        let (crashed, mut running): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.engines).into_iter().partition(ScriptedEngine::has_ended);
        self.sends_to_crashed += crashed.iter().map(sends_at).sum::<usize>();
        self.crashed_count += crashed.len();
        while running.len() < ENGINE_COUNT {
            let number = ENGINE_COUNT + self.crashed_count + running.len();
            running.push(engine(number, &self.script).await);
        }
        self.engines = running;
        let listed: Vec<&ScriptedEngine> = self.engines.iter().collect();
        self.daemons.iter().for_each(|daemon| daemon.list(&listed, VmState::Live));
    }

    /// Number of requests with the part that engines received.
    pub fn send_count(&self) -> usize {
        self.sends_to_crashed + self.engines.iter().map(sends_at).sum::<usize>()
    }
}

fn sends_at(engine: &ScriptedEngine) -> usize {
    engine.seen().iter().filter(|request| request.head.contains(BAD_PART)).count()
}

fn sound_answer(request: &ReceivedRequest) -> EngineAction {
    let is_stream = request.path.starts_with("/stream") || request.path.starts_with("/resum");
    match (is_stream, request.header("last-event-id")) {
        (true, None) => EngineAction::Events(1, 3),
        (true, Some(_)) => EngineAction::Events(2, 3),
        (false, _) => EngineAction::Answer(200, "fine"),
    }
}

async fn engine(number: usize, script: &EngineScript) -> ScriptedEngine {
    let script = Arc::clone(script);
    let answer = move |_: usize, request: &ReceivedRequest| match request.head.starts_with("GET ") {
        true => EngineAction::Answer(200, "ok"),
        false => script(request),
    };
    ScriptedEngine::start_with_request(&format!("i-{number}"), answer).await
}
