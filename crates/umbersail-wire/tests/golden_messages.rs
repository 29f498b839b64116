//! Every message keeps its bytes: this build encodes each message as the build in
//! production does, and decodes the bytes of that build to the same message.
//!
//! `golden/messages.txt` holds the bytes that the build in production wrote, one line for
//! each message. A line may change only together with a plan for running mixed builds.

use std::collections::BTreeMap;
use std::fmt::Debug;

use serde::Serialize;
use serde::de::DeserializeOwned;
use umbersail_wire::{
    Catalogue, Change, Command, Condition, DegradedModeAnswer, DegradedModeRequest, DirectCommands,
    ExitCause, Heartbeat, HeartbeatReply, Hello, JobIdOnly, JobKind, JobProgress, JobSpec,
    JobStage, JobStatus, KeyList, KeyValue, LeaseGranted, LeaseRequest, ListedMachine, MachineList,
    MachineNames, MachineState, MachineType, Misdirected, Priority, Refusal, RenewedMachine,
    RentRequest, ReplicaReadAnswer, ReplicaReadEntry, ReplicaReadRequest, TaskCounts, TaskReport,
    TaskState, Txn, TxnResult, Value, WatchEvent, WatchResult, decode, encode, paths,
};

const GOLDEN: &str = include_str!("golden/messages.txt");

/// Compares messages with the lines of the golden file and tracks the lines that have not
/// been compared yet.
struct Golden {
    lines: BTreeMap<&'static str, &'static str>,
    differing: Vec<String>,
}

impl Golden {
    fn read() -> Golden {
        let lines = GOLDEN.lines().filter_map(|line| line.split_once(' '));
        Golden {
            lines: lines.collect(),
            differing: Vec::new(),
        }
    }

    fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(
        &mut self,
        name: &str,
        message: T,
    ) {
        let bytes = encode(&message);
        let written: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        if self.lines.remove(name) != Some(&*written) {
            self.differing.push(format!("{name} {written}"));
        }
        assert_eq!(decode::<T>(&bytes).unwrap(), message, "{name}");
    }

    fn finish(self) {
        assert!(self.differing.is_empty(), "\n{}", self.differing.join("\n"));
        assert!(
            self.lines.is_empty(),
            "not compared: {:?}",
            self.lines.keys()
        );
    }
}

fn job() -> JobSpec {
    JobSpec {
        id: "req-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Array,
        priority: Priority::High,
        tasks: 16,
        cpus: 8.0,
        gpus: Some(1.0),
        memory_gb: 64.0,
        image: "img-07".into(),
        image_gb: 6.2,
        types: Some(vec!["g8".into()]),
        zone: Some("a".into()),
        one_zone: Some(true),
        spread: Some(false),
        spot: Some(true),
        estimate_s: 240.0,
        checkpoint_s: Some(30.0),
        save_s: Some(4.0),
        deadline_s: Some(900.0),
    }
}

fn service() -> JobSpec {
    JobSpec {
        kind: JobKind::Service,
        priority: Priority::Low,
        gpus: None,
        types: None,
        zone: None,
        one_zone: None,
        spread: None,
        spot: None,
        checkpoint_s: None,
        save_s: None,
        deadline_s: None,
        ..job()
    }
}

fn task(state: TaskState, cause: Option<ExitCause>, saved: Option<bool>) -> TaskReport {
    TaskReport {
        task: "req-000412/3".into(),
        attempt: 2,
        state,
        cause,
        saved,
    }
}

fn commands() -> Vec<Command> {
    vec![
        Command::Start {
            task: "req-000412/4".into(),
            attempt: 2,
            image_sources: Vec::new(),
        },
        Command::Start {
            task: "req-000412/5".into(),
            attempt: 3,
            image_sources: vec!["10.1.0.7:9000".into()],
        },
        Command::Stop {
            task: "req-000377/1".into(),
            attempt: 1,
            grace_s: 10.0,
        },
        Command::Forget {
            task: "req-000398/0".into(),
            attempt: 1,
        },
    ]
}

fn status(state: JobStage, done: Option<u32>, running: Option<u32>) -> JobStatus {
    JobStatus {
        id: "req-000412".into(),
        state,
        done,
        running,
    }
}

#[test]
fn messages_of_users_and_workers_keep_their_bytes() {
    let mut golden = Golden::read();
    golden.check("job", job());
    golden.check("service", service());
    let id = "req-000412".into();
    golden.check("job_id", JobIdOnly { id });
    golden.check("refusal", Refusal { error: "no".into() });
    golden.check("status_queued", status(JobStage::Queued, None, None));
    golden.check(
        "status_running",
        status(JobStage::Running, Some(3), Some(13)),
    );
    golden.check("status_done", status(JobStage::Done, Some(16), Some(0)));
    golden.check(
        "status_cancelled",
        status(JobStage::Cancelled, Some(0), Some(0)),
    );
    golden.check("report", heartbeat());
    golden.check("report_reply", heartbeat_reply());
    golden.check("direct_commands", direct_commands());
    for (name, heartbeat_to) in [
        ("misdirected", Some("bothy-2".into())),
        ("misdirected_nowhere", None),
    ] {
        golden.check(name, Misdirected { heartbeat_to });
    }
    check_state(&mut golden);
    check_cloud(&mut golden);
    check_peers(&mut golden);
    golden.finish();
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        machine: "host-000231".into(),
        addr: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: Some(true),
        session: 1,
        seq: 88,
        token: 41,
        notice_s: Some(12.5),
        tasks: vec![
            task(TaskState::Fetching, None, None),
            task(TaskState::Waiting, None, None),
            task(TaskState::Running, None, None),
            task(TaskState::Saving, None, None),
            task(TaskState::Exited, Some(ExitCause::Done), None),
            task(TaskState::Exited, Some(ExitCause::Stopped), Some(true)),
            task(TaskState::Exited, Some(ExitCause::Error), None),
            task(TaskState::Exited, Some(ExitCause::NoRoom), None),
            task(TaskState::Exited, Some(ExitCause::Busy), None),
            task(TaskState::Exited, Some(ExitCause::Unknown), None),
        ],
    }
}

fn heartbeat_reply() -> HeartbeatReply {
    HeartbeatReply {
        token: 41,
        commands: commands(),
    }
}

fn direct_commands() -> DirectCommands {
    DirectCommands {
        token: 41,
        session: 1,
        commands: commands(),
    }
}

fn check_state(golden: &mut Golden) {
    golden.check(
        "key_value",
        KeyValue {
            key: "a/b".into(),
            value: Value::from(5),
            version: 412,
        },
    );
    golden.check(
        "key_list",
        KeyList {
            items: vec![KeyValue {
                key: "c/8".into(),
                value: Value::from("v"),
                version: 7,
            }],
            more: true,
            revision: 431,
        },
    );
    golden.check(
        "txn",
        Txn {
            conditions: vec![Condition {
                key: "a/b".into(),
                version: 0,
            }],
            changes: vec![
                Change::Put {
                    key: "a/b".into(),
                    value: Value::from(5),
                    lease: Some(7),
                },
                Change::Put {
                    key: "a/c".into(),
                    value: Value::from(6),
                    lease: None,
                },
                Change::Delete { key: "c/d".into() },
            ],
        },
    );
    golden.check(
        "txn_result",
        TxnResult {
            revision: 431,
            failed: vec!["a/b".into()],
        },
    );
    golden.check("lease_request", LeaseRequest { ttl_ms: 5000 });
    golden.check("lease_granted", LeaseGranted { lease: 7 });
    golden.check(
        "watch_result",
        WatchResult {
            revision: 433,
            events: vec![
                WatchEvent {
                    put: Some("c/9".into()),
                    delete: None,
                    value: Some(Value::from(1)),
                    version: 433,
                },
                WatchEvent {
                    put: None,
                    delete: Some("c/d".into()),
                    value: None,
                    version: 432,
                },
            ],
        },
    );
}

fn check_cloud(golden: &mut Golden) {
    golden.check(
        "catalogue",
        Catalogue {
            types: vec![MachineType {
                name: "g8".into(),
                cpus: 96.0,
                gpus: 8.0,
                memory_gb: 768.0,
                cache_gb: 200.0,
                fetch_gb_per_s: 1.0,
                price: 12.0,
                spot_price: Some(4.5),
                boot_s: 45.0,
                zones: vec!["a".into(), "b".into()],
            }],
        },
    );
    golden.check(
        "rent_request",
        RentRequest {
            request: "r-17".into(),
            machine_type: "g8".into(),
            zone: "a".into(),
            spot: true,
            count: 12,
        },
    );
    golden.check(
        "machine_names",
        MachineNames {
            machines: vec!["host-000231".into()],
        },
    );
    let states = [
        MachineState::Booting,
        MachineState::Running,
        MachineState::Failed,
    ];
    golden.check(
        "machine_list",
        MachineList {
            machines: states
                .into_iter()
                .map(|state| ListedMachine {
                    id: "host-000231".into(),
                    addr: Some("10.1.0.232:9000".into()),
                    machine_type: "g8".into(),
                    zone: "a".into(),
                    spot: Some(true),
                    state,
                    age_s: 61.5,
                })
                .collect(),
            more: false,
        },
    );
}

fn check_peers(golden: &mut Golden) {
    golden.check(
        "hello",
        Hello {
            member: "bothy-1".into(),
            incarnation: 7,
            state_reachable: true,
            token: 12,
            leader: Some("bothy-1".into()),
            machine_count: 4000,
            progress: vec![JobProgress {
                id: "req-1".into(),
                done: 3,
                running: 13,
            }],
            renewal_ms: Some(14_000),
            ended_jobs: vec!["req-2".into()],
            cancelled_jobs: vec!["req-3".into()],
            uptime_ms: 90_000,
            renewed: vec![RenewedMachine {
                machine: "host-3".into(),
                reply_ago_ms: 250,
            }],
            unrecorded_starts: true,
            recorded_token: Some(11),
            is_leader: true,
            is_resigning: false,
            successor: Some("bothy-2".into()),
            timer_lag_ms: 12,
            state_answer_ago_ms: Some(40),
        },
    );
    golden.check("hello_of_nobody", Hello::default());
    golden.check(
        "degraded_mode_request",
        DegradedModeRequest {
            member: "bothy-1".into(),
            token: 12,
        },
    );
    golden.check(
        "degraded_mode_answer",
        DegradedModeAnswer {
            agreed: true,
            cancelled_jobs: vec!["req-3".into()],
        },
    );
    golden.check(
        "replica_read_request",
        ReplicaReadRequest {
            ids: vec!["req-1".into()],
        },
    );
    golden.check(
        "replica_read_answer",
        ReplicaReadAnswer {
            retention_ms: 90_000,
            jobs: vec![
                ReplicaReadEntry {
                    ended: Some(status(JobStage::Done, Some(16), None)),
                    unfinished_ago_ms: None,
                    counts: None,
                },
                ReplicaReadEntry {
                    ended: None,
                    unfinished_ago_ms: Some(40),
                    counts: None,
                },
            ],
        },
    );
    golden.check(
        "replica_read_entry_of_the_leader",
        ReplicaReadEntry {
            ended: None,
            unfinished_ago_ms: Some(40),
            counts: Some(TaskCounts {
                done: 3,
                running: 13,
            }),
        },
    );
}

#[test]
fn paths_are_those_of_the_build_in_production() {
    // Guards against a path that changes together with the name of its constant: the other
    // build would answer 404 for as long as both builds run.
    let known = [
        (paths::JOBS, "/v2/runs"),
        (paths::CANCEL, "abort"),
        (paths::HEALTH, "/ready"),
        (paths::HEARTBEAT, "/v1/report"),
        (paths::WORKER_COMMANDS, "/orders"),
        (paths::MACHINE_TYPES, "/catalog"),
        (paths::MACHINES, "/hosts"),
        (paths::DELETE_MACHINES, "/hosts/delete"),
        (paths::KEYS, "/keys"),
        (paths::TXN, "/multi"),
        (paths::LEASES, "/holds"),
        (paths::RENEW, "renew"),
        (paths::WATCH, "/follow"),
        (paths::PEER_HELLO, "/peer/hello"),
        (paths::PEER_WATCH_LEADER, "/peer/attend"),
        (paths::PEER_DEGRADED_MODE, "/peer/open"),
        (paths::PEER_HEARTBEAT, "/peer/report"),
        (paths::PEER_SUBMIT, "/peer/runs"),
        (paths::PEER_POLL, "/peer/poll"),
        (paths::PEER_CANCEL, "/peer/abort"),
        (paths::PEER_REPLICA_READ, "/peer/word"),
    ];
    for (path, expected) in known {
        assert_eq!(path, expected);
    }
}
