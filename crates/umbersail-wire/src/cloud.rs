use serde::{Deserialize, Serialize};

/// A machine type that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    pub name: String,
    /// CPUs of a machine.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs of a machine.
    #[serde(default)]
    pub gpus: f64,
    /// Memory of a machine in GB.
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    /// Size of the image cache in GB.
    #[serde(default)]
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in GB/s.
    #[serde(rename = "pull_gb_per_s")]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine per hour.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Nominal price of a spot machine per hour; absent if the type has no spot machines.
    #[serde(rename = "market_price", default)]
    pub spot_price: Option<f64>,
    /// Typical boot time in seconds.
    #[serde(rename = "startup_s")]
    pub boot_s: f64,
    /// Zones that offer the type.
    #[serde(rename = "fields")]
    pub zones: Vec<String>,
}

/// The machine types that can be rented.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct Catalogue {
    /// The machine types.
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

/// A request for machines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RentRequest {
    /// Identifies the request: repeating the same name rents no further machines.
    #[serde(rename = "hire")]
    pub request: String,
    /// Name of the machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone of the machines.
    #[serde(rename = "field")]
    pub zone: String,
    /// Whether to rent spot machines.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Number of machines.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Names of machines: those that a request rented, or those that are to be deleted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "hobs")]
    pub machines: Vec<String>,
}

/// State of a rented machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// The machine is booting.
    Booting,
    /// The machine is running.
    Running,
    /// The machine has stopped without being deleted.
    Failed,
}

/// A rented machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    pub id: String,
    /// Address of the machine's worker; absent until the cloud knows the address.
    #[serde(rename = "endpoint", default)]
    pub addr: Option<String>,
    /// Name of the machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "field")]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "borrowed", default)]
    pub spot: Option<bool>,
    /// State of the machine.
    #[serde(rename = "stage")]
    pub state: MachineState,
    /// Seconds since the machine was requested.
    pub age_s: f64,
}

/// A page of rented machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines.
    #[serde(rename = "hobs")]
    pub machines: Vec<ListedMachine>,
    /// Whether further machines follow on the next page.
    #[serde(default)]
    pub more: bool,
}
