//! Records which machines the fleet grant names, from the writes to the key-value store.

use std::cell::RefCell;
use std::collections::BTreeSet;

use umbersail_wire::{Change, Txn, Value};

use crate::history::{EventKind, History};

/// Key prefix of the records that make up the fleet grant, as the controllers write them.
const GRANT_PARTS: &str = "grants/fleet/";

/// Adds a machine to the history when a grant record names it for the first time.
#[derive(Default)]
pub struct GrantWatch {
    named: RefCell<BTreeSet<String>>,
}

impl GrantWatch {
    /// Examines a transaction that the key-value store applied.
    pub fn applied(&self, history: &History, txn: &Txn<Value>) {
        for change in &txn.changes {
            let Change::Put { key, value, .. } = change else {
                continue;
            };
            if !key.starts_with(GRANT_PARTS) {
                continue;
            }
            for machine in machines(value) {
                if self.named.borrow_mut().insert(machine.clone()) {
                    history.add(EventKind::Granted { machine });
                }
            }
        }
    }
}

/// Returns the names of the machines in a grant record.
fn machines(part: &Value) -> Vec<String> {
    let machines = field(part, "machines").and_then(Value::as_array);
    let names = machines.into_iter().flatten();
    let names = names.filter_map(|machine| field(machine, "name")?.as_str());
    names.map(str::to_owned).collect()
}

fn field<'a>(value: &'a Value, name: &str) -> Option<&'a Value> {
    let fields = value.as_map()?;
    let found = fields.iter().find(|(key, _)| key.as_str() == Some(name));
    found.map(|(_, value)| value)
}
