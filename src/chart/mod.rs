//! The interpreter of state charts: flat charts in JSON, typed by the code that runs them.
//!
//! A chart names its states, its final states and, for every state, what each event does: a
//! transition with actions, or `"ignore"`. The names are read into enums, so a chart that names a
//! state, event or action the code does not know fails to load.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

/// What a name in a chart must be: a plain enum that serde can read.
pub trait ChartName: DeserializeOwned + Serialize + Ord + Copy + Debug + 'static {
    /// All names, in order; used to check that a chart answers each.
    const ALL: &'static [Self];
}

/// What one event does in one state.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged, bound(deserialize = "S: ChartName, A: ChartName"))]
pub enum ChartStep<S, A> {
    /// The literal `"ignore"`: the event is expected here and changes nothing.
    Ignore(IgnoreWord),
    /// Go to `to` (a state of the chart) and do the actions in order.
    Move {
        /// The next state.
        to: S,
        /// Actions for the caller, in order.
        #[serde(default = "Vec::new", rename = "do")]
        actions: Vec<A>,
    },
}

/// The word `ignore`.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum IgnoreWord {
    /// Nothing happens.
    Ignore,
}

/// A loaded and checked chart over states `S`, events `V` and actions `A`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, bound(deserialize = "S: ChartName, V: ChartName, A: ChartName"))]
pub struct StateChart<S, V, A> {
    /// The chart's name, for errors.
    pub chart: String,
    /// Where a new machine starts.
    pub initial: S,
    /// States with no way out.
    #[serde(rename = "final")]
    pub finals: BTreeSet<S>,
    /// For each state that is not final, what each event does.
    pub states: BTreeMap<S, BTreeMap<V, ChartStep<S, A>>>,
}

/// Why a chart cannot be used.
#[derive(Debug, Snafu)]
pub enum ChartError {
    /// The JSON is not a chart, or names something unknown.
    #[snafu(display("chart is not readable: {source}"))]
    Unreadable {
        /// The reader's error, with line and column.
        source: serde_json::Error,
    },
    /// The chart is readable but incomplete.
    #[snafu(display("chart {chart}: {fault}"))]
    Incomplete {
        /// The chart's name.
        chart: String,
        /// What is missing, and where.
        fault: String,
    },
}

impl<S: ChartName, V: ChartName, A: ChartName> StateChart<S, V, A> {
    /// Reads and checks a chart.
    pub fn load(text: &str) -> Result<Self, ChartError> {
        let chart: Self =
            serde_json::from_str(text).map_err(|source| ChartError::Unreadable { source })?;
        match chart.faults().into_iter().next() {
            Some(fault) => Err(ChartError::Incomplete { chart: chart.chart, fault }),
            None => Ok(chart),
        }
    }

    /// Everything wrong with the chart: unanswered events, unreachable states, ways out of final states.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for state in S::ALL {
            match self.states.get(state) {
                None if self.finals.contains(state) => {}
                None => faults.push(format!("state {state:?} has no events and is not final")),
                Some(_) if self.finals.contains(state) => {
                    faults.push(format!("final state {state:?} has events"))
                }
                Some(events) => {
                    V::ALL.iter().filter(|event| !events.contains_key(event)).for_each(|event| {
                        faults.push(format!("state {state:?} does not answer {event:?}"))
                    })
                }
            }
        }
        let reachable = self.reachable();
        S::ALL
            .iter()
            .filter(|state| !reachable.contains(state))
            .for_each(|state| faults.push(format!("state {state:?} cannot be reached")));
        faults
    }

    fn reachable(&self) -> BTreeSet<S> {
        let mut reached = BTreeSet::from([self.initial]);
        let mut open = vec![self.initial];
        while let Some(state) = open.pop() {
            let steps = self.states.get(&state).into_iter().flat_map(|events| events.values());
            for step in steps {
                if let ChartStep::Move { to, .. } = step
                    && reached.insert(*to)
                {
                    open.push(*to);
                }
            }
        }
        reached
    }

    /// A machine in `state`, for one that was kept.
    pub fn resume(&'static self, state: S) -> ChartMachine<S, V, A> {
        ChartMachine { chart: self, state }
    }

    /// A machine in the initial state.
    pub fn start(&'static self) -> ChartMachine<S, V, A> {
        ChartMachine { chart: self, state: self.initial }
    }
}

/// One running instance of a chart.
#[derive(Clone, Copy, Debug)]
pub struct ChartMachine<S: 'static, V: 'static, A: 'static> {
    chart: &'static StateChart<S, V, A>,
    state: S,
}

impl<S: ChartName, V: ChartName, A: ChartName> ChartMachine<S, V, A> {
    /// Takes an event; returns the actions to do, none where the event is ignored or the state is final.
    pub fn step(&mut self, event: V) -> &'static [A] {
        let step = self.chart.states.get(&self.state).and_then(|events| events.get(&event));
        match step {
            Some(ChartStep::Move { to, actions }) => {
                self.state = *to;
                actions
            }
            Some(ChartStep::Ignore(_)) | None => &[],
        }
    }

    /// The present state.
    pub fn state(&self) -> S {
        self.state
    }

    /// True once no event changes anything any more.
    pub fn is_final(&self) -> bool {
        self.chart.finals.contains(&self.state)
    }
}

/// Declares an enum of chart names together with its `ALL` list.
#[macro_export]
macro_rules! chart_names {
    ($(#[$meta:meta])* $name:ident { $($(#[$doc:meta])* $variant:ident,)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum $name { $($(#[$doc])* $variant,)* }

        impl $crate::chart::ChartName for $name {
            const ALL: &'static [Self] = &[$($name::$variant,)*];
        }
    };
}
