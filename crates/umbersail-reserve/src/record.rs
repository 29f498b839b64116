//! What stands recorded of a reservation.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use umbersail_wire::Priority;

use crate::Window;

/// Version of [`ReservationRecord`] as this build writes and reads it.
pub const VERSION: u32 = 1;

/// What an entry asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Demand {
    /// So many machines of each type.
    Machines(BTreeMap<String, u32>),
    /// Amounts, on whatever types take them at the least price.
    #[serde(rename = "amounts")]
    Resources { cpus: f64, memory_gb: f64 },
}

/// What others may have of a reservation while it is not used.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BorrowPolicy {
    /// Work of a lower tier that can be stopped and saved in time.
    #[serde(default, rename = "savable")]
    pub checkpointable: bool,
    /// Classes that may borrow whatever they are. They are not stopped: who names a class
    /// takes it that its tasks end first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<String>,
}

impl BorrowPolicy {
    pub fn is_forbidden(&self) -> bool {
        !self.checkpointable && self.classes.is_empty()
    }
}

/// An entry without its time: what, for whom, and on which terms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    pub team: String,
    /// None: all classes of the team.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<String>,
    #[serde(rename = "want")]
    pub demand: Demand,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    pub spot: bool,
    pub borrow: BorrowPolicy,
    /// Work of the team below this tier has no part in it.
    pub priority: Priority,
    /// Borrowers must be able to save within this many seconds.
    #[serde(rename = "give_back_s")]
    pub max_checkpoint_s: f64,
}

impl Terms {
    /// Whether work of this team, class and tier is what the machines are held for.
    pub fn covers(&self, team: &str, class: &str, tier: Priority) -> bool {
        self.team == team
            && tier >= self.priority
            && (self.classes.is_empty() || self.classes.iter().any(|c| c == class))
    }
}

/// Machines of one type that were promised.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromisedMachines {
    #[serde(rename = "type")]
    pub machine_type: String,
    pub count: u32,
    /// Asked for by type: one of another type stands for one of these if it is as
    /// large. Otherwise any types stand for it by their amounts.
    pub exact: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    #[serde(rename = "promised")]
    Full,
    #[serde(rename = "part")]
    Partial(String),
    #[serde(rename = "refused")]
    Rejected(String),
}

/// Machines of one rental request, or some that were there already.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Name of the request; none for machines that were there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    #[serde(rename = "type")]
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// Asked for.
    pub count: u32,
    /// Held of those that the cloud gave; absent while it has not answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub machines: Option<Vec<String>>,
}

/// One window of one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReservationRecord {
    pub terms: Terms,
    pub window: Window,
    /// Unix time in milliseconds. Who was admitted first comes first.
    pub admitted_ms: u64,
    #[serde(rename = "verdict")]
    pub admission: Admission,
    pub items: Vec<PromisedMachines>,
    pub batches: Vec<Batch>,
    /// Why less is there than was promised; absent while all is there or not yet due.
    #[serde(default, rename = "short", skip_serializing_if = "Option::is_none")]
    pub shortfall: Option<String>,
    /// Renting begins this many times twice as early as boots alone would ask for, since
    /// the cloud refused before.
    #[serde(default, rename = "earlier")]
    pub lead_doublings: u32,
    /// The window has opened while a leader saw it.
    #[serde(default)]
    pub opened: bool,
}

impl ReservationRecord {
    /// Names of all machines held.
    pub fn machines(&self) -> impl Iterator<Item = &str> {
        let named = self
            .batches
            .iter()
            .flat_map(|b| b.machines.iter().flatten());
        named.map(String::as_str)
    }

    /// Requests that the cloud has not answered, as far as is recorded.
    pub fn pending_requests(&self) -> impl Iterator<Item = &Batch> {
        self.batches.iter().filter(|b| b.machines.is_none())
    }

    /// The cloud gave these.
    pub fn record_answer(&mut self, request: &str, names: &[String]) {
        if let Some(batch) = self.batch(request)
            && batch.machines.is_none()
        {
            batch.machines = Some(names.to_vec());
        }
    }

    /// The cloud gave none: the request is over and its name is used up.
    pub fn record_refusal(&mut self, request: &str) {
        self.batches
            .retain(|b| b.machines.is_some() || b.request.as_deref() != Some(request));
    }

    fn batch(&mut self, request: &str) -> Option<&mut Batch> {
        self.batches
            .iter_mut()
            .find(|b| b.request.as_deref() == Some(request))
    }

    /// Takes machines out, and batches that hold none any more.
    pub(crate) fn release_machines(&mut self, gone: impl Fn(&str) -> bool) {
        for batch in &mut self.batches {
            if let Some(machines) = &mut batch.machines {
                machines.retain(|m| !gone(m));
            }
        }
        self.batches
            .retain(|b| b.machines.as_ref().is_none_or(|m| !m.is_empty()));
    }

    /// Who comes first where two want the same.
    pub(crate) fn admission_order<'a>(&self, name: &'a str) -> (u64, &'a str) {
        (self.admitted_ms, name)
    }
}
