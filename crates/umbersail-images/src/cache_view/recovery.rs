//! Creates records for the next leader and restores the records of previous leaders.

use std::collections::BTreeMap;
use std::fmt::Debug;

use super::CacheView;
use crate::{ImageRecord, TransferRates};

impl<M: Ord + Clone + Debug, I: Ord + Clone + Debug> CacheView<M, I> {
    /// Returns the records of the images with an active rollout, by image name.
    ///
    /// Without peer-to-peer transfer, there are no records: heartbeats show a new leader
    /// everything that it needs.
    pub fn records(
        &self,
        image_name: impl Fn(&I) -> String,
        machine_name: impl Fn(&M) -> String,
    ) -> BTreeMap<String, ImageRecord> {
        if !self.settings.peer_to_peer {
            return BTreeMap::new();
        }
        let active = self.rollouts.iter().filter(|(_, r)| r.is_active());
        let mut records: BTreeMap<&I, ImageRecord> = active
            .map(|(image, rollout)| {
                let record = ImageRecord {
                    image: image_name(image),
                    size_gb: rollout.size_gb,
                    from_store: Vec::new(),
                    store_gb_s: self.rates.store_gb_s(),
                    peer_gb_s: self.rates.peer_gb_s(),
                };
                (image, record)
            })
            .collect();
        for (_, machine, image) in self.store_fetches.iter() {
            if let Some(record) = records.get_mut(image)
                && record.from_store.len() < ImageRecord::MAX_MACHINES
            {
                record.from_store.push(machine_name(machine));
            }
        }
        records
            .into_values()
            .map(|record| (record.image.clone(), record))
            .collect()
    }

    /// Restores a previous leader's record of an image.
    ///
    /// The fetches in the record are adopted when heartbeats show them; no fetch is
    /// restarted.
    pub fn restore(
        &mut self,
        now: f64,
        image: I,
        record: &ImageRecord,
        machine: impl Fn(&str) -> M,
    ) {
        if self.rates == TransferRates::default() {
            self.rates = TransferRates::restored(record.store_gb_s, record.peer_gb_s);
        }
        if !self.track(now, &image, record.size_gb) {
            return;
        }
        if let Some(rollout) = self.rollouts.get_mut(&image) {
            let machines = record.from_store.iter().map(|name| machine(name));
            rollout.restore_store_fetches(now, machines.collect());
        }
    }
}
