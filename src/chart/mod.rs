//! Interpreter for flat state charts defined in JSON.
//!
//! A chart lists its states, its final states and, for each state, how it handles each event: with
//! a transition and actions, or with `"ignore"`. Names deserialise into enums, so a chart with an
//! unknown state, event or action fails to load.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

/// Name of a state, event or action: a fieldless enum that serde can deserialise.
pub trait ChartName: DeserializeOwned + Serialize + Ord + Copy + Debug + 'static {
    /// All names, in order; used to check that a chart is complete.
    const ALL: &'static [Self];
}

/// Response of one state to one event.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged, bound(deserialize = "S: ChartName, A: ChartName"))]
pub enum ChartStep<S, A> {
    /// The literal `"ignore"`: the event is expected in this state and has no effect.
    Ignore(IgnoreLiteral),
    /// Transition to state `to` and perform the actions in order.
    Move {
        /// Target state.
        to: S,
        /// Actions for the caller to perform, in order.
        #[serde(default = "Vec::new", rename = "do")]
        actions: Vec<A>,
    },
}

/// The literal `"ignore"`.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum IgnoreLiteral {
    /// The event has no effect.
    Ignore,
}

/// A validated chart over states `S`, events `V` and actions `A`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, bound(deserialize = "S: ChartName, V: ChartName, A: ChartName"))]
pub struct StateChart<S, V, A> {
    /// Name of the chart, used in error messages.
    pub chart: String,
    /// Initial state of a new machine.
    pub initial: S,
    /// Final states, which have no transitions.
    #[serde(rename = "final")]
    pub finals: BTreeSet<S>,
    /// Response to each event, for each state that is not final.
    pub states: BTreeMap<S, BTreeMap<V, ChartStep<S, A>>>,
}

/// Error while loading a chart.
#[derive(Debug, Snafu)]
pub enum ChartError {
    /// The JSON is not a chart, or contains an unknown name.
    #[snafu(display("cannot parse chart: {source}"))]
    Unreadable {
        /// Error of the JSON parser, with line and column.
        source: serde_json::Error,
    },
    /// The chart can be parsed but is incomplete.
    #[snafu(display("chart {chart}: {fault}"))]
    Incomplete {
        /// Name of the chart.
        chart: String,
        /// Description of the first fault.
        fault: String,
    },
}

impl<S: ChartName, V: ChartName, A: ChartName> StateChart<S, V, A> {
    /// Parses and validates a chart.
    pub fn load(text: &str) -> Result<Self, ChartError> {
        let chart: Self =
            serde_json::from_str(text).map_err(|source| ChartError::Unreadable { source })?;
        match chart.faults().into_iter().next() {
            Some(fault) => Err(ChartError::Incomplete { chart: chart.chart, fault }),
            None => Ok(chart),
        }
    }

    /// All faults of the chart: unhandled events, unreachable states and transitions out of final
    /// states.
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
                        faults.push(format!("state {state:?} does not handle {event:?}"))
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
        let mut visited = BTreeSet::from([self.initial]);
        let mut pending = vec![self.initial];
        while let Some(state) = pending.pop() {
            let steps = self.states.get(&state).into_iter().flat_map(|events| events.values());
            for step in steps {
                if let ChartStep::Move { to, .. } = step
                    && visited.insert(*to)
                {
                    pending.push(*to);
                }
            }
        }
        visited
    }

    /// Creates a machine in `state`, to continue a stored one.
    pub fn resume(&'static self, state: S) -> ChartMachine<S, V, A> {
        ChartMachine { chart: self, state }
    }

    /// Creates a machine in the initial state.
    pub fn start(&'static self) -> ChartMachine<S, V, A> {
        ChartMachine { chart: self, state: self.initial }
    }
}

/// A running instance of a chart.
#[derive(Clone, Copy, Debug)]
pub struct ChartMachine<S: 'static, V: 'static, A: 'static> {
    chart: &'static StateChart<S, V, A>,
    state: S,
}

impl<S: ChartName, V: ChartName, A: ChartName> ChartMachine<S, V, A> {
    /// Handles an event and returns the actions to perform; empty if the event is ignored or the
    /// state is final.
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

    /// Current state.
    pub fn state(&self) -> S {
        self.state
    }

    /// Returns whether the current state is final, so that no further event has an effect.
    pub fn is_final(&self) -> bool {
        self.chart.finals.contains(&self.state)
    }
}

/// Declares an enum of chart names and implements [`ChartName`](crate::chart::ChartName) for it.
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

chart_names! {
    /// Placeholder for the actions of charts that have none.
    NoAction {
        /// Unused; a chart needs at least one name.
        Nothing,
    }
}
