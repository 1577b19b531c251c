//! Engines of one pool that are replaced when they end, before several daemons.

use crate::routed_fleet::{CallerAnswer, EngineAction, RoutedFleet, ScriptedEngine};
use std::time::Duration;
use tarragonknot::quarantine::{RequestContent, RequestFingerprint};
use tarragonknot::upstream::VmState;

/// The body of the request under which engines end.
pub const POISON: &str = "poison";
/// Daemons of the fleet.
const DAEMONS: usize = 3;
/// Engines that live at any time.
const ENGINES: usize = 4;
/// How long daemons may take to hear of an engine that ended; far more than they need on a busy machine.
const PATIENCE: Duration = Duration::from_secs(10);
const LOOK_PAUSE: Duration = Duration::from_millis(10);

/// Daemons and engines.
pub struct EnginePark {
    pub daemons: Vec<RoutedFleet>,
    engines: Vec<ScriptedEngine>,
    /// Requests with the poison body at engines that have ended.
    ended: Vec<usize>,
    poison_move: EngineAction,
}

impl EnginePark {
    /// Engines that answer all but the poison request, to which they do `poison_move`.
    pub async fn start(poison_move: EngineAction) -> Self {
        let mut engines = Vec::new();
        for number in 0..ENGINES {
            engines.push(engine(number, poison_move.clone()).await);
        }
        let listed: Vec<&ScriptedEngine> = engines.iter().collect();
        let daemons = RoutedFleet::start_peers(DAEMONS, &listed).await;
        EnginePark { daemons, engines, ended: Vec::new(), poison_move }
    }

    /// A caller's attempt at one of the daemons, under an id of its own; then engines that ended are replaced.
    pub async fn attempt(&mut self, number: usize, path: &str, body: &str) -> CallerAnswer {
        let daemon = &self.daemons[number % self.daemons.len()];
        let answer = daemon.call_body(path, &format!("id-{number}"), body).await;
        self.settle(path).await;
        self.replace_ended().await;
        answer
    }

    /// Waits until all daemons know of every engine that ended.
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

    /// Engines that have ended.
    pub fn ended(&self) -> usize {
        self.ended.len()
    }

    /// How often engines were sent the poison request.
    pub fn poison_sends(&self) -> usize {
        self.ended.iter().sum::<usize>() + self.engines.iter().map(poison_count).sum::<usize>()
    }
}

fn poison_count(engine: &ScriptedEngine) -> usize {
    engine.seen().iter().filter(|request| request.body == POISON.as_bytes()).count()
}

async fn engine(number: usize, poison_move: EngineAction) -> ScriptedEngine {
    ScriptedEngine::start_with_request(&format!("i-{number}"), move |_, request| {
        let is_stream = request.path.starts_with("/stream") || request.path.starts_with("/resum");
        match request.body == POISON.as_bytes() {
            true => poison_move.clone(),
            false if is_stream => EngineAction::Events(1, 3),
            false => EngineAction::Answer(200, "fine"),
        }
    })
    .await
}
