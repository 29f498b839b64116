use serde::{Deserialize, Serialize};

/// A key with its value, as `GET /keys/{key}` and listings give it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue<V> {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: V,
    /// Revision of the store at which the value was set.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyList<V> {
    /// Keys with their values.
    #[serde(rename = "pairs")]
    pub items: Vec<KeyValue<V>>,
    /// Whether further keys follow on the next page.
    #[serde(default)]
    pub more: bool,
    /// Revision of the store.
    #[serde(rename = "ledger_count")]
    pub revision: u64,
}

/// A condition of a transaction: the key has this version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// Version that the key must have; 0 if the key must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change<V> {
    /// Sets a value.
    Put {
        /// The key.
        #[serde(rename = "put")]
        key: String,
        /// The value.
        value: V,
        /// Lease with which the key expires.
        #[serde(rename = "tenancy", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// A transaction: applies all changes if all conditions hold, and none otherwise.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Txn<V> {
    /// The conditions.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// The changes.
    #[serde(rename = "then")]
    pub changes: Vec<Change<V>>,
}

/// The answer to a transaction, and to a read of a key that does not exist.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnResult {
    /// Revision of the store.
    #[serde(rename = "ledger_count")]
    pub revision: u64,
    /// Keys whose conditions did not hold.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A request for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Duration in milliseconds.
    pub ttl_ms: u64,
}

/// A granted lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGranted {
    /// Number of the lease.
    #[serde(rename = "tenancy")]
    pub lease: u64,
}

/// One change of a watched key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent<V> {
    /// The key that was set.
    #[serde(
        rename = "put",
        default = "none",
        skip_serializing_if = "Option::is_none"
    )]
    pub put: Option<String>,
    /// The key that was deleted.
    #[serde(
        rename = "drop",
        default = "none",
        skip_serializing_if = "Option::is_none"
    )]
    pub delete: Option<String>,
    /// The value that was set.
    #[serde(default = "none", skip_serializing_if = "Option::is_none")]
    pub value: Option<V>,
    /// Revision of the store at which the key changed.
    #[serde(rename = "stamp")]
    pub version: u64,
}

fn none<T>() -> Option<T> {
    None
}

/// Changes since a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchResult<V> {
    /// Revision of the store.
    #[serde(rename = "ledger_count")]
    pub revision: u64,
    /// The changes, oldest first.
    #[serde(rename = "log")]
    pub events: Vec<WatchEvent<V>>,
}
