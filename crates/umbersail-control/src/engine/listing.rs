//! What the cloud says of machines: lists, rentals, deletions.

use tracing::{debug, info};
use umbersail_wire::{ListedMachine, MachineState, RentRequest};

use super::{Engine, Machine, MachineId, RentalBackoff, Time};

impl Engine {
    pub(super) fn is_rental_backed_off(
        &self,
        now: Time,
        type_index: usize,
        zone: &str,
        spot: bool,
    ) -> bool {
        self.rental_backoffs
            .get(&(type_index, zone.to_owned(), spot))
            .is_some_and(|r| now < r.until)
    }

    /// A whole list of the cloud, which may be older than what we know.
    pub fn apply_machine_list(&mut self, now: Time, listed: &[ListedMachine]) {
        let mut present: Vec<MachineId> = Vec::with_capacity(listed.len());
        for entry in listed {
            // A list may be twice the lag old and show what we have deleted.
            if self.deleted_machines.contains(entry.id.as_str()) {
                continue;
            }
            let name: MachineId = match self.machines.get_key_value(entry.id.as_str()) {
                Some((name, _)) => name.clone(),
                None => {
                    let name: MachineId = entry.id.as_str().into();
                    debug!(machine = &*name, machine_type = entry.machine_type, state = ?entry.state, "listed");
                    self.machines.insert(
                        name.clone(),
                        Machine::new(
                            name.clone(),
                            self.type_index(&entry.machine_type),
                            entry.zone.clone(),
                            entry.spot.unwrap_or(false),
                            now - entry.age_s.max(0.0),
                        ),
                    );
                    name
                }
            };
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.listed = true;
                machine.confirmed = true;
                machine.lists_missed = 0;
                if machine.addr.is_none() {
                    machine.addr = entry.addr.as_ref().and_then(|a| a.parse().ok());
                }
                if entry.state == MachineState::Failed && machine.delete_reason.is_none() {
                    machine.delete_reason = Some("failed, says the cloud");
                }
            }
            if entry.state == MachineState::Failed {
                // It has stopped on its own with all that was on it (rule 3).
                self.clear_machine(&name);
            }
            present.push(name);
        }
        present.sort();
        let newest = present.last().cloned();
        let silent_after = self.silence_limit_s();
        let vanished_s = silent_after.max(self.cfg.lease_s / 2.0);
        for (name, machine) in &mut self.machines {
            if present.binary_search(name).is_ok() || machine.silent_for(now) < silent_after {
                continue;
            }
            // Not listed and silent: gone, or too new for this list. A delete
            // that is answered makes it certain either way.
            machine.lists_missed += 1;
            // Names stand in the order of creation: a list that shows a newer
            // machine is no older than this one, which is gone. The delete
            // makes it certain, and its tasks need not wait for its lease.
            let shown_after = newest.as_ref().is_some_and(|newest| name < newest);
            if shown_after
                && machine
                    .last_heartbeat
                    .is_none_or(|at| now - at > vanished_s)
            {
                machine
                    .delete_reason
                    .get_or_insert("not listed where newer ones are");
            }
            let old = now - machine.created_at > 5.0 * self.cfg.cloud_list_lag_s.max(1.0);
            if machine.lists_missed >= 3 && old && machine.delete_reason.is_none() {
                machine.delete_reason = Some("no longer listed");
            }
        }
    }

    /// The cloud rented these for us.
    pub fn machines_rented(&mut self, now: Time, request: &RentRequest, names: &[String]) {
        self.note_boots_started(now, names);
        let index = self.type_index(&request.machine_type);
        for name in names {
            let name: MachineId = name.as_str().into();
            let machine = self.machines.entry(name.clone()).or_insert_with(|| {
                Machine::new(name, index, request.zone.clone(), request.spot, now)
            });
            machine.confirmed = true;
        }
        if let Some(index) = index {
            let key = (index, request.zone.clone(), request.spot);
            if (names.len() as u32) < request.count {
                self.back_off_rental(now, key);
            } else {
                self.rental_backoffs.remove(&key);
            }
        }
        self.reservation_request_answered(now, &request.request, Some(names));
    }

    /// No answer: it may have been granted, now or later.
    pub fn rental_unanswered(&mut self, request: RentRequest) {
        if !self.is_reservation_request(&request.request) {
            self.unanswered_rentals.push_back(request);
        }
    }

    /// The cloud has none of these now.
    pub fn rental_refused(&mut self, now: Time, request: &RentRequest) {
        self.reservation_request_answered(now, &request.request, None);
        if let Some(index) = self.type_index(&request.machine_type) {
            self.back_off_rental(now, (index, request.zone.clone(), request.spot));
        }
    }

    pub(super) fn back_off_rental(&mut self, now: Time, key: (usize, String, bool)) {
        let tuning = &self.cfg.tuning;
        let pause = self
            .rental_backoffs
            .get(&key)
            .map_or(tuning.refusal_backoff_s, |r| {
                (r.backoff_s * 2.0).min(tuning.refusal_backoff_max_s)
            });
        info!(
            machine_type = self.machine_types[key.0].name,
            zone = key.1,
            spot = key.2,
            pause_s = pause,
            "rental refused or only partly filled"
        );
        self.rental_backoffs.insert(
            key,
            RentalBackoff {
                until: now + pause,
                backoff_s: pause,
            },
        );
    }

    /// The delete was answered: the machines are gone with all on them.
    pub fn machines_deleted(&mut self, names: &[String]) {
        let most = self.cfg.tuning.max_deleted_machine_names as usize;
        for name in names {
            let name: MachineId = name.as_str().into();
            self.clear_machine(&name);
            self.plans.images.remove_machine(&name);
            if let Some(machine) = self.machines.remove(&name) {
                self.remove_from_part(&name, machine.grant_part);
            }
            if self.deleted_machines.insert(name.clone()) {
                self.deletion_order.push_back(name);
            }
        }
        while self.deletion_order.len() > most
            && let Some(name) = self.deletion_order.pop_front()
        {
            self.deleted_machines.remove(&name);
        }
    }

    /// A delete had no answer: it is sent again.
    pub fn delete_unanswered(&mut self, names: &[String]) {
        for name in names {
            if let Some(machine) = self.machines.get_mut(name.as_str()) {
                machine.delete_requested = false;
            }
        }
    }
}
