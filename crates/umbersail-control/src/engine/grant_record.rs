//! The grant record: the machines on which this leader may have started tasks.
//!
//! The record is split into parts with a bounded number of machines: a large fleet exceeds the
//! state service's size limit for a value, and adding a machine must not require a write of the
//! whole fleet. Every part is written under conditions on the versions of the leader's key and
//! of the part's own key. A delayed write of a former leader therefore fails, and the parts
//! that a successor lists after its election are final.

use std::collections::BTreeSet;

use umbersail_wire::{Change, Condition, Txn};

use super::write::TXN_BYTES;
use super::{Engine, Machine, MachineId};
use crate::records::{GrantPart, GrantedMachine, Record, grant_part_key};

/// One part of the grant record: its desired content and what the state service holds.
#[derive(Debug, Default)]
pub(super) struct GrantPartState {
    /// Version of the part's key: 0 if the key does not exist, `None` if the version must be
    /// read before the next write.
    version: Option<u64>,
    /// Machines that belong to the part and are not known to be deleted.
    machines: BTreeSet<MachineId>,
    /// Machines in the part as last written.
    recorded: BTreeSet<MachineId>,
    /// A machine of the part is not recorded, or a write of the part got no answer. Stored
    /// rather than computed, because it is checked with every heartbeat.
    write_due: bool,
}

/// A part of the grant record that a new leader found.
pub struct InheritedPart {
    /// Number of the part, starting at 0.
    pub index: u32,
    /// Version of its key.
    pub version: u64,
    /// Content of the part.
    pub part: GrantPart,
}

/// A part in a transaction that is in flight.
#[derive(Debug, Clone)]
pub(super) struct WrittenPart {
    index: usize,
    machines: BTreeSet<MachineId>,
}

/// Assumed size of one machine in a part, in bytes as the state service counts them,
/// including names and framing.
const MACHINE_BYTES: usize = 120;

impl WrittenPart {
    pub fn bytes(&self) -> usize {
        self.machines.len() * MACHINE_BYTES
    }
}

impl Engine {
    /// Takes over a part of the grant record with its machines.
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

    /// Assigns the machine to a part of the grant record, which is written before any task
    /// starts on the machine.
    pub(super) fn assign_part(&mut self, name: &MachineId) {
        let max_machines = self.cfg.tuning.machines_per_grant_record as usize;
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.grant_part.is_some() {
            return;
        }
        let index = match self
            .grant_parts
            .iter()
            .position(|p| p.machines.len() < max_machines)
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

    /// Removes a machine that is known to be deleted; the next write of its part omits it.
    pub(super) fn remove_from_part(&mut self, name: &MachineId, part: Option<usize>) {
        if let Some(part) = part {
            self.grant_parts[part].machines.remove(name);
        }
    }

    /// Adds the parts that are due to the transaction: parts with machines not yet recorded and,
    /// if `include_removals`, also parts that still record deleted machines, for which a
    /// successor would have to find out what runs there.
    pub(super) fn write_due_parts(
        &self,
        txn: &mut Txn<Record>,
        include_removals: bool,
    ) -> Vec<WrittenPart> {
        let mut written = Vec::new();
        let mut bytes = 0;
        for (index, part) in self.grant_parts.iter().enumerate() {
            let Some(version) = part.version else {
                continue;
            };
            if txn.changes.len() + 1 > self.cfg.max_txn_changes {
                break;
            }
            if !part.write_due && (!include_removals || part.machines.len() == part.recorded.len())
            {
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

    /// The transaction that wrote these parts was applied.
    pub(super) fn parts_applied(&mut self, written: Vec<WrittenPart>, revision: u64) {
        for WrittenPart { index, machines } in written {
            for name in &machines {
                if let Some(machine) = self.machines.get_mut(name) {
                    machine.grant_recorded = true;
                }
            }
            let part = &mut self.grant_parts[index];
            part.version = Some(revision);
            part.recorded = machines;
            part.write_due = !part.machines.is_subset(&part.recorded);
        }
    }

    /// A write of these parts may have been applied or may still be applied. Machines recorded
    /// before remain recorded in either case; all others must be written again.
    pub(super) fn parts_outcome_unknown(&mut self, written: &[WrittenPart]) {
        for WrittenPart { index, .. } in written {
            self.grant_parts[*index].version = None;
            self.grant_parts[*index].write_due = true;
        }
    }

    /// A part did not have the expected version: it is read again before the next write.
    pub(super) fn part_version_conflict(&mut self, index: &str) {
        if let Some(part) = index
            .parse()
            .ok()
            .and_then(|i: usize| self.grant_parts.get_mut(i))
        {
            part.version = None;
        }
    }

    /// Numbers of the parts whose versions must be read.
    pub(super) fn unread_parts(&self) -> Vec<u32> {
        (0u32..)
            .zip(&self.grant_parts)
            .filter(|(_, part)| part.version.is_none())
            .map(|(index, _)| index)
            .collect()
    }

    /// Applies the version of a part that was read; 0 if the part does not exist.
    pub fn part_read(&mut self, index: u32, version: u64) {
        if let Some(part) = self.grant_parts.get_mut(index as usize) {
            part.version = Some(version);
        }
    }
}
