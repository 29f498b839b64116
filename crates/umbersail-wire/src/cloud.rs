use serde::{Deserialize, Serialize};

/// A type of machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    pub name: String,
    /// CPUs.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Memory in GB.
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    /// Size of the image cache in GB.
    #[serde(default)]
    pub cache_gb: f64,
    /// Download rate in GB/s.
    #[serde(rename = "pull_gb_per_s")]
    pub fetch_gb_per_s: f64,
    /// Price of an ordinary machine per hour.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Nominal price of a spot machine per hour, if there are any.
    #[serde(rename = "market_price", default)]
    pub spot_price: Option<f64>,
    /// Typical boot time in seconds.
    #[serde(rename = "startup_s")]
    pub boot_s: f64,
    /// Zones that offer it.
    #[serde(rename = "fields")]
    pub zones: Vec<String>,
}

/// The machine types that can be rented.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct Catalogue {
    /// The types.
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

/// A request for machines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RentRequest {
    /// Identifies the request: repeating it rents nothing more.
    #[serde(rename = "hire")]
    pub request: String,
    /// Name of the machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "field")]
    pub zone: String,
    /// Whether to rent spot machines.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Number of machines.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Names of machines: rented, or to be deleted.
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
    /// It boots.
    Booting,
    /// It runs.
    Running,
    /// It has stopped on its own.
    Failed,
}

/// A rented machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    pub id: String,
    /// Address of its worker, once known.
    #[serde(rename = "endpoint", default)]
    pub addr: Option<String>,
    /// Name of its type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "field")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "borrowed", default)]
    pub spot: Option<bool>,
    /// Its state.
    #[serde(rename = "stage")]
    pub state: MachineState,
    /// Seconds since it was requested.
    pub age_s: f64,
}

/// A page of rented machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines.
    #[serde(rename = "hobs")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are more.
    #[serde(default)]
    pub more: bool,
}
