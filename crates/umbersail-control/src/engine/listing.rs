//! Answers of the cloud: lists of machines, rentals and deletions.

use tracing::{debug, info};
use umbersail_wire::{ListedMachine, MachineState, RentRequest};

use super::{Engine, Machine, MachineId, RentalBackoff, Time};

impl Engine {
    /// Whether rentals of this type in this zone, as spot or ordinary machines, are paused after
    /// a refusal.
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

    /// Applies a complete list of the cloud's machines, which may be older than what is known.
    pub fn apply_machine_list(&mut self, now: Time, listed: &[ListedMachine]) {
        let mut present: Vec<MachineId> = Vec::with_capacity(listed.len());
        for entry in listed {
            // A list may be twice the documented lag old and still contain deleted machines.
            if self.deleted_machines.contains(entry.id.as_str()) {
                continue;
            }
            let name: MachineId = match self.machines.get_key_value(entry.id.as_str()) {
                Some((name, _)) => name.clone(),
                None => {
                    let name: MachineId = entry.id.as_str().into();
                    debug!(
                        machine = &*name,
                        machine_type = entry.machine_type,
                        state = ?entry.state,
                        "new machine in the cloud's list"
                    );
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
                    machine.delete_reason = Some("the cloud reports that the machine has failed");
                }
            }
            if entry.state == MachineState::Failed {
                // The machine has stopped, and with it all tasks on it (rule 3 of
                // `docs/design.md`).
                self.requeue_machine_tasks(&name);
            }
            present.push(name);
        }
        present.sort();
        let newest = present.last().cloned();
        let silence_limit_s = self.silence_limit_s();
        let vanished_s = silence_limit_s.max(self.cfg.lease_s / 2.0);
        for (name, machine) in &mut self.machines {
            if present.binary_search(name).is_ok() || machine.silent_for(now) < silence_limit_s {
                continue;
            }
            // Not listed and silent: the machine is gone or too new for this list. A confirmed
            // delete makes certain that it is gone.
            machine.lists_missed += 1;
            // Names sort in the order of creation: a list with a newer machine is recent enough
            // to contain this one, so this one is gone. The delete confirms that, and the
            // machine's tasks then need not wait for the lease to expire.
            let newer_listed = newest.as_ref().is_some_and(|newest| name < newest);
            if newer_listed
                && machine
                    .last_heartbeat
                    .is_none_or(|at| now - at > vanished_s)
            {
                machine
                    .delete_reason
                    .get_or_insert("not in a list that contains newer machines");
            }
            let old = now - machine.created_at > 5.0 * self.cfg.cloud_list_lag_s.max(1.0);
            if machine.lists_missed >= 3 && old && machine.delete_reason.is_none() {
                machine.delete_reason = Some("missing from the cloud's list");
            }
        }
    }

    /// The cloud has granted a rental, in full or in part: these machines now exist.
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

    /// A rental got no answer: it may have been granted, or may still be granted. The same
    /// request is sent again.
    pub fn rental_unanswered(&mut self, request: RentRequest) {
        if !self.is_reservation_request(&request.request) {
            self.unanswered_rentals.push_back(request);
        }
    }

    /// The cloud refused the rental: it has no such machines now, or has a fault. Nothing was
    /// rented.
    pub fn rental_refused(&mut self, now: Time, request: &RentRequest) {
        self.reservation_request_answered(now, &request.request, None);
        if let Some(index) = self.type_index(&request.machine_type) {
            self.back_off_rental(now, (index, request.zone.clone(), request.spot));
        }
    }

    /// Pauses rentals of this type in this zone, as spot or ordinary machines; each refusal in a
    /// row doubles the pause.
    pub(super) fn back_off_rental(&mut self, now: Time, key: (usize, String, bool)) {
        let tuning = &self.cfg.tuning;
        let backoff_s = self
            .rental_backoffs
            .get(&key)
            .map_or(tuning.refusal_backoff_s, |r| {
                (r.backoff_s * 2.0).min(tuning.refusal_backoff_max_s)
            });
        info!(
            machine_type = self.machine_types[key.0].name,
            zone = key.1,
            spot = key.2,
            backoff_s,
            "rental refused or only partly filled"
        );
        self.rental_backoffs.insert(
            key,
            RentalBackoff {
                until: now + backoff_s,
                backoff_s,
            },
        );
    }

    /// The cloud has confirmed the deletion: the machines and all tasks on them are gone.
    pub fn machines_deleted(&mut self, names: &[String]) {
        let max_names = self.cfg.tuning.max_deleted_machine_names as usize;
        for name in names {
            let name: MachineId = name.as_str().into();
            self.requeue_machine_tasks(&name);
            self.plans.images.remove_machine(&name);
            if let Some(machine) = self.machines.remove(&name) {
                self.remove_from_part(&name, machine.grant_part);
            }
            if self.deleted_machines.insert(name.clone()) {
                self.deletion_order.push_back(name);
            }
        }
        while self.deletion_order.len() > max_names
            && let Some(name) = self.deletion_order.pop_front()
        {
            self.deleted_machines.remove(&name);
        }
    }

    /// A delete got no answer: it is sent again.
    pub fn delete_unanswered(&mut self, names: &[String]) {
        for name in names {
            if let Some(machine) = self.machines.get_mut(name.as_str()) {
                machine.delete_requested = false;
            }
        }
    }
}
