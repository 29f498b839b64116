use serde::{Deserialize, Serialize};

/// A key with its value, as `GET /keys/{key}` and listings give it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue<V> {
    pub key: String,
    pub value: V,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyList<V> {
    #[serde(rename = "pairs")]
    pub items: Vec<KeyValue<V>>,
    #[serde(default)]
    pub more: bool,
    #[serde(rename = "ledger_count")]
    pub revision: u64,
}

/// The key has this version; 0: it does not exist.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change<V> {
    Put {
        #[serde(rename = "put")]
        key: String,
        value: V,
        #[serde(rename = "tenancy", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
    },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Txn<V> {
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    #[serde(rename = "then")]
    pub changes: Vec<Change<V>>,
}

/// Answer to a transaction, and to a read of a key that does not exist.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnResult {
    #[serde(rename = "ledger_count")]
    pub revision: u64,
    #[serde(default)]
    pub failed: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    pub ttl_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGranted {
    #[serde(rename = "tenancy")]
    pub lease: u64,
}

/// One change seen by a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent<V> {
    #[serde(
        rename = "put",
        default = "none",
        skip_serializing_if = "Option::is_none"
    )]
    pub put: Option<String>,
    #[serde(
        rename = "drop",
        default = "none",
        skip_serializing_if = "Option::is_none"
    )]
    pub delete: Option<String>,
    #[serde(default = "none", skip_serializing_if = "Option::is_none")]
    pub value: Option<V>,
    #[serde(rename = "stamp")]
    pub version: u64,
}

fn none<T>() -> Option<T> {
    None
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchResult<V> {
    #[serde(rename = "ledger_count")]
    pub revision: u64,
    #[serde(rename = "log")]
    pub events: Vec<WatchEvent<V>>,
}
