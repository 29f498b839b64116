//! Parses and answers the protocol's requests without I/O. The caller provides connections,
//! rate limits and waiting.

use rmpv::Value;
use umbersail_wire::{
    LeaseGranted, LeaseRequest, Txn, TxnResult, WatchResult, decode, encode, paths,
};

use crate::{KvStore, Outcome, RequestError, Time};

/// Status and body of an answer.
pub type Reply = (u16, Vec<u8>);

/// One request to the store.
#[derive(Debug, Clone, PartialEq)]
pub enum KvRequest {
    /// Reads a key.
    Get(String),
    /// Lists keys.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// Key after which the listing continues.
        from: Option<String>,
        /// Maximum number of items.
        limit: usize,
    },
    /// Executes a transaction.
    Txn(Txn<Value>),
    /// Grants a lease.
    Grant(LeaseRequest),
    /// Renews a lease.
    Renew(u64),
    /// Ends a lease and deletes its keys.
    Revoke(u64),
    /// Waits for changes; answered by [`watch_reply`], at once or later.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Revision after which changes are wanted.
        from: u64,
        /// Longest time to wait for a change, in seconds.
        wait_s: f64,
    },
}

/// Value of one parameter of a request's query.
pub fn query_parameter<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

impl KvRequest {
    /// Parses a request; `target` is the path with its query.
    ///
    /// # Errors
    /// The HTTP status to answer with: 400 for a malformed request, 404 for an unknown path.
    pub fn parse(method: &str, target: &str, body: &[u8]) -> Result<KvRequest, u16> {
        let path = target.split('?').next().unwrap_or("");
        let text = |name| query_parameter(target, name).map(str::to_owned);
        let number = |name: &str, default: u64| match query_parameter(target, name) {
            Some(text) => text.parse::<u64>().map_err(|_| 400u16),
            None => Ok(default),
        };
        match (method, path) {
            ("GET", paths::KEYS) => Ok(KvRequest::List {
                prefix: text("under").unwrap_or_default(),
                from: text("from"),
                limit: number("most", 1000)? as usize,
            }),
            ("GET", paths::WATCH) => Ok(KvRequest::Watch {
                prefix: text("under").unwrap_or_default(),
                from: number("from", 0)?,
                wait_s: number("hold_ms", 0)?.min(60_000) as f64 / 1000.0,
            }),
            ("POST", paths::TXN) => decode(body).map(KvRequest::Txn).map_err(|_| 400),
            ("POST", paths::LEASES) => decode(body).map(KvRequest::Grant).map_err(|_| 400),
            ("GET", path) => match path.strip_prefix("/keys/") {
                Some(key) => Ok(KvRequest::Get(key.to_owned())),
                None => Err(404),
            },
            (method, path) => {
                let rest = path.strip_prefix("/holds/").ok_or(404u16)?;
                let (id, verb) = rest.split_once('/').unwrap_or((rest, ""));
                let id = id.parse().map_err(|_| 404u16)?;
                match (method, verb) {
                    ("DELETE", "") => Ok(KvRequest::Revoke(id)),
                    ("POST", paths::RENEW) => Ok(KvRequest::Renew(id)),
                    _ => Err(404),
                }
            }
        }
    }

    /// Number of puts and deletes, which have a rate limit of their own.
    pub fn change_count(&self) -> usize {
        match self {
            KvRequest::Txn(txn) => txn.changes.len(),
            _ => 0,
        }
    }

    /// Executes the request; a watch is answered at once with the changes that exist.
    pub fn execute(&self, store: &mut KvStore, now: Time) -> Reply {
        let done = |outcome: Result<(), RequestError>| match outcome {
            Ok(()) => (200, Vec::new()),
            Err(error) => error_reply(&error),
        };
        match self {
            KvRequest::Get(key) => match store.get(key) {
                Some(found) => (200, encode(&found)),
                None => (404, txn_result(store.revision(), Vec::new())),
            },
            KvRequest::List {
                prefix,
                from,
                limit,
            } => (200, encode(&store.list(prefix, from.as_deref(), *limit))),
            KvRequest::Txn(txn) => match store.txn(now, txn) {
                Ok(Outcome::Applied { revision }) => (200, txn_result(revision, Vec::new())),
                Ok(Outcome::Failed { keys }) => (409, txn_result(store.revision(), keys)),
                // Not 404: on this path it would mean that the path does not exist.
                Err(RequestError::NoSuchLease) => (400, error_body("no such lease")),
                Err(error) => error_reply(&error),
            },
            KvRequest::Grant(request) => match store.grant(now, request.ttl_ms) {
                Ok(lease) => (200, encode(&LeaseGranted { lease })),
                Err(error) => error_reply(&error),
            },
            KvRequest::Renew(id) => done(store.renew(now, *id)),
            KvRequest::Revoke(id) => done(store.revoke(now, *id)),
            KvRequest::Watch { prefix, from, .. } => watch_state(store, prefix, *from).0,
        }
    }
}

/// The answer to a watch if it is due: a key has changed, the waiting time is over
/// (`timed_out`), or the changes have been compacted (410).
pub fn watch_reply(store: &KvStore, prefix: &str, from: u64, timed_out: bool) -> Option<Reply> {
    let (reply, due) = watch_state(store, prefix, from);
    (due || timed_out).then_some(reply)
}

/// The answer to a watch in the store's current state, and whether it is due: there are
/// changes or an error to report.
fn watch_state(store: &KvStore, prefix: &str, from: u64) -> (Reply, bool) {
    match store.changes_since(prefix, from) {
        Err(error) => (error_reply(&error), true),
        Ok(events) => {
            let (revision, due) = (store.revision(), !events.is_empty());
            ((200, encode(&WatchResult { revision, events })), due)
        }
    }
}

fn txn_result(revision: u64, failed: Vec<String>) -> Vec<u8> {
    encode(&TxnResult { revision, failed })
}

fn error_body(text: &str) -> Vec<u8> {
    encode(&std::collections::BTreeMap::from([("error", text)]))
}

fn error_reply(error: &RequestError) -> Reply {
    match error {
        RequestError::Malformed(reason) => (400, error_body(reason)),
        RequestError::NoSuchLease => (404, error_body("no such lease")),
        RequestError::Compacted => (410, Vec::new()),
    }
}
