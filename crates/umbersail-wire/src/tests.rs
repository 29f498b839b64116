use crate::*;

/// The example submission of the protocol's specification.
#[derive(serde::Serialize)]
struct Example<'a> {
    id: &'a str,
    recipe: &'a str,
    crew: &'a str,
    cut: &'a str,
    urgency: &'a str,
    portions: u32,
    cores: u32,
    gpus: f64,
    mem_gb: f64,
    kit: &'a str,
    size_gb: f64,
    breeds: Option<Vec<&'a str>>,
    field: Option<&'a str>,
    together: bool,
    spread: bool,
    borrowed: bool,
    cook_s: f64,
    stir_s: f64,
    bottle_s: f64,
    serve_s: Option<f64>,
    unknown_field: (u8, u8),
}

fn example() -> Example<'static> {
    Example {
        id: "req-000412",
        recipe: "train",
        crew: "vision",
        cut: "array",
        urgency: "high",
        portions: 16,
        cores: 8,
        gpus: 1.0,
        mem_gb: 64.0,
        kit: "img-07",
        size_gb: 6.2,
        breeds: Some(vec!["g8"]),
        field: None,
        together: true,
        spread: false,
        borrowed: true,
        cook_s: 240.0,
        stir_s: 30.0,
        bottle_s: 4.0,
        serve_s: Some(900.0),
        unknown_field: (1, 2),
    }
}

#[test]
fn submissions_are_decoded_by_wire_names_and_unknown_fields_are_ignored() {
    let job: JobSpec = decode(&encode(&example())).unwrap();
    assert_eq!(job.class, "train");
    assert_eq!(job.team, "vision");
    assert_eq!(job.kind, JobKind::Array);
    assert_eq!(job.priority, Priority::High);
    assert_eq!((job.tasks, job.cpus, job.gpus()), (16, 8.0, 1.0));
    assert_eq!(job.types.as_deref(), Some(&["g8".to_owned()][..]));
    assert_eq!(job.zone, None);
    assert_eq!(job.deadline_s, Some(900.0));
    assert!(job.one_zone() && job.spot() && !job.spread());
    assert_eq!(job.check(), Ok(()));
    assert_eq!(decode::<JobSpec>(&encode(&job)).unwrap(), job);
}

#[test]
fn invalid_submissions_are_rejected() {
    let job: JobSpec = decode(&encode(&example())).unwrap();
    let is_invalid = |change: &dyn Fn(&mut JobSpec)| {
        let mut job = job.clone();
        change(&mut job);
        job.check().is_err()
    };
    assert!(is_invalid(&|j| j.tasks = 0));
    assert!(is_invalid(&|j| j.tasks = MAX_TASKS + 1));
    assert!(is_invalid(&|j| j.cpus = f64::NAN));
    assert!(is_invalid(&|j| j.cpus = -1.0));
    assert!(is_invalid(&|j| j.estimate_s = f64::INFINITY));
    assert!(is_invalid(&|j| j.id = "job-1".into()));
    assert!(is_invalid(&|j| j.id = "req-../x".into()));
    let mut invalid = example();
    invalid.cut = "swarm";
    assert!(decode::<JobSpec>(&encode(&invalid)).is_err());
    let mut invalid = example();
    invalid.urgency = "urgent";
    assert!(decode::<JobSpec>(&encode(&invalid)).is_err());
    assert!(matches!(
        decode::<JobSpec>(&rmp_serde::to_vec(&example()).unwrap()),
        Err(DecodeError::NotAMap)
    ));
    assert!(decode::<JobSpec>(b"").is_err());
}

#[test]
fn worker_messages_keep_their_wire_names() {
    let reply = HeartbeatReply {
        token: 41,
        commands: vec![Command::Stop {
            task: "req-000377/1".into(),
            attempt: 1,
            grace_s: 10.0,
        }],
    };
    let bytes = encode(&reply);
    for name in [
        "ladle",
        "orders",
        "verb",
        "halt",
        "portion",
        "try",
        "cooldown_s",
    ] {
        assert!(
            bytes.windows(name.len()).any(|w| w == name.as_bytes()),
            "{name}"
        );
    }
    assert_eq!(decode::<HeartbeatReply>(&bytes).unwrap(), reply);

    let heartbeat = Heartbeat {
        machine: "host-000231".into(),
        addr: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: Some(true),
        session: 1,
        seq: 88,
        token: 41,
        notice_s: None,
        tasks: vec![TaskReport {
            task: "req-000398/0".into(),
            attempt: 1,
            state: TaskState::Exited,
            cause: Some(ExitCause::Done),
            saved: None,
        }],
    };
    let bytes = encode(&heartbeat);
    for name in [
        "hob", "endpoint", "breed", "field", "shift", "tally", "portions", "exited", "cause",
    ] {
        assert!(
            bytes.windows(name.len()).any(|w| w == name.as_bytes()),
            "{name}"
        );
    }
    assert_eq!(decode::<Heartbeat>(&bytes).unwrap(), heartbeat);
}

#[test]
fn state_messages_keep_their_wire_names() {
    let txn = Txn {
        conditions: vec![Condition {
            key: "a/b".into(),
            version: 0,
        }],
        changes: vec![
            Change::Put {
                key: "a/b".into(),
                value: 5u32,
                lease: Some(7),
            },
            Change::Delete { key: "c/d".into() },
        ],
    };
    let bytes = encode(&txn);
    for name in ["if", "stamp", "then", "put", "value", "tenancy", "drop"] {
        assert!(
            bytes.windows(name.len()).any(|w| w == name.as_bytes()),
            "{name}"
        );
    }
    let watch: WatchResult<u32> = decode(&encode(&WatchResult {
        revision: 433,
        events: vec![
            WatchEvent {
                put: Some("c/9".into()),
                delete: None,
                value: Some(1u32),
                version: 433,
            },
            WatchEvent {
                put: None,
                delete: Some("c/d".into()),
                value: None,
                version: 432,
            },
        ],
    }))
    .unwrap();
    assert_eq!(watch.events[0].put.as_deref(), Some("c/9"));
    assert_eq!(watch.events[1].delete.as_deref(), Some("c/d"));
}

#[test]
fn a_heartbeat_with_the_most_tasks_stays_within_the_largest_body() {
    // Guards against a limit of tasks that is too high for the longest names and numbers.
    let task = TaskReport {
        task: format!("req-{}/99999", "9".repeat(20)),
        attempt: u64::MAX,
        state: TaskState::Exited,
        cause: Some(ExitCause::Stopped),
        saved: Some(false),
    };
    let heartbeat = Heartbeat {
        machine: "m".repeat(200),
        addr: "255.255.255.255:65535".into(),
        machine_type: "t".repeat(100),
        zone: "z".repeat(100),
        spot: Some(false),
        session: u64::MAX,
        seq: u64::MAX,
        token: u64::MAX,
        notice_s: Some(f64::MIN_POSITIVE),
        tasks: vec![task; MAX_TASKS_PER_WORKER as usize],
    };
    assert_eq!(
        json_bytes(&heartbeat),
        serde_json::to_vec(&heartbeat).unwrap().len()
    );
    assert!(json_bytes(&heartbeat) <= MAX_BODY_BYTES);
    assert!(encode(&heartbeat).len() <= MAX_BODY_BYTES);
}
