//! Decides which suspects are to blame for crashes that several of them were present at.
//!
//! Everything that ran on an upstream is lost with it, so each crash raises the number of crashes of
//! many contents and parts. As in group testing, the suspects are held that together explain the
//! crashes best: few of them, that leave few crashes unexplained. A part that is in many requests is
//! present wherever two culprits crash upstreams, more often than either of them; but it explains less
//! than both.

use super::RequestFingerprint;
use super::suspect_record::SuspectRecord;
use crate::policy::{Moment, UpstreamHash};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Cost of holding one more suspect, in unexplained crashes.
const SUSPECT_COST: f64 = 1.5;
/// Groups of suspects that are compared exhaustively; of more, those are held that explain most.
const MAX_COMPARED_GROUPS: usize = 12;

type Suspect<'a> = (RequestFingerprint, &'a SuspectRecord);

/// Returns the suspects that are held at `now`.
pub fn held_suspects<'a>(
    records: impl Iterator<Item = (&'a RequestFingerprint, &'a SuspectRecord)>,
    now: Moment,
) -> Vec<Suspect<'a>> {
    let candidates = records.filter(|(key, record)| record.held_for(**key, now).is_some());
    let mut by_crashes: BTreeMap<Vec<UpstreamHash>, Vec<Suspect<'a>>> = BTreeMap::new();
    for (key, record) in candidates {
        by_crashes.entry(record.upstreams().collect()).or_default().push((*key, record));
    }
    let groups = by_crashes.into_values().map(SuspectGroup::new).collect();
    let components = connected_components(without_dominated(groups));
    components.into_iter().flat_map(choose_groups).flat_map(|group| group.suspects).collect()
}

/// Suspects that were present at the same crashes.
struct SuspectGroup<'a> {
    suspects: Vec<Suspect<'a>>,
    upstreams: HashSet<UpstreamHash>,
}

impl<'a> SuspectGroup<'a> {
    /// Of suspects that were present at the same crashes, the more specific ones are to blame: a part
    /// that is in most requests is present wherever one of them crashes an upstream.
    fn new(mut suspects: Vec<Suspect<'a>>) -> Self {
        let less_specific = less_specific_suspects(&suspects);
        suspects.retain(|(key, _)| !less_specific.contains(key));
        suspects.sort_unstable_by_key(|(key, _)| *key);
        let upstreams = suspects.iter().flat_map(|(_, record)| record.upstreams()).collect();
        SuspectGroup { suspects, upstreams }
    }

    /// True if each of this group's suspects may have been present at all crashes of another group.
    fn covers(&self, other: &SuspectGroup<'_>) -> bool {
        let (first, second) = (self.suspects.first(), other.suspects.first());
        first.zip(second).is_some_and(|((_, first), (_, second))| first.covers(second))
    }
}

/// The suspects that were in all blamed requests of another one, and in others besides.
fn less_specific_suspects(equals: &[Suspect<'_>]) -> HashSet<RequestFingerprint> {
    let records: HashMap<RequestFingerprint, &SuspectRecord> = equals.iter().copied().collect();
    let mut less_specific = HashSet::new();
    for (key, record) in equals {
        let known = record.companions().iter().filter_map(|other| records.get_key_value(other));
        let others = known.filter(|(_, other)| !other.companions().contains(key));
        less_specific.extend(others.map(|(other, _)| *other));
    }
    less_specific
}

/// Removes the groups whose crashes another group explains. Of two that may explain each other, which
/// only full records do, the first one stays.
fn without_dominated(mut groups: Vec<SuspectGroup<'_>>) -> Vec<SuspectGroup<'_>> {
    groups.sort_by_key(|group| Reverse(group.upstreams.len()));
    let mut kept: Vec<SuspectGroup<'_>> = Vec::new();
    let mut by_upstream: HashMap<UpstreamHash, Vec<usize>> = HashMap::new();
    for group in groups {
        let near = group.upstreams.iter().filter_map(|upstream| by_upstream.get(upstream));
        let near: HashSet<usize> = near.flatten().copied().collect();
        let is_full = |kept: &SuspectGroup<'_>| kept.suspects[0].1.last_if_full().is_some();
        let is_dominated = near.iter().any(|index| kept[*index].covers(&group))
            || kept.iter().take_while(|kept| is_full(kept)).any(|kept| kept.covers(&group));
        if !is_dominated && !group.suspects.is_empty() {
            for upstream in &group.upstreams {
                by_upstream.entry(*upstream).or_default().push(kept.len());
            }
            kept.push(group);
        }
    }
    kept
}

/// Divides groups into sets that have no crash in common.
fn connected_components(groups: Vec<SuspectGroup<'_>>) -> Vec<Vec<SuspectGroup<'_>>> {
    let mut component_of: HashMap<UpstreamHash, usize> = HashMap::new();
    let mut components: Vec<Vec<SuspectGroup<'_>>> = Vec::new();
    for group in groups {
        let joined: HashSet<usize> =
            group.upstreams.iter().filter_map(|one| component_of.get(one).copied()).collect();
        let target = joined.iter().min().copied().unwrap_or(components.len());
        if target == components.len() {
            components.push(Vec::new());
        }
        let mut members = vec![group];
        for other in joined.into_iter().filter(|other| *other != target) {
            members.append(&mut components[other]);
        }
        for upstream in members.iter().flat_map(|member| &member.upstreams) {
            component_of.insert(*upstream, target);
        }
        components[target].append(&mut members);
    }
    components
}

/// Chooses the groups that explain the crashes at the least cost.
fn choose_groups(mut groups: Vec<SuspectGroup<'_>>) -> Vec<SuspectGroup<'_>> {
    groups.sort_by_key(|group| {
        (Reverse(group.upstreams.len()), group.suspects.first().map(|(key, _)| *key))
    });
    let chosen = match groups.len() <= MAX_COMPARED_GROUPS {
        true => cheapest_choice(&groups),
        false => greedy_choice(&groups),
    };
    let numbered = groups.into_iter().enumerate();
    numbered.filter(|(index, _)| chosen.contains(index)).map(|(_, group)| group).collect()
}

fn cheapest_choice(groups: &[SuspectGroup<'_>]) -> HashSet<usize> {
    let all: HashSet<UpstreamHash> =
        groups.iter().flat_map(|group| group.upstreams.iter().copied()).collect();
    let members = |choice: u32| (0..groups.len()).filter(move |index| choice & (1 << index) != 0);
    let cost = |choice: u32| {
        let explained = members(choice).flat_map(|index| &groups[index].upstreams);
        let explained: HashSet<&UpstreamHash> = explained.collect();
        (all.len() - explained.len()) as f64 + SUSPECT_COST * f64::from(choice.count_ones())
    };
    let choices = (0..1u32 << groups.len()).map(|choice| (choice, cost(choice)));
    let cheapest = choices.min_by(|(first, cost), (second, other)| {
        cost.total_cmp(other).then(first.count_ones().cmp(&second.count_ones()))
    });
    members(cheapest.map_or(0, |(choice, _)| choice)).collect()
}

fn greedy_choice(groups: &[SuspectGroup<'_>]) -> HashSet<usize> {
    let mut explained: HashSet<UpstreamHash> = HashSet::new();
    let mut chosen = HashSet::new();
    loop {
        let gain = |index: &usize| groups[*index].upstreams.difference(&explained).count();
        let rest = (0..groups.len()).filter(|index| !chosen.contains(index));
        let best = rest.max_by_key(|index| (gain(index), Reverse(*index)));
        let Some(best) = best.filter(|index| gain(index) as f64 > SUSPECT_COST) else {
            return chosen;
        };
        explained.extend(&groups[best].upstreams);
        chosen.insert(best);
    }
}
