//! Every record keeps its key and its bytes: this build stores the same bytes as the build
//! in production and decodes the bytes of that build to the same records.
//!
//! `golden/records.txt` holds the key and the bytes of each record, one record per line, as
//! the build in production wrote them. A line may change only together with a plan for
//! clusters in which both builds run.

use std::collections::BTreeMap;
use std::fmt::Debug;

use serde::de::DeserializeOwned;
use umbersail_control::records::{
    CATALOGUE_KEY, CatalogueRecord, EndedJobRecord, GRANT_KEY, GrantPart, GrantRecord,
    GrantedMachine, JobProgressRecord, JobRecord, LEADER_KEY, LIVENESS_KEY, LeaderRecord,
    LivenessRecord, Outcome, PlanRecord, RECOVERY_PENDING_KEY, Record, RecoveryPendingRecord,
    SuspicionRecord, ended_job_key, grant_part_key, job_key, plan_key, progress_key, suspicion_key,
};
use umbersail_wire::{JobKind, JobSpec, MachineType, Priority, Value, decode, encode};

const GOLDEN_RECORDS: &str = include_str!("golden/records.txt");

fn job() -> JobSpec {
    JobSpec {
        id: "req-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Array,
        priority: Priority::Production,
        tasks: 16,
        cpus: 8.0,
        gpus: Some(1.0),
        memory_gb: 64.0,
        image: "img-07".into(),
        image_gb: 6.2,
        types: Some(vec!["g8".into()]),
        zone: None,
        one_zone: Some(true),
        spread: Some(false),
        spot: Some(true),
        estimate_s: 240.0,
        checkpoint_s: Some(30.0),
        save_s: Some(4.0),
        deadline_s: Some(900.0),
    }
}

fn job_progress() -> JobProgressRecord {
    JobProgressRecord {
        high_water: 7,
        done: "b:0f".into(),
        hosts: vec!["host-1".into(), "host-2".into()],
        evictions: 2,
        done_count: 4,
        running: 3,
        orphaned_attempts: 1,
        team: "vision".into(),
        size: Some((8.0, 1.0, 64.0)),
        suspect: true,
    }
}

fn machine_type() -> MachineType {
    MachineType {
        name: "g8".into(),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.0,
        cache_gb: 200.0,
        fetch_gb_per_s: 1.0,
        price: 12.0,
        spot_price: None,
        boot_s: 45.0,
        zones: vec!["a".into()],
    }
}

/// The records, each with its name in the golden file and its key.
fn records() -> Vec<(&'static str, String, Record)> {
    let ended_job = |outcome| Record::EndedJob(EndedJobRecord { outcome, done: 16 });
    let member = || "bothy-1".to_owned();
    vec![
        (
            "leader",
            LEADER_KEY.into(),
            Record::Leader(LeaderRecord {
                member: member(),
                incarnation: 7,
            }),
        ),
        (
            "grant",
            GRANT_KEY.into(),
            Record::Grant(GrantRecord {
                holder: member(),
                keeps_orphaned_attempts: true,
                plans: true,
            }),
        ),
        (
            "grant_without_plans",
            GRANT_KEY.into(),
            Record::Grant(GrantRecord {
                holder: member(),
                ..GrantRecord::default()
            }),
        ),
        (
            "grant_part",
            grant_part_key(3),
            Record::GrantPart(GrantPart {
                machines: vec![GrantedMachine {
                    name: "host-1".into(),
                    machine_type: "g8".into(),
                    zone: "a".into(),
                    spot: true,
                    addr: "10.1.0.1:9000".into(),
                }],
            }),
        ),
        (
            "job",
            job_key("req-000412"),
            Record::Job(JobRecord {
                spec: job(),
                accepted_ms: 1_700_000_000_123,
            }),
        ),
        (
            "run",
            progress_key("req-000412"),
            Record::JobProgress(job_progress()),
        ),
        (
            "run_of_nothing",
            progress_key("req-000413"),
            Record::JobProgress(JobProgressRecord::default()),
        ),
        (
            "over_done",
            ended_job_key("req-000412"),
            ended_job(Outcome::Done),
        ),
        (
            "over_cancelled",
            ended_job_key("req-000412"),
            ended_job(Outcome::Cancelled),
        ),
        (
            "catalogue",
            CATALOGUE_KEY.into(),
            Record::Catalogue(CatalogueRecord {
                types: vec![machine_type()],
            }),
        ),
        (
            "suspicion",
            suspicion_key("bothy-1"),
            Record::Suspicion(SuspicionRecord { token: 41 }),
        ),
        (
            "liveness",
            LIVENESS_KEY.into(),
            Record::Liveness(LivenessRecord {
                token: 41,
                may_have_unrecorded: false,
                newest_suspicion: 40,
            }),
        ),
        (
            "recovery_pending",
            RECOVERY_PENDING_KEY.into(),
            Record::RecoveryPending(RecoveryPendingRecord { member: member() }),
        ),
        (
            "plan",
            plan_key("reserve/fair"),
            Record::Plan(PlanRecord {
                version: 1,
                plan: Value::from("plan"),
                is_tombstone: false,
            }),
        ),
        (
            "plan_tombstone",
            plan_key("reserve/fair"),
            Record::Plan(PlanRecord::tombstone()),
        ),
    ]
}

#[test]
fn records_keep_their_keys_and_bytes() {
    let mut golden_records: BTreeMap<&str, &str> = GOLDEN_RECORDS
        .lines()
        .filter_map(|l| l.split_once(' '))
        .collect();
    let mut mismatches = Vec::new();
    for (name, key, record) in records() {
        let bytes: String = encode(&record).iter().map(|b| format!("{b:02x}")).collect();
        let written = format!("{key} {bytes}");
        if golden_records.remove(name) != Some(&*written) {
            mismatches.push(format!("{name} {written}"));
        }
    }
    assert!(mismatches.is_empty(), "\n{}", mismatches.join("\n"));
    assert!(
        golden_records.is_empty(),
        "lines without a record: {:?}",
        golden_records.keys()
    );
}

/// Decodes the stored bytes as the type that the readers of the record expect.
fn assert_reads<T: DeserializeOwned + PartialEq + Debug>(record: &Record, expected: &T) {
    assert_eq!(&decode::<T>(&encode(record)).unwrap(), expected);
}

#[test]
fn stored_records_decode_to_the_original_records() {
    for (_, _, record) in records() {
        match &record {
            Record::Leader(expected) => assert_reads(&record, expected),
            Record::Grant(expected) => assert_reads(&record, expected),
            Record::GrantPart(expected) => assert_reads(&record, expected),
            Record::Job(expected) => assert_reads(&record, expected),
            Record::JobProgress(expected) => assert_reads(&record, expected),
            Record::EndedJob(expected) => assert_reads(&record, expected),
            Record::Catalogue(expected) => assert_reads(&record, expected),
            Record::Suspicion(expected) => assert_reads(&record, expected),
            Record::Liveness(expected) => assert_reads(&record, expected),
            Record::RecoveryPending(expected) => assert_reads(&record, expected),
            Record::Plan(expected) => assert_reads(&record, expected),
        }
    }
}
