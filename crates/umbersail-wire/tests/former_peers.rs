//! Messages between controllers stay readable between this build and the previous one, so
//! that a rolling restart can mix the two builds.

use serde::{Deserialize, Serialize};
use umbersail_wire::{
    Hello, RenewedMachine, ReplicaReadAnswer, ReplicaReadEntry, TaskCounts, decode, encode,
};

/// [`Hello`] with the field names of the previous build, as far as they differ.
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

/// [`ReplicaReadAnswer`] with the field names of the previous build.
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
fn hello_messages_are_exchanged_with_the_previous_build() {
    // Guards against renamed fields: while builds are mixed, a delegate would lose its
    // permission to renew leases, or the leader would not count its renewals.
    assert_eq!(decode::<Hello>(&encode(&former_hello())).unwrap(), hello());
    let read = decode::<FormerHello>(&encode(&hello())).unwrap();
    assert_eq!(read, former_hello());
}

#[test]
fn replica_read_answers_are_exchanged_with_the_previous_build() {
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
            counts: None,
        }],
    };
    let read = decode::<ReplicaReadAnswer>(&encode(&former)).unwrap();
    assert_eq!(read, answer);
    assert_eq!(decode::<FormerAnswer>(&encode(&answer)).unwrap(), former);
    // The former build ignores the task counts.
    let mut with_counts = answer;
    with_counts.jobs[0].counts = Some(TaskCounts::default());
    let read = decode::<FormerAnswer>(&encode(&with_counts)).unwrap();
    assert_eq!(read, former);
}
