//! The stored record of a reservation. Field and variant names that differ from the stored
//! format keep their stored names through `serde` attributes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use umbersail_wire::Priority;

use crate::Window;

/// Version of the format of [`ReservationRecord`] that this build reads and writes.
pub const VERSION: u32 = 1;

/// The capacity that an entry asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Demand {
    /// The number of machines of each machine type.
    Machines(BTreeMap<String, u32>),
    /// Amounts of resources, on the machine type that provides them at the lowest price.
    #[serde(rename = "amounts")]
    Resources {
        /// Number of CPUs.
        cpus: f64,
        /// Memory in gigabytes.
        memory_gb: f64,
    },
}

/// Which work outside a reservation may use its machines while they are idle.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BorrowPolicy {
    /// Whether work of a lower priority may borrow machines if that work can save a checkpoint
    /// within [`Terms::max_checkpoint_s`] and can therefore be preempted.
    #[serde(default, rename = "savable")]
    pub checkpointable: bool,
    /// Classes that may borrow machines regardless of priority and checkpoints. Their tasks
    /// are not preempted: an operator who lists a class accepts that the reservation's own
    /// work waits for the end of its tasks.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<String>,
}

impl BorrowPolicy {
    /// Whether the entry allows no borrowing at all.
    pub fn is_forbidden(&self) -> bool {
        !self.checkpointable && self.classes.is_empty()
    }
}

/// The fields of an entry except its time window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// Team whose work the machines are reserved for.
    pub team: String,
    /// Classes whose work the machines are reserved for; if empty, all classes of the team.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<String>,
    /// The capacity to reserve.
    #[serde(rename = "want")]
    pub demand: Demand,
    /// Zone of the machines; if absent, any zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether spot instances may be used.
    pub spot: bool,
    /// Which other work may use the machines while they are idle.
    pub borrow: BorrowPolicy,
    /// Lowest priority of the team's work that the machines are reserved for.
    pub priority: Priority,
    /// Maximum time in seconds that a preemptible borrower may need to save a checkpoint.
    #[serde(rename = "give_back_s")]
    pub max_checkpoint_s: f64,
}

impl Terms {
    /// Whether the machines are reserved for work of this team, class and priority.
    pub fn covers(&self, team: &str, class: &str, tier: Priority) -> bool {
        self.team == team
            && tier >= self.priority
            && (self.classes.is_empty() || self.classes.iter().any(|c| c == class))
    }
}

/// Promised machines of one machine type.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromisedMachines {
    /// Name of the machine type.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// Number of machines.
    pub count: u32,
    /// Whether the entry asked for this machine type. If true, only a machine that is at least
    /// as large can substitute for one of these machines. If false, the entry asked for amounts of
    /// resources, and machines of other types count in proportion to their resources.
    pub exact: bool,
}

/// How much of an entry's demand was promised.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// The whole demand.
    #[serde(rename = "promised")]
    Full,
    /// A part of the demand; states why not the whole.
    #[serde(rename = "part")]
    Partial(String),
    /// Nothing; states why.
    #[serde(rename = "refused")]
    Rejected(String),
}

/// Machines of one rental request, or machines of one kind that were reserved when they were
/// already rented.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Name of the rental request; absent if the machines were already rented.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Name of the machine type.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// Zone of the machines.
    pub zone: String,
    /// Whether the machines are spot instances.
    pub spot: bool,
    /// Number of requested machines.
    pub count: u32,
    /// Names of the machines that are still reserved out of those that the cloud provided;
    /// absent until the cloud has answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub machines: Option<Vec<String>>,
}

/// State of one window of one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReservationRecord {
    /// Terms of the entry when it was last applied.
    pub terms: Terms,
    /// The time window.
    pub window: Window,
    /// Time of admission, as Unix time in milliseconds. The entry that was admitted earlier
    /// takes precedence.
    pub admitted_ms: u64,
    /// How much of the demand was promised.
    #[serde(rename = "verdict")]
    pub admission: Admission,
    /// The promised machines by machine type.
    pub items: Vec<PromisedMachines>,
    /// Rental requests and reserved machines.
    pub batches: Vec<Batch>,
    /// Why fewer machines are reserved or requested than were promised; absent if nothing is
    /// missing or renting is not due yet.
    #[serde(default, rename = "short", skip_serializing_if = "Option::is_none")]
    pub shortfall: Option<String>,
    /// How many times the lead time before the window is doubled, because the cloud refused
    /// requests for earlier windows.
    #[serde(default, rename = "earlier")]
    pub lead_doublings: u32,
    /// Whether a leader has noted the start of the window.
    #[serde(default)]
    pub opened: bool,
}

impl ReservationRecord {
    /// Names of all reserved machines.
    pub fn machines(&self) -> impl Iterator<Item = &str> {
        let named = self
            .batches
            .iter()
            .flat_map(|b| b.machines.iter().flatten());
        named.map(String::as_str)
    }

    /// Rental requests for which no answer of the cloud is recorded.
    pub fn pending_requests(&self) -> impl Iterator<Item = &Batch> {
        self.batches.iter().filter(|b| b.machines.is_none())
    }

    /// Records the names of the machines that the cloud provided for a request. A second
    /// answer to the same request is ignored.
    pub fn record_answer(&mut self, request: &str, names: &[String]) {
        if let Some(batch) = self.batch(request)
            && batch.machines.is_none()
        {
            batch.machines = Some(names.to_vec());
        }
    }

    /// Removes a request that the cloud refused. The name of the request is not used again.
    pub fn record_refusal(&mut self, request: &str) {
        self.batches
            .retain(|b| b.machines.is_some() || b.request.as_deref() != Some(request));
    }

    fn batch(&mut self, request: &str) -> Option<&mut Batch> {
        self.batches
            .iter_mut()
            .find(|b| b.request.as_deref() == Some(request))
    }

    /// Removes the machines that match, and answered batches without machines.
    pub(crate) fn release_machines(&mut self, is_released: impl Fn(&str) -> bool) {
        for batch in &mut self.batches {
            if let Some(machines) = &mut batch.machines {
                machines.retain(|m| !is_released(m));
            }
        }
        self.batches
            .retain(|b| b.machines.as_ref().is_none_or(|m| !m.is_empty()));
    }

    /// Sort key by precedence: the entry that was admitted first, then the entry's name.
    pub(crate) fn admission_order<'a>(&self, name: &'a str) -> (u64, &'a str) {
        (self.admitted_ms, name)
    }
}
