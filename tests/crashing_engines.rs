//! Several daemons with a shared pool of engines that are replaced when they crash.

use crate::routed_fleet::{CallerAnswer, EngineAction, RoutedFleet, ScriptedEngine};
use std::time::Duration;
use tarragonknot::quarantine::{RequestContent, RequestFingerprint};
use tarragonknot::upstream::VmState;

/// Body of the request that crashes engines.
pub const POISON_BODY: &str = "poison";
/// Number of daemons.
const DAEMON_COUNT: usize = 3;
/// Number of engines that run at any time.
const ENGINE_COUNT: usize = 4;
/// Time limit for the daemons to learn of a crashed engine; generous even for a busy machine.
const CRASH_REPORT_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Daemons and the engines that they share.
pub struct CrashingEngines {
    pub daemons: Vec<RoutedFleet>,
    engines: Vec<ScriptedEngine>,
    /// Number of poison requests received by each crashed engine.
    crashed: Vec<usize>,
    poison_move: EngineAction,
}

impl CrashingEngines {
    /// Starts engines that answer every request except the poison request, which triggers
    /// `poison_move`.
    pub async fn start(poison_move: EngineAction) -> Self {
        let mut engines = Vec::new();
        for number in 0..ENGINE_COUNT {
            engines.push(engine(number, poison_move.clone()).await);
        }
        let listed: Vec<&ScriptedEngine> = engines.iter().collect();
        let daemons = RoutedFleet::start_peers(DAEMON_COUNT, &listed).await;
        CrashingEngines { daemons, engines, crashed: Vec::new(), poison_move }
    }

    /// Replaces all engines by some that crash on the poison request.
    pub async fn crash_from_now_on(&mut self) {
        self.poison_move = EngineAction::Crash;
        self.engines.clear();
        self.replace_crashed().await;
    }

    /// Sends a request with an id of its own to one of the daemons, then replaces crashed engines.
    pub async fn attempt(&mut self, number: usize, path: &str, body: &str) -> CallerAnswer {
        let daemon = &self.daemons[number % self.daemons.len()];
        let answer = daemon.call_body(path, &format!("id-{number}"), body).await;
        self.wait_for_crash_reports(path).await;
        self.replace_crashed().await;
        answer
    }

    /// Waits until all daemons have recorded every engine crash, or the time limit is over.
    async fn wait_for_crash_reports(&self, path: &str) {
        let content = RequestContent {
            organisation: "agents",
            method: "POST",
            host: "shop.example",
            path,
            body: POISON_BODY.as_bytes(),
        };
        let request = RequestFingerprint::of(&content);
        let crashed =
            self.crashed.len() + self.engines.iter().filter(|one| one.has_ended()).count();
        let knows = |daemon: &RoutedFleet| daemon.state.quarantine.crashes(request) >= crashed;
        let time_limit = tokio::time::Instant::now() + CRASH_REPORT_TIMEOUT;
        while !self.daemons.iter().all(knows) && tokio::time::Instant::now() < time_limit {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn replace_crashed(&mut self) {
        let (crashed, mut running): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.engines).into_iter().partition(ScriptedEngine::has_ended);
        self.crashed.extend(crashed.iter().map(poison_requests_at));
        while running.len() < ENGINE_COUNT {
            let number = ENGINE_COUNT + self.crashed.len() + running.len();
            running.push(engine(number, self.poison_move.clone()).await);
        }
        self.engines = running;
        self.list_engines();
    }

    fn list_engines(&self) {
        let listed: Vec<&ScriptedEngine> = self.engines.iter().collect();
        self.daemons.iter().for_each(|daemon| daemon.list(&listed, VmState::Live));
    }

    /// Number of crashed engines that have been replaced.
    pub fn crashed_count(&self) -> usize {
        self.crashed.len()
    }

    /// Number of poison requests that engines received.
    pub fn poison_request_count(&self) -> usize {
        self.crashed.iter().sum::<usize>()
            + self.engines.iter().map(poison_requests_at).sum::<usize>()
    }
}

fn poison_requests_at(engine: &ScriptedEngine) -> usize {
    engine.seen().iter().filter(|request| request.body == POISON_BODY.as_bytes()).count()
}

async fn engine(number: usize, poison_move: EngineAction) -> ScriptedEngine {
    ScriptedEngine::start_with_request(&format!("i-{number}"), move |_, request| {
        let is_stream = request.path.starts_with("/stream") || request.path.starts_with("/resum");
        match request.body == POISON_BODY.as_bytes() {
            true => poison_move.clone(),
            false if is_stream => EngineAction::Events(1, 3),
            false => EngineAction::Answer(200, "fine"),
        }
    })
    .await
}
