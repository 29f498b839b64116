//! Messages between controllers stay readable between this build and the one before it,
//! so that a rolling restart may mix them.

use serde::{Deserialize, Serialize};
use umbersail_wire::{Hello, RenewedMachine, ReplicaReadAnswer, ReplicaReadEntry, decode, encode};

/// What the build before calls the fields of [`Hello`] that have other names here.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct FormerHello {
    member: String,
    incarnation: u64,
    state_reachable: bool,
    token: u64,
    leader: Option<String>,
    keep_ms: Option<u64>,
    kept: Vec<FormerMachine>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct FormerMachine {
    machine: String,
    ago_ms: u64,
}

/// The answer about jobs as the build before has it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct FormerAnswer {
    remembers_ms: u64,
    words: Vec<FormerEntry>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct FormerEntry {
    unfinished_ago_ms: Option<u64>,
}

fn former_hello() -> FormerHello {
    FormerHello {
        member: "node-1".into(),
        incarnation: 7,
        state_reachable: true,
        token: 12,
        leader: Some("node-1".into()),
        keep_ms: Some(14_000),
        kept: vec![FormerMachine {
            machine: "host-3".into(),
            ago_ms: 250,
        }],
    }
}

fn hello() -> Hello {
    Hello {
        member: "node-1".into(),
        incarnation: 7,
        state_reachable: true,
        token: 12,
        leader: Some("node-1".into()),
        renewal_ms: Some(14_000),
        renewed: vec![RenewedMachine {
            machine: "host-3".into(),
            reply_ago_ms: 250,
        }],
        ..Hello::default()
    }
}

#[test]
fn a_greeting_is_read_by_the_build_before_and_read_from_it() {
    // Guards against a delegate that loses its time to renew, or whose renewals are not
    // counted, while builds are mixed.
    assert_eq!(decode::<Hello>(&encode(&former_hello())).unwrap(), hello());
    let read = decode::<FormerHello>(&encode(&hello())).unwrap();
    assert_eq!(read, former_hello());
}

#[test]
fn an_answer_about_jobs_is_read_by_the_build_before_and_read_from_it() {
    let former = FormerAnswer {
        remembers_ms: 90_000,
        words: vec![FormerEntry {
            unfinished_ago_ms: Some(40),
        }],
    };
    let answer = ReplicaReadAnswer {
        retention_ms: 90_000,
        jobs: vec![ReplicaReadEntry {
            ended: None,
            unfinished_ago_ms: Some(40),
        }],
    };
    let read = decode::<ReplicaReadAnswer>(&encode(&former)).unwrap();
    assert_eq!(read, answer);
    assert_eq!(decode::<FormerAnswer>(&encode(&answer)).unwrap(), former);
}
