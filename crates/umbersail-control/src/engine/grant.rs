//! The grant's record: which machines we may have started tasks on.
//!
//! It stands in parts of a bounded number of machines, since a large fleet
//! outgrows the state service's bound on a value, and a new machine shall not
//! cost a write of the whole fleet. Every part is written on the condition of
//! the leader's key and of its own version, so a late write fails and what a
//! successor lists after its election is final.

use std::collections::BTreeSet;

use umbersail_wire::{Change, Condition, Txn};

use super::write::TXN_BYTES;
use super::{Engine, Machine, MachineId};
use crate::records::{GrantPart, GrantedMachine, Record, grant_part_key};

/// One part as it should be and as the state service holds it.
#[derive(Debug, Default)]
pub(super) struct GrantPartState {
    /// 0: it does not exist; absent: unknown, to be read before it is written.
    version: Option<u64>,
    /// Machines that belong here and are not proven gone.
    machines: BTreeSet<MachineId>,
    recorded: BTreeSet<MachineId>,
    /// Has members that are not recorded, or a write of it had no answer. Kept
    /// rather than compared: it is asked for with every report.
    write_due: bool,
}

/// A part found by a new leader.
pub struct InheritedPart {
    /// Number of the part, from 0 on.
    pub index: u32,
    /// Version of its key.
    pub version: u64,
    /// The part.
    pub part: GrantPart,
}

/// A part on its way to the state service.
#[derive(Debug, Clone)]
pub(super) struct WrittenPart {
    index: usize,
    machines: BTreeSet<MachineId>,
}

/// What one machine takes in a part, names and frame included, as the state
/// service counts it.
const MACHINE_BYTES: usize = 120;

impl WrittenPart {
    pub fn bytes(&self) -> usize {
        self.machines.len() * MACHINE_BYTES
    }
}

impl Engine {
    pub(super) fn inherit_part(&mut self, now: f64, found: InheritedPart) {
        let index = found.index as usize;
        if self.grant_parts.len() <= index {
            self.grant_parts.resize_with(index + 1, || GrantPartState {
                version: Some(0),
                ..GrantPartState::default()
            });
        }
        for granted in &found.part.machines {
            let name: MachineId = granted.name.as_str().into();
            let mut machine = Machine::new(
                name.clone(),
                self.type_index(&granted.machine_type),
                granted.zone.clone(),
                granted.spot,
                now,
            );
            machine.addr = granted.addr.parse().ok();
            machine.inherited = true;
            machine.grant_recorded = true;
            machine.grant_part = Some(index);
            let part = &mut self.grant_parts[index];
            part.machines.insert(name.clone());
            part.recorded.insert(name.clone());
            self.machines.insert(name, machine);
        }
        self.grant_parts[index].version = Some(found.version);
    }

    /// The machine is to be recorded before anything starts on it.
    pub(super) fn assign_part(&mut self, name: &MachineId) {
        let most = self.cfg.tuning.machines_per_grant_record as usize;
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.grant_part.is_some() {
            return;
        }
        let index = match self
            .grant_parts
            .iter()
            .position(|p| p.machines.len() < most)
        {
            Some(index) => index,
            None => {
                self.grant_parts.push(GrantPartState {
                    version: Some(0),
                    ..GrantPartState::default()
                });
                self.grant_parts.len() - 1
            }
        };
        machine.grant_part = Some(index);
        self.grant_parts[index].machines.insert(name.clone());
        self.grant_parts[index].write_due = true;
    }

    /// The machine is proven gone; its part forgets it with its next write.
    pub(super) fn remove_from_part(&mut self, name: &MachineId, part: Option<usize>) {
        if let Some(part) = part {
            self.grant_parts[part].machines.remove(name);
        }
    }

    /// Adds the parts that are due: those with machines not yet recorded, and
    /// with `lazy` those that name machines long gone, which a successor would
    /// have to account for.
    pub(super) fn write_due_parts(&self, txn: &mut Txn<Record>, lazy: bool) -> Vec<WrittenPart> {
        let mut written = Vec::new();
        let mut bytes = 0;
        for (index, part) in self.grant_parts.iter().enumerate() {
            let Some(version) = part.version else {
                continue;
            };
            if txn.changes.len() + 1 > self.cfg.max_txn_changes {
                break;
            }
            if !part.write_due && (!lazy || part.machines.len() == part.recorded.len()) {
                continue;
            }
            let size = part.machines.len() * MACHINE_BYTES;
            if bytes + size > TXN_BYTES && !written.is_empty() {
                break;
            }
            bytes += size;
            let key = grant_part_key(index as u32);
            txn.conditions.push(Condition {
                key: key.clone(),
                version,
            });
            txn.changes.push(Change::Put {
                key,
                value: Record::GrantPart(self.part_record(part)),
                lease: None,
            });
            written.push(WrittenPart {
                index,
                machines: part.machines.clone(),
            });
        }
        written
    }

    fn part_record(&self, part: &GrantPartState) -> GrantPart {
        GrantPart {
            machines: part
                .machines
                .iter()
                .filter_map(|name| self.machines.get(name))
                .map(|m| GrantedMachine {
                    name: m.name.to_string(),
                    machine_type: m
                        .type_index
                        .map(|i| self.machine_types[i].name.clone())
                        .unwrap_or_default(),
                    zone: m.zone.clone(),
                    spot: m.spot,
                    addr: m.addr.map(|a| a.to_string()).unwrap_or_default(),
                })
                .collect(),
        }
    }

    pub(super) fn parts_applied(&mut self, written: Vec<WrittenPart>, revision: u64) {
        for WrittenPart {
            index,
            machines: members,
        } in written
        {
            for name in &members {
                if let Some(machine) = self.machines.get_mut(name) {
                    machine.grant_recorded = true;
                }
            }
            let part = &mut self.grant_parts[index];
            part.version = Some(revision);
            part.recorded = members;
            part.write_due = !part.machines.is_subset(&part.recorded);
        }
    }

    /// A write of these parts may have been applied or may yet be: what stood
    /// before is named either way, the rest must be written again.
    pub(super) fn parts_outcome_unknown(&mut self, written: &[WrittenPart]) {
        for WrittenPart { index, .. } in written {
            self.grant_parts[*index].version = None;
            self.grant_parts[*index].write_due = true;
        }
    }

    /// A part did not have the version that we thought: it is read again.
    pub(super) fn part_version_conflict(&mut self, index: &str) {
        if let Some(part) = index
            .parse()
            .ok()
            .and_then(|i: usize| self.grant_parts.get_mut(i))
        {
            part.version = None;
        }
    }

    pub(super) fn unread_parts(&self) -> Vec<u32> {
        (0u32..)
            .zip(&self.grant_parts)
            .filter(|(_, part)| part.version.is_none())
            .map(|(index, _)| index)
            .collect()
    }

    /// A fresh read of a part (0: it does not exist).
    pub fn part_read(&mut self, index: u32, version: u64) {
        if let Some(part) = self.grant_parts.get_mut(index as usize) {
            part.version = Some(version);
        }
    }
}
