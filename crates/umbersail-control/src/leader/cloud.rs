//! The leader's requests to the cloud provider: machine lists, rentals, deletions, and the
//! catalogue of machine types.

use std::rc::Rc;

use serde::de::IgnoredAny;
use tracing::{debug, info};
use umbersail_runtime::sleep;
use umbersail_wire::MachineType;

use crate::cloud::RentOutcome;
use crate::engine::{CloudAction, TxnOutcome};
use crate::node::Node;
use crate::records::{CATALOGUE_KEY, catalogue_txn};
use crate::state::RequestPriority;

impl Node {
    /// Periodically lists machines, rents and deletes machines, and updates the catalogue.
    pub(super) async fn run_cloud(self: Rc<Self>, token: u64) {
        let mut listed_at = f64::MIN;
        let mut catalogue_at = f64::MIN;
        let mut catalogue_recorded = false;
        loop {
            let now = self.clock.now();
            if now - catalogue_at >= self.tuning.catalogue_interval_s {
                catalogue_at = now;
                if let Some(types) = self.cloud.catalogue().await
                    && !types.is_empty()
                {
                    *self.machine_types.borrow_mut() = types.clone();
                    if !catalogue_recorded {
                        catalogue_recorded = self.record_catalogue(token, types.clone()).await;
                    }
                    self.with_engine(token, |e| e.set_machine_types(types));
                }
            }
            if now - listed_at >= self.tuning.list_interval_s {
                if let Some(list) = self.cloud.list().await {
                    let now = self.clock.now();
                    if listed_at == f64::MIN {
                        info!(machines = list.len(), "first machine list received");
                    }
                    listed_at = now;
                    self.with_engine(token, |e| e.apply_machine_list(now, &list));
                    self.scheduler_wakeup.notify();
                } else {
                    debug!("cloud returned no machine list");
                }
            }
            // Before the first list arrives the existing machines are unknown, so nothing is
            // rented or deleted.
            let now = self.clock.now();
            let actions = if listed_at == f64::MIN {
                Some(Vec::new())
            } else {
                self.with_engine(token, |e| e.cloud_actions(now))
            };
            let Some(actions) = actions else {
                return;
            };
            for action in actions {
                self.execute(token, action).await;
            }
            sleep(self.tuning.rent_interval_s).await;
        }
    }

    /// Records the machine types in the state service. Returns whether the write succeeded.
    async fn record_catalogue(&self, token: u64, types: Vec<MachineType>) -> bool {
        let read = self
            .kv
            .get::<IgnoredAny>(CATALOGUE_KEY, RequestPriority::Background)
            .await;
        let Ok(found) = read else {
            return false;
        };
        let txn = catalogue_txn(token, found.map_or(0, |(_, version)| version), types);
        matches!(
            self.kv.txn(&txn, RequestPriority::Background).await,
            TxnOutcome::Applied { .. }
        )
    }

    /// Executes one action of the engine, and passes the outcome to the engine.
    async fn execute(&self, token: u64, action: CloudAction) {
        match action {
            CloudAction::Delete(names) => {
                let is_deleted = self.cloud.delete(&names).await;
                self.with_engine(token, |e| {
                    if is_deleted {
                        e.machines_deleted(&names);
                    } else {
                        e.delete_unanswered(&names);
                    }
                });
                self.scheduler_wakeup.notify();
            }
            CloudAction::Rent(request) => {
                let rented = self.cloud.rent(&request).await;
                let now = self.clock.now();
                self.with_engine(token, |e| match rented {
                    RentOutcome::Machines(names) => e.machines_rented(now, &request, &names),
                    RentOutcome::NoCapacity => e.rental_refused(now, &request),
                    RentOutcome::Unknown => e.rental_unanswered(request),
                });
            }
        }
    }
}
