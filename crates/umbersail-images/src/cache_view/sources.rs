//! Selects the peers that serve a fetch.

use std::fmt::Debug;

use super::CacheView;
use crate::FetchRequest;
use crate::rollout::{MAX_EXAMINED, Rollout};

/// Peers count as fast if a machine receives from them at no less than this share of
/// its download rate.
const FAST_PEER_SHARE: f64 = 0.5;

impl<M: Ord + Clone + Debug, I: Ord + Clone + Debug> CacheView<M, I> {
    /// Selects the peers that serve a fetch. Returns no peers if the store should serve
    /// the fetch or if no peer can.
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
        // Enough complete copies replace the store. Partial copies do not: some machines
        // must first fetch the image from the store.
        let usable_copies = (self.rollouts.get(request.image)).map_or(0, |r| r.usable_copies);
        let prefer_peers = usable_copies >= wanted && self.are_peers_fast(request.rate_gb_s);
        if free_store_slots > 0 && !prefer_peers {
            return Vec::new();
        }
        search.chosen
    }

    /// Whether peers deliver at no less than [`FAST_PEER_SHARE`] of the machine's
    /// download rate. An unknown rate of peers counts as fast.
    fn are_peers_fast(&self, rate_gb_s: f64) -> bool {
        let peer_gb_s = self.rates.peer_gb_s();
        peer_gb_s.is_none_or(|peer_gb_s| peer_gb_s >= FAST_PEER_SHARE * rate_gb_s)
    }
}

/// A search for sources that examines at most [`MAX_EXAMINED`] machines.
struct SourceSearch<M> {
    chosen: Vec<M>,
    unusable: Vec<M>,
    examined: usize,
}

impl<M: Ord + Clone> SourceSearch<M> {
    /// Prefers sources in the requesting machine's own zone. Reserves one source for
    /// another zone, so that an outage of one zone does not leave the fetch without
    /// sources.
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
        // If other zones have too few sources, a second pass selects more from the own
        // zone.
        for zone in &zones {
            search.search_zone(rollout, zone, request.machine, wanted, &is_usable);
        }
        search
    }

    /// Selects usable sources in a zone until `limit` sources are chosen in total.
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
