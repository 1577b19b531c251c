//! Caller authentication and access rules: an index over one table, rebuilt when the table is
//! edited.

use super::routed::RouteIndex;
use crate::answer::AnswerKind;
use crate::fleet_state::OrganisationHash;
use crate::policy::{OrganisationIndex, OrganisationLimit, TierRank, TierShare};
use crate::table::{
    KeyDigest, LimitUnit, OperatorTable, OrganisationName, OrganisationRow, RegionName, RouteRow,
    ServiceName, ServiceRow, TierName,
};
use std::collections::HashMap;
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// A caller authenticated by its organisation's key.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerIdentity {
    /// Index of the organisation in this daemon.
    pub index: OrganisationIndex,
    pub organisation: OrganisationName,
    pub weight: u32,
    /// Unit that the organisation's limit counts.
    pub limit_unit: LimitUnit,
    /// Tokens charged for a request that states no token count.
    pub uncounted_tokens: Option<u32>,
    /// Regions in which the organisation's requests may be served; `None` means anywhere.
    pub regions: Option<Arc<[RegionName]>>,
}

/// Indices assigned to organisation names; kept across table edits, so that limits and queues keep
/// their state.
#[derive(Clone, Debug, Default)]
pub struct OrganisationIndices(HashMap<OrganisationName, OrganisationIndex>);

impl OrganisationIndices {
    fn get_or_assign(&mut self, name: &OrganisationName) -> OrganisationIndex {
        let next = OrganisationIndex(self.0.len() as u32);
        *self.0.entry(name.clone()).or_insert(next)
    }
}

/// Index over one operator table.
#[derive(Clone, Debug, Default)]
pub struct AccessIndex {
    by_digest: HashMap<String, (String, CallerIdentity)>,
    services: HashMap<ServiceName, Arc<ServiceRow>>,
    ranks: HashMap<TierName, TierRank>,
    table: OperatorTable,
    limits: HashMap<OrganisationIndex, OrganisationLimit>,
    routes: RouteIndex,
    /// Organisations with a token rate limit.
    token_limited: HashMap<OrganisationHash, OrganisationIndex>,
    /// Name and weight of each organisation.
    organisations: HashMap<OrganisationIndex, (OrganisationName, u32)>,
}

impl AccessIndex {
    /// Builds the index of `table`; organisations not seen before are assigned new indices.
    pub fn new(table: &OperatorTable, indices: &mut OrganisationIndices) -> Self {
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
            let organisation_index = indices.get_or_assign(&row.organisation);
            index.limits.insert(organisation_index, limit_of(row));
            index.organisations.insert(organisation_index, (row.organisation.clone(), row.weight));
            if row.tokens_per_second.is_some() {
                index
                    .token_limited
                    .insert(OrganisationHash::of(&row.organisation), organisation_index);
            }
            let identity = CallerIdentity {
                index: organisation_index,
                organisation: row.organisation.clone(),
                weight: row.weight,
                limit_unit: row.limit_unit,
                uncounted_tokens: row.uncounted_tokens,
                regions: row.regions.as_deref().map(Arc::from),
            };
            let digests = row
                .key_digests
                .iter()
                .map(|digest| (digest.0.clone(), (digest.0.clone(), identity.clone())));
            index.by_digest.extend(digests);
        }
        index
    }

    /// Authenticates a caller by its bearer key. Only digests are looked up, and they are compared
    /// in constant time, so that timing reveals nothing about a key.
    pub fn identify(&self, bearer: Option<&str>) -> Result<&CallerIdentity, AnswerKind> {
        let key = bearer.ok_or(AnswerKind::KeyMissing)?;
        let digest = KeyDigest::of(key);
        let (known, identity) = self.by_digest.get(&digest.0).ok_or(AnswerKind::KeyUnknown)?;
        match bool::from(known.as_bytes().ct_eq(digest.0.as_bytes())) {
            true => Ok(identity),
            false => Err(AnswerKind::KeyUnknown),
        }
    }

    /// Returns the row of a service, if `caller` may use the service.
    pub fn service(
        &self,
        name: &str,
        caller: &CallerIdentity,
    ) -> Result<&Arc<ServiceRow>, AnswerKind> {
        let row = self.services.get(&ServiceName::from(name)).ok_or(AnswerKind::ServiceUnknown)?;
        if row.allows(&caller.organisation) { Ok(row) } else { Err(AnswerKind::NotAllowed) }
    }

    /// Tier of a request, with its rank.
    pub fn tier(
        &self,
        service: &ServiceRow,
        caller: &CallerIdentity,
        purpose: Option<&str>,
    ) -> (TierName, TierRank) {
        let name = self.table.tier_of(service, &caller.organisation, purpose);
        // A validated table ranks every tier; an unknown one gets the lowest priority.
        let rank = self.ranks.get(name).copied().unwrap_or(TierRank(u8::MAX));
        (name.clone(), rank)
    }

    /// Rank of a route's requests: that of the tier assigned to the caller's organisation,
    /// otherwise that of the route's tier.
    pub fn route_tier(&self, route: &RouteRow, caller: Option<&CallerIdentity>) -> TierRank {
        let assigned = caller.and_then(|caller| {
            let mut rows = self.table.assignments.iter();
            rows.find(|row| row.organisation.as_ref() == Some(&caller.organisation))
        });
        let name = assigned.map_or(&route.tier, |row| &row.tier);
        self.ranks.get(name).copied().unwrap_or(TierRank(u8::MAX))
    }

    /// Rank of a route's own tier; it orders requests within one organisation's tier.
    pub fn route_rank(&self, route: &RouteRow) -> u8 {
        self.ranks.get(&route.tier).map_or(u8::MAX, |rank| rank.0)
    }

    /// Organisations with a token rate limit: the hash that identifies them between daemons, and
    /// their index in this daemon.
    pub fn token_limited_hashes(
        &self,
    ) -> impl Iterator<Item = (OrganisationHash, OrganisationIndex)> {
        self.token_limited.iter().map(|(hash, index)| (*hash, *index))
    }

    /// Index of the organisation with this hash, if it has a token rate limit.
    pub fn token_limited_by_hash(
        &self,
        organisation: OrganisationHash,
    ) -> Option<OrganisationIndex> {
        self.token_limited.get(&organisation).copied()
    }

    /// Name and weight of an organisation of the table.
    pub fn organisation(&self, index: OrganisationIndex) -> Option<(&OrganisationName, u32)> {
        self.organisations.get(&index).map(|(name, weight)| (name, *weight))
    }

    pub fn routes(&self) -> &RouteIndex {
        &self.routes
    }

    /// Units that a request is charged against its organisation's limit. If the limit counts
    /// tokens, this is `tokens` or, without it, the organisation's fixed number.
    pub fn charged_units(&self, caller: &CallerIdentity, tokens: Option<u32>) -> u32 {
        match caller.limit_unit {
            LimitUnit::Requests => 1,
            LimitUnit::Tokens => tokens.or(caller.uncounted_tokens).unwrap_or(1),
        }
    }

    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceRow>> {
        self.services.values()
    }

    /// The indexed table.
    pub fn table(&self) -> &OperatorTable {
        &self.table
    }

    pub fn limits(&self) -> &HashMap<OrganisationIndex, OrganisationLimit> {
        &self.limits
    }

    /// Weights of all tiers.
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
