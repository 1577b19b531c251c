//! Who a caller is and what the table lets it use: an index over one table, built once per edit.

use super::routed::RouteIndex;
use crate::answer::AnswerKind;
use crate::fleet_state::OrganisationHash;
use crate::policy::{OrganisationIndex, OrganisationLimit, TierRank, TierShare};
use crate::table::{
    KeyDigest, LimitUnit, OperatorTable, OrganisationName, OrganisationRow, RouteRow, ServiceName,
    ServiceRow, TierName,
};
use std::collections::HashMap;
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// A caller that proved its organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerIdentity {
    /// The organisation's number in this daemon.
    pub index: OrganisationIndex,
    /// Its name.
    pub organisation: OrganisationName,
    /// Its weight.
    pub weight: u32,
    /// What its limit counts.
    pub limit_unit: LimitUnit,
    /// Tokens that a request counts as that names none.
    pub uncounted_tokens: Option<u32>,
}

/// Numbers given to organisation names; kept over edits so that limits and queues keep their state.
#[derive(Clone, Debug, Default)]
pub struct OrganisationNumbers(HashMap<OrganisationName, OrganisationIndex>);

impl OrganisationNumbers {
    fn number(&mut self, name: &OrganisationName) -> OrganisationIndex {
        let next = OrganisationIndex(self.0.len() as u32);
        *self.0.entry(name.clone()).or_insert(next)
    }
}

/// The index over one table.
#[derive(Clone, Debug, Default)]
pub struct AccessIndex {
    by_digest: HashMap<String, (String, CallerIdentity)>,
    services: HashMap<ServiceName, Arc<ServiceRow>>,
    ranks: HashMap<TierName, TierRank>,
    table: OperatorTable,
    limits: HashMap<OrganisationIndex, OrganisationLimit>,
    routes: RouteIndex,
    /// Organisations with a limit on tokens.
    limited: HashMap<OrganisationHash, OrganisationIndex>,
}

impl AccessIndex {
    /// Indexes `table`.
    pub fn new(table: &OperatorTable, numbers: &mut OrganisationNumbers) -> Self {
        let mut index = AccessIndex {
            services: table
                .services
                .iter()
                .map(|row| (row.service.clone(), Arc::new(row.clone())))
                .collect(),
            ranks: table.tiers.iter().map(|row| (row.tier.clone(), TierRank(row.rank))).collect(),
            table: table.clone(),
            routes: RouteIndex::new(table),
            ..AccessIndex::default()
        };
        for row in &table.organisations {
            let number = numbers.number(&row.organisation);
            index.limits.insert(number, limit_of(row));
            if row.tokens_per_second.is_some() {
                index.limited.insert(OrganisationHash::of(&row.organisation), number);
            }
            let identity = CallerIdentity {
                index: number,
                organisation: row.organisation.clone(),
                weight: row.weight,
                limit_unit: row.limit_unit,
                uncounted_tokens: row.uncounted_tokens,
            };
            let digests = row
                .key_digests
                .iter()
                .map(|digest| (digest.0.clone(), (digest.0.clone(), identity.clone())));
            index.by_digest.extend(digests);
        }
        index
    }

    /// Finds the organisation of a bearer key. Only digests are looked up and compared, and the
    /// comparison takes the same time wherever they differ, so timing tells nothing about a key.
    pub fn identify(&self, bearer: Option<&str>) -> Result<&CallerIdentity, AnswerKind> {
        let key = bearer.ok_or(AnswerKind::KeyMissing)?;
        let digest = KeyDigest::of(key);
        let (known, identity) = self.by_digest.get(&digest.0).ok_or(AnswerKind::KeyUnknown)?;
        match bool::from(known.as_bytes().ct_eq(digest.0.as_bytes())) {
            true => Ok(identity),
            false => Err(AnswerKind::KeyUnknown),
        }
    }

    /// The row of a service that `caller` may use.
    pub fn service(
        &self,
        name: &str,
        caller: &CallerIdentity,
    ) -> Result<&Arc<ServiceRow>, AnswerKind> {
        let row = self.services.get(&ServiceName::from(name)).ok_or(AnswerKind::ServiceUnknown)?;
        if row.allows(&caller.organisation) { Ok(row) } else { Err(AnswerKind::NotAllowed) }
    }

    /// The tier of a request.
    pub fn tier(
        &self,
        service: &ServiceRow,
        caller: &CallerIdentity,
        purpose: Option<&str>,
    ) -> (TierName, TierRank) {
        let name = self.table.tier_of(service, &caller.organisation, purpose);
        // Checked tables have a rank for every name; an unknown one must not count as important.
        let rank = self.ranks.get(name).copied().unwrap_or(TierRank(u8::MAX));
        (name.clone(), rank)
    }

    /// The tier of a route's requests: the caller's own, if an assignment gives it one.
    pub fn route_tier(&self, route: &RouteRow, caller: Option<&CallerIdentity>) -> TierRank {
        let assigned = caller.and_then(|caller| {
            let mut rows = self.table.assignments.iter();
            rows.find(|row| row.organisation.as_ref() == Some(&caller.organisation))
        });
        let name = assigned.map_or(&route.tier, |row| &row.tier);
        self.ranks.get(name).copied().unwrap_or(TierRank(u8::MAX))
    }

    /// A route's rank by its own tier, which orders the requests of one organisation's tier.
    pub fn route_rank(&self, route: &RouteRow) -> u8 {
        self.ranks.get(&route.tier).map_or(u8::MAX, |rank| rank.0)
    }

    /// Organisations with a limit on tokens, by the hash that daemons call them by, and their numbers.
    pub fn limited_hashes(&self) -> impl Iterator<Item = (OrganisationHash, OrganisationIndex)> {
        self.limited.iter().map(|(hash, index)| (*hash, *index))
    }

    /// The number of an organisation with a limit on tokens.
    pub fn limited_by_hash(&self, organisation: OrganisationHash) -> Option<OrganisationIndex> {
        self.limited.get(&organisation).copied()
    }

    /// The routes.
    pub fn routes(&self) -> &RouteIndex {
        &self.routes
    }

    /// What a request counts as against its organisation's limit: `tokens` if it says, else a fixed number.
    pub fn counted(&self, caller: &CallerIdentity, tokens: Option<u32>) -> u32 {
        match caller.limit_unit {
            LimitUnit::Requests => 1,
            LimitUnit::Tokens => tokens.or(caller.uncounted_tokens).unwrap_or(1),
        }
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceRow>> {
        self.services.values()
    }

    /// The table.
    pub fn table(&self) -> &OperatorTable {
        &self.table
    }

    /// Limits by organisation.
    pub fn limits(&self) -> &HashMap<OrganisationIndex, OrganisationLimit> {
        &self.limits
    }

    /// Tiers with their weights.
    pub fn tier_shares(&self) -> Vec<TierShare> {
        self.table
            .tiers
            .iter()
            .map(|row| TierShare { rank: TierRank(row.rank), weight: row.weight })
            .collect()
    }
}

fn limit_of(row: &OrganisationRow) -> OrganisationLimit {
    OrganisationLimit {
        tokens_per_second: row.tokens_per_second,
        burst_tokens: row.burst_tokens,
        concurrent: row.concurrent,
    }
}
