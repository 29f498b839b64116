//! Sizes of messages: a worker's heartbeat and the reply to it stay within the largest body,
//! however small the tasks are.

use umbersail_wire::{HeartbeatReply, MAX_BODY_BYTES, json_bytes};

use super::*;

/// A job of so small tasks that the machine's resources alone would allow thousands of them.
fn job_of_small_tasks(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        memory_gb: 0.001,
        ..spec(id, tasks, 0.001)
    }
}

/// Sends a heartbeat as [`Worker::send_heartbeat`] does, unless it is too large, and checks the
/// size of the reply.
fn send_limited_heartbeat(worker: &mut Worker, engine: &mut Engine, now: Time) -> Vec<Command> {
    let heartbeat = worker.heartbeat();
    let bytes = json_bytes(&heartbeat);
    assert!(
        bytes <= MAX_BODY_BYTES,
        "the heartbeat at {now} has {bytes} bytes"
    );
    let commands = receive_and_reply(engine, now, &heartbeat, true).unwrap_or_default();
    let reply = HeartbeatReply {
        token: engine.token_for(&worker.name),
        commands,
    };
    let bytes = json_bytes(&reply);
    assert!(
        bytes <= MAX_BODY_BYTES,
        "the reply at {now} has {bytes} bytes"
    );
    worker.apply_commands(reply.token, &reply.commands);
    reply.commands
}

/// Lets all running tasks of the worker complete.
fn complete_all(worker: &mut Worker) {
    let active = worker.tasks.iter_mut();
    for task in active.filter(|t| t.state != TaskState::Exited) {
        task.state = TaskState::Exited;
        task.cause = Some(ExitCause::Done);
    }
}

#[test]
fn a_machine_gets_no_more_tasks_than_its_heartbeat_can_list() {
    // Guards against a machine whose heartbeats every controller refuses as too large: its
    // results are never recorded, its lease expires, and other jobs lose their work there.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    for id in ["req-1", "req-2", "req-3", "req-4"] {
        accept(&mut engine, 1.0, job_of_small_tasks(id, 325));
    }
    let mut now = 1.0;
    let mut started = 0;
    while engine.job_progress(now, "req-4").is_some() && now < 60.0 {
        commit(&mut engine, now);
        started += started_tasks(&send_limited_heartbeat(&mut worker, &mut engine, now)).len();
        send_limited_heartbeat(&mut worker, &mut engine, now + 0.5);
        complete_all(&mut worker);
        now += 1.0;
    }
    assert_eq!(started, 4 * 325);
    assert_eq!(engine.jobs.len(), 0, "all jobs have ended after {now} s");
}

#[test]
fn results_that_no_record_holds_yet_take_up_room_in_the_heartbeat() {
    // Guards against heartbeats that grow beyond the limit in an outage of the state service:
    // the worker lists the result of a task until it is recorded.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, job_of_small_tasks("req-1", 5000));
    engine.degraded_mode = true;
    for second in 1..40 {
        let now = f64::from(second);
        engine.schedule(now);
        send_limited_heartbeat(&mut worker, &mut engine, now);
        complete_all(&mut worker);
    }
    engine.degraded_mode = false;
    let listed = worker.tasks.len();
    assert!(
        listed > 400,
        "the heartbeat is used before starts end: {listed}"
    );
    commit(&mut engine, 40.0);
    send_limited_heartbeat(&mut worker, &mut engine, 41.0);
    commit(&mut engine, 41.0);
    send_limited_heartbeat(&mut worker, &mut engine, 42.0);
    commit(&mut engine, 42.0);
    assert!(
        !started_tasks(&send_limited_heartbeat(&mut worker, &mut engine, 43.0)).is_empty(),
        "starts go on once the results are recorded"
    );
}

#[test]
fn small_tasks_that_no_heartbeat_can_list_are_counted_as_demand_for_machines() {
    // Guards against a rental plan that puts more tasks on a machine than may be started there.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    accept(&mut engine, 0.0, job_of_small_tasks("req-1", 2000));
    let rented: u32 = (engine.cloud_actions(1.0).into_iter())
        .filter_map(|action| match action {
            CloudAction::Rent(request) => Some(request.count),
            CloudAction::Delete(_) => None,
        })
        .sum();
    assert!(
        rented >= 4,
        "2,000 tasks need four heartbeats, {rented} rented"
    );
}

#[test]
fn commands_that_exceed_a_reply_follow_with_the_next_one() {
    // Guards against a reply that the worker refuses, so that a cancelled job runs on: an older
    // build may have started more tasks than one reply has room to stop.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    worker.tasks = (0..2000)
        .map(|task| running_task(&format!("req-99/{task}"), 7))
        .collect();
    let mut stopped = 0;
    for second in 1..5 {
        let heartbeat = worker.heartbeat();
        let now = f64::from(second);
        let commands = receive_and_reply(&mut engine, now, &heartbeat, true).unwrap();
        let reply = HeartbeatReply {
            token: engine.token_for(&worker.name),
            commands,
        };
        assert!(json_bytes(&reply) <= MAX_BODY_BYTES);
        stopped += stop_count(&reply.commands);
        worker.apply_commands(reply.token, &reply.commands);
    }
    assert_eq!(stopped, 2000);
}
