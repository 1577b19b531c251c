//! Roll-outs of upstreams' software: a new version is let in by a small share, then used or rolled back by what it does.
//!
//! Pure: time and draws are inputs. The voters keep the orders and stages ([`RolloutLog`]); daemons send the new version
//! its share ([`SharePace`]) and count what comes of it ([`AnswerCounts`]); the leader adds the counts up and decides
//! ([`RolloutDirector`]). A new version that fails or is slow is found by comparison with the old one in the same time.

mod counts;
mod director;
mod judge;
mod log;
mod messages;
mod pace;
mod stage;
mod versions;

pub use counts::{AnswerCount, AnswerCounts, CountKey, RequestGroup, VersionArm};
pub use director::{RolloutDecision, RolloutDirector};
pub use judge::{VersionVerdict, judge};
pub use log::{RolloutLog, RolloutOrder, RolloutRecord, RolloutReply, RolloutStep};
pub use messages::{RolloutReport, RolloutRow, RolloutRows};
pub use pace::SharePace;
pub use stage::{RolloutAction, RolloutChart, RolloutEvent, RolloutStage, rollout_chart};
pub use versions::version_pool;
