//! Tests of the store with fixed sequences of operations and with random ones. Each test
//! names the failure that it guards against.

use super::*;
use proptest::prelude::*;
use umbersail_wire::Condition;

fn put(key: &str, value: u64, lease: Option<u64>) -> Change<Value> {
    Change::Put {
        key: key.into(),
        value: value.into(),
        lease,
    }
}

fn txn(conditions: &[(&str, u64)], changes: Vec<Change<Value>>) -> Txn<Value> {
    Txn {
        conditions: conditions
            .iter()
            .map(|(key, version)| Condition {
                key: (*key).into(),
                version: *version,
            })
            .collect(),
        changes,
    }
}

#[test]
fn an_ended_lease_deletes_its_keys_and_a_put_without_lease_detaches() {
    // Guards against a leader's key that still exists after the leader's lease has ended.
    let mut store = KvStore::new(Limits::default());
    let lease = store.grant(0.0, 5000).unwrap();
    let attached = vec![put("leader", 1, Some(lease)), put("kept", 1, Some(lease))];
    store.txn(0.0, &txn(&[], attached)).unwrap();
    store
        .txn(1.0, &txn(&[], vec![put("kept", 2, None)]))
        .unwrap();
    store.renew(4.0, lease).unwrap();
    assert!(store.get("leader").is_some() && !store.expire(8.9));
    // A renewal at the exact time of the expiry is too late.
    assert_eq!(store.renew(9.0, lease), Err(RequestError::NoSuchLease));
    assert!(store.get("leader").is_none() && store.get("kept").is_some());
    let late = txn(&[], vec![put("leader", 3, Some(lease))]);
    assert_eq!(store.txn(9.0, &late), Err(RequestError::NoSuchLease));
    let changes = store.changes_since("leader", 0).unwrap();
    assert_eq!(changes.len(), 2);
    assert_eq!(changes[1].delete.as_deref(), Some("leader"));
}

#[test]
fn every_lease_has_its_full_duration_after_an_outage() {
    // Guards against a leader that loses its lease because the service was unavailable.
    let mut store = KvStore::new(Limits::default());
    let lease = store.grant(0.0, 3000).unwrap();
    store.restart_leases(100.0);
    assert_eq!(store.next_expiry(), Some(103.0));
    assert_eq!(store.renew(102.9, lease), Ok(()));
}

#[test]
fn size_limits_are_exact_to_the_byte() {
    // Guards against records that this store accepts and the production service refuses.
    let mut store = KvStore::new(Limits::default());
    let text = |n: usize| Value::from("x".repeat(n - 2));
    let value = |n| Change::Put {
        key: "k".into(),
        value: text(n),
        lease: None,
    };
    assert!(store.txn(0.0, &txn(&[], vec![value(32 * 1024)])).is_ok());
    let over = store.txn(0.0, &txn(&[], vec![value(32 * 1024 + 1)]));
    assert_eq!(over, Err(RequestError::Malformed("a value is too large")));
    let many = (0..33).map(|n| put(&format!("k{n}"), 1, None)).collect();
    assert!(store.txn(0.0, &txn(&[], many)).is_err());
    assert!(store.txn(0.0, &txn(&[("a b", 0)], vec![])).is_err());
    assert!(store.grant(0.0, 99).is_err());
    assert_eq!(
        json_bytes(&Value::Map(vec![("a\n".into(), Value::Nil)])),
        12
    );
}

#[test]
fn watches_get_kept_changes_and_an_error_for_compacted_ones() {
    // Guards against a watcher that misses a compacted change without an error.
    let limits = Limits {
        kept_changes: 5,
        ..Limits::default()
    };
    let mut store = KvStore::new(limits);
    for n in 0..8 {
        store
            .txn(0.0, &txn(&[], vec![put("c/k", n, None)]))
            .unwrap();
    }
    assert_eq!(store.changes_since("c/", 2), Err(RequestError::Compacted));
    assert_eq!(store.changes_since("c/", 3).unwrap().len(), 5);
    assert_eq!(store.changes_since("d/", 3).unwrap().len(), 0);
    assert_eq!(store.changes_since("c/", 8).unwrap().len(), 0);
}

#[test]
fn a_listing_continues_where_the_previous_page_ended() {
    // Guards against keys that are missing between two pages.
    let mut store = KvStore::new(Limits::default());
    for n in 0..25 {
        let key = format!("c/{n:02}");
        store.txn(0.0, &txn(&[], vec![put(&key, n, None)])).unwrap();
    }
    let (mut listed, mut from) = (0, None::<String>);
    loop {
        let page = store.list("c/", from.as_deref(), 10);
        listed += page.items.len();
        from = page.items.last().map(|i| i.key.clone());
        if !page.more {
            break;
        }
    }
    assert_eq!(listed, 25);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Guards against versions that repeat or decrease, and against changes that are missing
    /// from the log of watches: replaying the log must yield the keys of the store.
    #[test]
    fn replaying_the_log_yields_the_keys_of_the_store(
        ops in prop::collection::vec((0..4u8, 0..5u8, 0..3u64, 0.0..2.0f64), 1..60)
    ) {
        let mut store = KvStore::new(Limits::default());
        let (mut now, mut leases) = (0.0, vec![]);
        for (what, key, version, wait) in ops {
            now += wait;
            let before = store.revision();
            let key = format!("k{key}");
            match what {
                0 => leases.push(store.grant(now, 1500).unwrap()),
                1 => drop(store.txn(now, &txn(&[], vec![put(&key, version, leases.last().copied())]))),
                2 => drop(store.txn(now, &txn(&[], vec![Change::Delete { key: key.clone() }]))),
                _ => {
                    let current = store.get(&key).map_or(0, |k| k.version);
                    let outcome = store.txn(now, &txn(&[(&key, current)], vec![put(&key, 1, None)]));
                    let expired = store.get(&key).is_none();
                    let applied = matches!(outcome, Ok(Outcome::Applied { .. }));
                    prop_assert!(applied || expired);
                }
            }
            prop_assert!(store.revision() >= before);
        }
        let mut replayed = BTreeMap::new();
        for event in store.changes_since("", 0).unwrap() {
            match (event.put, event.delete) {
                (Some(key), _) => drop(replayed.insert(key, event.version)),
                (_, Some(key)) => drop(replayed.remove(&key)),
                _ => {}
            }
        }
        let stored = store.keys.iter().map(|(k, e)| (k.clone(), e.version)).collect();
        prop_assert_eq!(replayed, stored);
    }
}

#[test]
fn requests_are_parsed_and_answered_as_the_protocol_defines() {
    // Guards against a test double or a service whose answers clients of the published
    // protocol do not expect.
    use crate::api::{KvRequest, query_parameter};
    use umbersail_wire::{KeyList, LeaseGranted, TxnResult, WatchResult, decode, encode};
    let mut store = KvStore::new(Limits::default());
    let mut ask = |now: f64, method: &str, target: &str, body: Vec<u8>| match KvRequest::parse(
        method, target, &body,
    ) {
        Ok(call) => call.execute(&mut store, now),
        Err(status) => (status, Vec::new()),
    };
    let write = |condition: u64, lease: Option<u64>| {
        encode(&txn(&[("c/k", condition)], vec![put("c/k", 1, lease)]))
    };
    let (status, body) = ask(
        0.0,
        "POST",
        "/holds",
        encode(&umbersail_wire::LeaseRequest { ttl_ms: 500 }),
    );
    let lease = decode::<LeaseGranted>(&body).unwrap().lease;
    assert_eq!(status, 200);
    assert_eq!(ask(0.0, "POST", "/multi", write(0, Some(lease))).0, 200);
    let (status, body) = ask(0.0, "POST", "/multi", write(7, None));
    assert_eq!(status, 409);
    assert_eq!(decode::<TxnResult>(&body).unwrap().failed, ["c/k"]);
    assert_eq!(ask(0.0, "GET", "/keys/c/k", vec![]).0, 200);
    let (_, body) = ask(0.0, "GET", "/keys?under=c/&most=5", vec![]);
    assert_eq!(decode::<KeyList<Value>>(&body).unwrap().items.len(), 1);
    assert_eq!(
        ask(0.4, "POST", &format!("/holds/{lease}/renew"), vec![]).0,
        200
    );
    assert_eq!(
        ask(1.0, "POST", &format!("/holds/{lease}/renew"), vec![]).0,
        404
    );
    let (status, body) = ask(1.0, "GET", "/keys/c/k", vec![]);
    assert_eq!(
        (status, decode::<TxnResult>(&body).unwrap().revision),
        (404, 2)
    );
    let (status, body) = ask(1.0, "POST", "/multi", write(0, Some(lease)));
    assert_eq!(status, 400, "a put with a lease that has ended");
    assert!(String::from_utf8_lossy(&body).contains("no such lease"));
    let (_, body) = ask(1.0, "GET", "/follow?under=c/&from=1", vec![]);
    let watched = decode::<WatchResult<Value>>(&body).unwrap();
    assert_eq!(watched.events[0].delete.as_deref(), Some("c/k"));
    for (method, target, expected) in [
        ("GET", "/keys?most=x", 400),
        ("POST", "/multi", 400),
        ("POST", "/holds/x/renew", 404),
        ("GET", "/elsewhere", 404),
    ] {
        assert_eq!(
            ask(1.0, method, target, b"\x01".to_vec()).0,
            expected,
            "{target}"
        );
    }
    assert_eq!(query_parameter("/keys?a=1&b=2", "b"), Some("2"));
}
