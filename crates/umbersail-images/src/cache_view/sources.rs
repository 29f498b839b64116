//! Choice of the peers that serve a fetch.

use std::fmt::Debug;

use super::CacheView;
use crate::FetchRequest;
use crate::rollout::{MAX_EXAMINED, Rollout};

/// Peers count as fast while they deliver at least this share of a machine's rate.
const FAST_PEER_SHARE: f64 = 0.5;

impl<M: Ord + Clone + Debug, I: Ord + Clone + Debug> CacheView<M, I> {
    /// Peers for a fetch; none if the store should serve it or no peer can.
    pub(super) fn choose_sources(
        &mut self,
        request: &FetchRequest<'_, M, I>,
        free_store_slots: usize,
        is_usable: impl Fn(&M) -> bool,
    ) -> Vec<M> {
        if !self.settings.peer_to_peer {
            return Vec::new();
        }
        let Some(rollout) = self.rollouts.get(request.image) else {
            return Vec::new();
        };
        let wanted = self.settings.sources_per_fetch.max(1);
        let search = SourceSearch::run(rollout, request, wanted, is_usable);
        for machine in search.unusable {
            self.update_machine(&machine, |cache| cache.suspended = true);
        }
        // Complete copies relieve the store. Partial ones do not replace it: somebody
        // has to fetch the image first.
        let usable_copies = (self.rollouts.get(request.image)).map_or(0, |r| r.usable_copies);
        let prefer_peers = usable_copies >= wanted && self.are_peers_fast(request.rate_gb_s);
        if free_store_slots > 0 && !prefer_peers {
            return Vec::new();
        }
        search.chosen
    }

    /// Whether peers deliver about as fast as the machine can receive, as far as known.
    fn are_peers_fast(&self, rate_gb_s: f64) -> bool {
        let peer_gb_s = self.rates.peer_gb_s();
        peer_gb_s.is_none_or(|peer_gb_s| peer_gb_s >= FAST_PEER_SHARE * rate_gb_s)
    }
}

/// A bounded search for sources.
struct SourceSearch<M> {
    chosen: Vec<M>,
    unusable: Vec<M>,
    examined: usize,
}

impl<M: Ord + Clone> SourceSearch<M> {
    /// Prefers the machine's own zone, and keeps one source for another zone so
    /// that a zone outage does not cut off the fetch.
    fn run<I>(
        rollout: &Rollout<M>,
        request: &FetchRequest<'_, M, I>,
        wanted: usize,
        is_usable: impl Fn(&M) -> bool,
    ) -> SourceSearch<M> {
        let mut search = SourceSearch {
            chosen: Vec::new(),
            unusable: Vec::new(),
            examined: 0,
        };
        let zones = rollout.source_zones(request.zone);
        let has_local = zones.first().is_some_and(|zone| zone == request.zone);
        let reserved_for_remote = usize::from(has_local && zones.len() > 1 && wanted > 1);
        for zone in &zones {
            let limit = match zone == request.zone {
                true => wanted - reserved_for_remote,
                false => wanted,
            };
            search.search_zone(rollout, zone, request.machine, limit, &is_usable);
        }
        // A second round fills up from the own zone what no other zone had.
        for zone in &zones {
            search.search_zone(rollout, zone, request.machine, wanted, &is_usable);
        }
        search
    }

    fn search_zone(
        &mut self,
        rollout: &Rollout<M>,
        zone: &str,
        requester: &M,
        limit: usize,
        is_usable: impl Fn(&M) -> bool,
    ) {
        for source in rollout.sources_in(zone) {
            if self.chosen.len() >= limit || self.examined >= MAX_EXAMINED {
                return;
            }
            let machine = &source.machine;
            if self.chosen.contains(machine) || machine == requester {
                continue;
            }
            self.examined += 1;
            if is_usable(machine) {
                self.chosen.push(machine.clone());
            } else if !self.unusable.contains(machine) {
                self.unusable.push(machine.clone());
            }
        }
    }
}
