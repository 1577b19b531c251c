//! Several daemons with a shared pool of engines that are replaced when they crash.

use crate::routed_fleet::{CallerAnswer, EngineMove, RoutedFleet, ScriptedEngine};
use std::time::Duration;
use tarragonknot::quarantine::{RequestContent, RequestFingerprint};
use tarragonknot::upstream::VmState;

/// Body of the request that crashes engines.
pub const POISON: &str = "poison";
/// Number of daemons.
const DAEMONS: usize = 3;
/// Number of engines that run at any time.
const ENGINES: usize = 4;
/// Time limit for the daemons to learn of a crashed engine; generous even for a busy machine.
const PATIENCE: Duration = Duration::from_secs(10);
const LOOK_PAUSE: Duration = Duration::from_millis(10);

/// Daemons and the engines that they share.
pub struct EnginePark {
    pub daemons: Vec<RoutedFleet>,
    engines: Vec<ScriptedEngine>,
    /// Number of poison requests received by each crashed engine.
    ended: Vec<usize>,
    poison_move: EngineMove,
}

impl EnginePark {
    /// Starts engines that answer every request except the poison request, which triggers
    /// `poison_move`.
    pub async fn start(poison_move: EngineMove) -> Self {
        let mut engines = Vec::new();
        for number in 0..ENGINES {
            engines.push(engine(number, poison_move.clone()).await);
        }
        let listed: Vec<&ScriptedEngine> = engines.iter().collect();
        let daemons = RoutedFleet::start_several(DAEMONS, &listed).await;
        EnginePark { daemons, engines, ended: Vec::new(), poison_move }
    }

    /// Sends a request with an id of its own to one of the daemons, then replaces crashed engines.
    pub async fn attempt(&mut self, number: usize, path: &str, body: &str) -> CallerAnswer {
        let daemon = &self.daemons[number % self.daemons.len()];
        let answer = daemon.call_body(path, &format!("id-{number}"), body).await;
        self.settle(path).await;
        self.replace_ended().await;
        answer
    }

    /// Waits until all daemons have recorded every engine crash, or the time limit is over.
    async fn settle(&self, path: &str) {
        let content = RequestContent {
            organisation: "agents",
            method: "POST",
            host: "shop.example",
            path,
            body: POISON.as_bytes(),
        };
        let request = RequestFingerprint::of(&content);
        let ended = self.ended.len() + self.engines.iter().filter(|one| one.has_ended()).count();
        let knows = |daemon: &RoutedFleet| daemon.state.quarantine.crashes(request) >= ended;
        let until = tokio::time::Instant::now() + PATIENCE;
        while !self.daemons.iter().all(knows) && tokio::time::Instant::now() < until {
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    }

    async fn replace_ended(&mut self) {
        let (ended, mut living): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.engines).into_iter().partition(ScriptedEngine::has_ended);
        self.ended.extend(ended.iter().map(poison_count));
        while living.len() < ENGINES {
            let number = ENGINES + self.ended.len() + living.len();
            living.push(engine(number, self.poison_move.clone()).await);
        }
        self.engines = living;
        self.list();
    }

    fn list(&self) {
        let listed: Vec<&ScriptedEngine> = self.engines.iter().collect();
        self.daemons.iter().for_each(|daemon| daemon.list(&listed, VmState::Live));
    }

    /// Number of crashed engines that have been replaced.
    pub fn ended(&self) -> usize {
        self.ended.len()
    }

    /// Number of poison requests that engines received.
    pub fn poison_sends(&self) -> usize {
        self.ended.iter().sum::<usize>() + self.engines.iter().map(poison_count).sum::<usize>()
    }
}

fn poison_count(engine: &ScriptedEngine) -> usize {
    engine.seen().iter().filter(|request| request.body == POISON.as_bytes()).count()
}

async fn engine(number: usize, poison_move: EngineMove) -> ScriptedEngine {
    ScriptedEngine::reading(&format!("i-{number}"), move |_, request| {
        let is_stream = request.path.starts_with("/stream") || request.path.starts_with("/resum");
        match request.body == POISON.as_bytes() {
            true => poison_move.clone(),
            false if is_stream => EngineMove::Events(1, 3),
            false => EngineMove::Answer(200, "fine"),
        }
    })
    .await
}
