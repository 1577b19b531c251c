//! Size deciles of requests among the recent requests of their route.

use super::RequestSizes;
use super::value_density::size;
use std::collections::VecDeque;

/// Number of recent requests of a route that a new one is compared with.
const RECENT_REQUESTS: usize = 256;
/// Minimum number of requests needed to determine a decile.
const MIN_REQUESTS: usize = 10;
/// Weight of a new request in the moving average of its route's cost.
const COST_SMOOTHING: f64 = 0.05;

/// A decile of a route's requests by size: 0 the smallest, 9 the largest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SizeDecile(u8);

impl SizeDecile {
    /// The decile of the largest requests.
    pub const LARGEST: SizeDecile = SizeDecile(9);
    const NAMES: [&str; 10] = ["0", "1", "2", "3", "4", "5", "6", "7", "8", "9"];

    /// The decile of a request that is larger than `smaller` of `all` others.
    pub fn of_rank(smaller: usize, all: usize) -> Self {
        SizeDecile((smaller * 10 / all.max(1)).min(9) as u8)
    }

    /// Its number as a metric label.
    pub fn name(self) -> &'static str {
        Self::NAMES[usize::from(self.0)]
    }

    pub fn number(self) -> u8 {
        self.0
    }
}

/// The sizes of one route's recent requests, as estimated on arrival.
#[derive(Clone, Debug, Default)]
pub struct RouteSizes {
    recent: VecDeque<f64>,
    usual_cost: Option<f64>,
}

impl RouteSizes {
    /// Adds the token cost of a request and returns the moving average of the route, including it.
    pub fn usual_cost(&mut self, cost: u32) -> u32 {
        let cost = f64::from(cost);
        let usual = self.usual_cost.map_or(cost, |usual| usual + (cost - usual) * COST_SMOOTHING);
        self.usual_cost = Some(usual);
        usual as u32
    }

    /// Adds the sizes of a request and returns its decile among those before it, or `None` while
    /// too few are known.
    pub fn decile(&mut self, sizes: RequestSizes) -> Option<SizeDecile> {
        let size = size(sizes.prompt, sizes.output);
        let known = self.recent.len();
        let smaller = self.recent.iter().filter(|other| **other < size).count();
        if known == RECENT_REQUESTS {
            self.recent.pop_front();
        }
        self.recent.push_back(size);
        (known >= MIN_REQUESTS).then(|| SizeDecile::of_rank(smaller, known))
    }
}
