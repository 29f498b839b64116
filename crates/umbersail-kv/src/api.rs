//! The protocol's requests, read and answered without I/O: whoever serves them
//! brings connections, limits and waiting.

use rmpv::Value;
use umbersail_wire::{
    LeaseGranted, LeaseRequest, Txn, TxnResult, WatchResult, decode, encode, paths,
};

use crate::{KvStore, Outcome, Refusal, Time};

/// Status and body of an answer.
pub type Reply = (u16, Vec<u8>);

/// One request.
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// Reads a key.
    Get(String),
    /// Lists keys.
    List {
        /// Prefix of the keys.
        under: String,
        /// Key after which the listing continues.
        from: Option<String>,
        /// Largest number of items.
        most: usize,
    },
    /// Executes a transaction.
    Txn(Txn<Value>),
    /// Grants a lease.
    Grant(LeaseRequest),
    /// Renews a lease.
    Renew(u64),
    /// Ends a lease.
    End(u64),
    /// Answered by [`watched`], at once or later.
    Watch {
        /// Prefix of the keys.
        under: String,
        /// First revision of interest.
        from: u64,
        /// Seconds to wait for a change.
        hold_s: f64,
    },
}

/// One parameter of a request's query.
pub fn parameter<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

impl Call {
    /// Reads a request; `target` is the path with its query.
    ///
    /// # Errors
    /// The status that refuses it: 400 malformed, 404 no such path.
    pub fn parse(method: &str, target: &str, body: &[u8]) -> Result<Call, u16> {
        let path = target.split('?').next().unwrap_or("");
        let text = |name| parameter(target, name).map(str::to_owned);
        let number = |name: &str, usual: u64| match parameter(target, name) {
            Some(text) => text.parse::<u64>().map_err(|_| 400u16),
            None => Ok(usual),
        };
        match (method, path) {
            ("GET", paths::KEYS) => Ok(Call::List {
                under: text("under").unwrap_or_default(),
                from: text("from"),
                most: number("most", 1000)? as usize,
            }),
            ("GET", paths::WATCH) => Ok(Call::Watch {
                under: text("under").unwrap_or_default(),
                from: number("from", 0)?,
                hold_s: number("hold_ms", 0)?.min(60_000) as f64 / 1000.0,
            }),
            ("POST", paths::TXN) => decode(body).map(Call::Txn).map_err(|_| 400),
            ("POST", paths::LEASES) => decode(body).map(Call::Grant).map_err(|_| 400),
            ("GET", path) => match path.strip_prefix("/keys/") {
                Some(key) => Ok(Call::Get(key.to_owned())),
                None => Err(404),
            },
            (method, path) => {
                let rest = path.strip_prefix("/holds/").ok_or(404u16)?;
                let (id, verb) = rest.split_once('/').unwrap_or((rest, ""));
                let id = id.parse().map_err(|_| 404u16)?;
                match (method, verb) {
                    ("DELETE", "") => Ok(Call::End(id)),
                    ("POST", paths::RENEW) => Ok(Call::Renew(id)),
                    _ => Err(404),
                }
            }
        }
    }

    /// Puts and deletes, which have a limit of their own.
    pub fn writes(&self) -> usize {
        match self {
            Call::Txn(txn) => txn.changes.len(),
            _ => 0,
        }
    }

    /// Executes it; a watch gets what there is.
    pub fn execute(&self, store: &mut KvStore, now: Time) -> Reply {
        let done = |outcome: Result<(), Refusal>| match outcome {
            Ok(()) => (200, Vec::new()),
            Err(refusal) => refused(&refusal),
        };
        match self {
            Call::Get(key) => match store.get(key) {
                Some(found) => (200, encode(&found)),
                None => (404, result(store.revision(), Vec::new())),
            },
            Call::List { under, from, most } => {
                (200, encode(&store.list(under, from.as_deref(), *most)))
            }
            Call::Txn(txn) => match store.txn(now, txn) {
                Ok(Outcome::Applied { revision }) => (200, result(revision, Vec::new())),
                Ok(Outcome::Failed { keys }) => (409, result(store.revision(), keys)),
                // Not 404, which would say that there is no such path.
                Err(Refusal::NoSuchLease) => (400, error("no such lease")),
                Err(refusal) => refused(&refusal),
            },
            Call::Grant(wanted) => match store.grant(now, wanted.ttl_ms) {
                Ok(lease) => (200, encode(&LeaseGranted { lease })),
                Err(refusal) => refused(&refusal),
            },
            Call::Renew(id) => done(store.renew(now, *id)),
            Call::End(id) => done(store.end(now, *id)),
            Call::Watch { under, from, .. } => seen(store, under, *from).0,
        }
    }
}

/// The answer to a watch, if it is due: something has changed, the time is over,
/// or the changes are not kept any more (410).
pub fn watched(store: &KvStore, under: &str, from: u64, over: bool) -> Option<Reply> {
    let (reply, due) = seen(store, under, from);
    (due || over).then_some(reply)
}

/// The answer to a watch as things stand, and whether somebody waits for it.
fn seen(store: &KvStore, under: &str, from: u64) -> (Reply, bool) {
    match store.changes(under, from) {
        Err(refusal) => (refused(&refusal), true),
        Ok(events) => {
            let (revision, due) = (store.revision(), !events.is_empty());
            ((200, encode(&WatchResult { revision, events })), due)
        }
    }
}

fn result(revision: u64, failed: Vec<String>) -> Vec<u8> {
    encode(&TxnResult { revision, failed })
}

fn error(text: &str) -> Vec<u8> {
    encode(&std::collections::BTreeMap::from([("error", text)]))
}

fn refused(refusal: &Refusal) -> Reply {
    match refusal {
        Refusal::Malformed(reason) => (400, error(reason)),
        Refusal::NoSuchLease => (404, error("no such lease")),
        Refusal::Compacted => (410, Vec::new()),
    }
}
