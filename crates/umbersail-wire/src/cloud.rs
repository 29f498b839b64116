use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    pub name: String,
    #[serde(rename = "cores")]
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    #[serde(default)]
    pub cache_gb: f64,
    #[serde(rename = "pull_gb_per_s")]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "rate")]
    pub price: f64,
    #[serde(rename = "market_price", default)]
    pub spot_price: Option<f64>,
    #[serde(rename = "startup_s")]
    pub boot_s: f64,
    #[serde(rename = "fields")]
    pub zones: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct Catalogue {
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RentRequest {
    #[serde(rename = "hire")]
    pub request: String,
    #[serde(rename = "breed")]
    pub machine_type: String,
    #[serde(rename = "field")]
    pub zone: String,
    #[serde(rename = "borrowed")]
    pub spot: bool,
    #[serde(rename = "number")]
    pub count: u32,
}

/// Names of machines: rented, or to be deleted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "hobs")]
    pub machines: Vec<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    Booting,
    Running,
    Failed,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    pub id: String,
    #[serde(rename = "endpoint", default)]
    pub addr: Option<String>,
    #[serde(rename = "breed")]
    pub machine_type: String,
    #[serde(rename = "field")]
    pub zone: String,
    #[serde(rename = "borrowed", default)]
    pub spot: Option<bool>,
    #[serde(rename = "stage")]
    pub state: MachineState,
    pub age_s: f64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    #[serde(rename = "hobs")]
    pub machines: Vec<ListedMachine>,
    #[serde(default)]
    pub more: bool,
}
