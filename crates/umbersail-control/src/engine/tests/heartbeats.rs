//! Reports that come a second time, late, and machines that hear nothing.

use super::*;

/// A report that is answered, and what is answered goes nowhere.
fn unheard(worker: &mut Worker, engine: &mut Engine, now: Time) -> Vec<String> {
    let heartbeat = worker.heartbeat();
    if !engine.receive_heartbeat(now, &heartbeat) {
        return vec![];
    }
    // The reply waits for what the cycle that this report wakes places.
    commit(engine, now);
    started_tasks(&engine.reply(now, &heartbeat, true))
}

fn rents(engine: &mut Engine, now: Time) -> bool {
    let actions = engine.cloud_actions(now);
    actions.iter().any(|a| matches!(a, CloudAction::Rent(_)))
}

#[test]
fn a_late_copy_from_a_machine_that_is_gone_brings_no_ghost() {
    // Guards against a ghost that is given tasks until it is silent, or counts
    // as room: whether the copy shows our token or is from before that.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = Worker::new("m1", "a");
    let first = worker.heartbeat();
    assert!(receive_and_reply(&mut engine, 0.0, &first, true).is_some());
    worker.token = engine.token_for("m1");
    let second = worker.heartbeat();
    assert!(receive_and_reply(&mut engine, 0.5, &second, true).is_some());
    engine.machines_deleted(&["m1".to_owned()]);
    engine.apply_machine_list(30.0, &[]);
    accept(&mut engine, 30.0, spec("req-1", 1, 2.0));
    for (at, copy) in [(31.0, &first), (31.1, &second)] {
        assert_eq!(
            receive_and_reply(&mut engine, at, copy, true),
            None,
            "answered"
        );
        engine.receive_command_response(at, copy);
        commit(&mut engine, at);
    }
    assert_eq!(engine.machine_count(), 0);
    assert!(rents(&mut engine, 31.2), "counted as room");
}

/// Lives through rounds of a worker that hears nothing: it waits 4 s for an
/// answer and one more, and its lease runs out. How many launches it was told.
fn rounds_unheard(worker: &mut Worker, engine: &mut Engine, from: Time, rounds: u32) -> usize {
    let mut told = 0;
    for round in 0..rounds {
        let now = from + 5.0 * f64::from(round);
        worker.session += u64::from(round % 2 == 1);
        engine.tick(now);
        told += unheard(worker, engine, now).len();
    }
    told
}

#[test]
fn a_machine_that_hears_nothing_draws_no_more_launches_after_two_signs() {
    // Guards against work that goes again and again where it never begins, and
    // against a machine that is kept, and counted on, for nothing.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut unreachable = ready_worker(&mut engine, "m1", "a");
    let mut other = ready_worker(&mut engine, "m2", "a");
    accept(&mut engine, 1.0, spec("req-1", 2, 8.0));
    commit(&mut engine, 1.0);
    assert_eq!(
        started_tasks(&other.send_heartbeat(&mut engine, 1.5)).len(),
        1
    );
    let told = rounds_unheard(&mut unreachable, &mut engine, 2.0, 4);
    assert!((1..=2).contains(&told), "{told} launches");
    assert!(rents(&mut engine, 18.0), "counted as room");
    // Elsewhere its task goes on.
    other.send_heartbeat(&mut engine, 18.0);
    let [task] = &mut other.tasks[..] else {
        panic!("one task runs")
    };
    (task.state, task.cause) = (TaskState::Exited, Some(ExitCause::Done));
    other.send_heartbeat(&mut engine, 18.5);
    commit(&mut engine, 18.6);
    assert_eq!(
        started_tasks(&other.send_heartbeat(&mut engine, 19.0)).len(),
        1
    );

    assert_eq!(rounds_unheard(&mut unreachable, &mut engine, 22.0, 8), 0);
    other.send_heartbeat(&mut engine, 60.0);
    let deletes = CloudAction::Delete(vec!["m1".into()]);
    assert!(engine.cloud_actions(60.0).contains(&deletes));
}

#[test]
fn a_machine_that_hears_again_is_in_use_within_two_reports() {
    // Guards against a machine that is lost for good by a cut.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 8.0));
    rounds_unheard(&mut worker, &mut engine, 2.0, 5);
    let mut reports = 0;
    while worker.tasks.is_empty() {
        reports += 1;
        assert!(reports <= 2, "still out of use");
        let now = 27.0 + f64::from(reports);
        let heartbeat = worker.heartbeat();
        assert!(engine.receive_heartbeat(now, &heartbeat));
        commit(&mut engine, now);
        let commands = engine.reply(now, &heartbeat, true);
        worker.apply_commands(engine.token_for("m1"), &commands);
    }
}

#[test]
fn replies_lost_far_apart_or_in_one_burst_make_no_machine_unreachable() {
    // Guards against a sound machine taken out of use: for one lost reply, for
    // two that have nothing to do with each other, and after a freeze of ours,
    // whose queue is answered at once and to nobody.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 8.0));
    for burst in 0..4 {
        unheard(&mut worker, &mut engine, 2.0 + 0.01 * f64::from(burst));
    }
    assert_eq!(unheard(&mut worker, &mut engine, 8.0).len(), 1, "in use");

    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    for at in [2.0, 102.0] {
        accept(&mut engine, at, spec(&format!("req-{at}"), 1, 8.0));
        assert_eq!(unheard(&mut worker, &mut engine, at).len(), 1);
        let heartbeat = worker.heartbeat();
        engine.receive_heartbeat(at + 5.0, &heartbeat);
        engine.job_key_removed(&format!("req-{at}"));
    }
    accept(&mut engine, 108.0, spec("req-last", 1, 8.0));
    assert_eq!(unheard(&mut worker, &mut engine, 109.0).len(), 1, "in use");
}

#[test]
fn a_machine_rented_unknown_to_us_is_in_use_with_its_second_report() {
    // Guards against too much care with unknown machines.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    accept(&mut engine, 1.0, spec("req-1", 1, 8.0));
    let mut worker = Worker::new("m7", "a");
    worker.send_heartbeat(&mut engine, 2.0);
    assert!(rents(&mut engine, 2.1), "it may be a copy");
    let heartbeat = worker.heartbeat();
    assert!(engine.receive_heartbeat(2.5, &heartbeat));
    commit(&mut engine, 2.5);
    assert_eq!(started_tasks(&engine.reply(2.6, &heartbeat, true)).len(), 1);

    // One that a former holder deleted is never heard of again, and goes back.
    let mut ghost = Worker::new("m1", "a");
    ghost.token = first_token(TOKEN - 10);
    unheard(&mut ghost, &mut engine, 3.0);
    worker.send_heartbeat(&mut engine, 24.0);
    let deletes = CloudAction::Delete(vec!["m1".into()]);
    assert!(engine.cloud_actions(24.0).contains(&deletes));
}

/// The task's only entry in a report.
fn entry(task: &str, attempt: u64, cause: Option<ExitCause>) -> TaskReport {
    TaskReport {
        state: cause.map_or(TaskState::Running, |_| TaskState::Exited),
        cause,
        ..running_task(task, attempt)
    }
}

/// A job of one task that runs on m1 at 2 s, and its attempt there.
fn one_that_runs(engine: &mut Engine, worker: &mut Worker) -> u64 {
    accept(engine, 1.0, spec("req-1", 1, 2.0));
    commit(engine, 1.0);
    assert_eq!(
        started_tasks(&worker.send_heartbeat(engine, 1.5)),
        ["req-1/0"]
    );
    worker.send_heartbeat(engine, 2.0);
    worker.tasks[0].attempt
}

#[test]
fn an_old_report_of_an_end_does_not_end_what_runs_in_the_newer_one() {
    // Guards against a second start beside a task that runs again where its earlier
    // attempt ended, and against one that is stopped for it: whether the old report
    // is of an earlier count or of an earlier session with a higher one.
    for earlier_session in [false, true] {
        let mut engine = new_engine(vec![team(0.0, 0.0)]);
        let mut other = ready_worker(&mut engine, "m2", "a");
        accept(&mut engine, 0.8, spec("req-full", 1, 8.0));
        commit(&mut engine, 0.8);
        assert_eq!(
            started_tasks(&other.send_heartbeat(&mut engine, 0.9)).len(),
            1
        );
        other.send_heartbeat(&mut engine, 1.0);
        // Only m1 has room for more.
        let mut worker = ready_worker(&mut engine, "m1", "a");
        let first = one_that_runs(&mut engine, &mut worker);
        worker.exit("req-1/0", None, ExitCause::Stopped);
        let mut old = worker.heartbeat();
        assert!(receive_and_reply(&mut engine, 3.0, &old, true).is_some());
        worker.tasks.clear();
        if earlier_session {
            (worker.session, worker.seq, old.seq) = (2, worker.seq, old.seq + 100);
        }
        commit(&mut engine, 3.1);
        let mut told = started_tasks(&worker.send_heartbeat(&mut engine, 3.5));
        commit(&mut engine, 3.6);
        told.extend(started_tasks(&worker.send_heartbeat(&mut engine, 4.0)));
        assert_eq!(told, ["req-1/0"], "again on the same machine");
        worker.send_heartbeat(&mut engine, 4.5);
        let second = worker.tasks[0].attempt;
        assert!(second > first);

        assert_eq!(receive_and_reply(&mut engine, 5.0, &old, true), None);
        engine.receive_command_response(5.0, &old);
        engine.tick(5.1);
        commit(&mut engine, 5.1);
        assert!(started_tasks(&other.send_heartbeat(&mut engine, 5.5)).is_empty());
        assert_eq!(worker.send_heartbeat(&mut engine, 5.5), vec![]);
        assert_eq!(worker.tasks, [running_task("req-1/0", second)]);
    }
}

#[test]
fn an_old_report_does_not_bring_back_what_has_ended_in_the_newer_one() {
    // Guards against a task that counts as present, or is taken up under its earlier
    // attempt, where the newer report shows that it is gone.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    let first = one_that_runs(&mut engine, &mut worker);
    let old = worker.heartbeat();
    // Its session ends: it has lost the task, which starts on another machine.
    (worker.session, worker.tasks) = (2, vec![]);
    worker.send_heartbeat(&mut engine, 3.0);
    worker.tasks = vec![running_task("req-fill/0", 1)];
    worker.send_heartbeat(&mut engine, 3.2);
    let mut other = ready_worker(&mut engine, "m2", "a");
    commit(&mut engine, 3.5);
    assert_eq!(
        started_tasks(&other.send_heartbeat(&mut engine, 4.0)),
        ["req-1/0"]
    );
    other.send_heartbeat(&mut engine, 4.5);
    let second = other.tasks[0].attempt;
    assert!(second > first);

    assert_eq!(
        receive_and_reply(&mut engine, 5.0, &old, true),
        None,
        "answered"
    );
    engine.receive_command_response(5.0, &old);
    commit(&mut engine, 5.1);
    // The second attempt goes on, and its end is the job's.
    assert_eq!(other.send_heartbeat(&mut engine, 5.5), vec![]);
    other.exit("req-1/0", None, ExitCause::Done);
    other.send_heartbeat(&mut engine, 6.0);
    commit(&mut engine, 6.1);
    assert!(
        engine.job_progress("req-1").is_none_or(|c| c.1 == 0),
        "counts as active"
    );
}

#[test]
fn a_successor_settles_nothing_on_an_old_report_in_its_first_second() {
    // Guards against a second start of what runs on m1: the old report comes before
    // any other and shows the earlier holder's token, an earlier attempt that ended,
    // or nothing yet of what the earlier holder started since.
    for tasks in [vec![], vec![entry("req-1/0", 4, Some(ExitCause::Stopped))]] {
        let mut engine = engine_after_failover(vec![team(0.0, 0.0)], spec("req-1", 2, 2.0));
        let mut other = ready_worker(&mut engine, "m2", "a");
        let mut worker = Worker::new("m1", "a");
        worker.token = first_token(TOKEN - 10);
        worker.tasks = tasks;
        let old = worker.heartbeat();
        worker.tasks = vec![running_task("req-1/0", 5), running_task("req-1/1", 6)];
        assert_eq!(
            receive_and_reply(&mut engine, 0.6, &old, true),
            Some(vec![])
        );
        commit(&mut engine, 0.7);
        assert!(started_tasks(&other.send_heartbeat(&mut engine, 0.8)).is_empty());

        // Its own reports settle it: the first brings it our token.
        worker.send_heartbeat(&mut engine, 0.9);
        assert_eq!(
            worker.send_heartbeat(&mut engine, 1.4),
            vec![],
            "both go on"
        );
        commit(&mut engine, 1.5);
        assert!(started_tasks(&other.send_heartbeat(&mut engine, 1.6)).is_empty());
        assert_eq!(
            receive_and_reply(&mut engine, 1.7, &old, true),
            None,
            "answered"
        );
        commit(&mut engine, 1.8);
        assert!(started_tasks(&other.send_heartbeat(&mut engine, 1.9)).is_empty());
        assert_eq!(engine.job_progress("req-1").map(|c| c.1), Some(2));
    }
}

#[test]
fn a_successor_believes_an_old_report_that_a_task_has_completed_and_no_more() {
    // Guards against a result that is made again, and against a task that is taken
    // for running since an old report shows it: the worker has got our token by
    // direct command, and its session has ended since that report.
    let mut engine = engine_after_failover(vec![team(0.0, 0.0)], spec("req-1", 2, 2.0));
    let mut other = ready_worker(&mut engine, "m2", "a");
    let mut worker = Worker::new("m1", "a");
    worker.token = engine.token_for("m1");
    let done = entry("req-1/0", 5, Some(ExitCause::Done));
    worker.tasks = vec![done, running_task("req-1/1", 6)];
    let old = worker.heartbeat();
    assert!(receive_and_reply(&mut engine, 0.6, &old, true).is_some());
    commit(&mut engine, 0.7);
    assert!(
        started_tasks(&other.send_heartbeat(&mut engine, 0.8)).is_empty(),
        "it may run"
    );

    (worker.session, worker.seq, worker.tasks) = (2, 0, vec![]);
    let mut told = started_tasks(&worker.send_heartbeat(&mut engine, 1.0));
    commit(&mut engine, 1.1);
    told.extend(started_tasks(&worker.send_heartbeat(&mut engine, 1.5)));
    told.extend(started_tasks(&other.send_heartbeat(&mut engine, 1.6)));
    assert_eq!(told, ["req-1/1"]);
    assert_eq!(
        receive_and_reply(&mut engine, 2.0, &old, true),
        None,
        "answered"
    );
}

#[test]
fn what_was_planned_on_a_machine_found_unreachable_is_not_told_in_that_very_answer() {
    // Guards against a launch that goes where nothing is heard, since it was planned
    // before the report that shows it.
    let mut engine = new_engine(vec![team(0.0, 0.0)]);
    let mut worker = ready_worker(&mut engine, "m1", "a");
    accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
    assert_eq!(unheard(&mut worker, &mut engine, 2.0).len(), 1);
    assert_eq!(unheard(&mut worker, &mut engine, 7.0).len(), 1, "one sign");
    accept(&mut engine, 8.0, spec("req-2", 1, 2.0));
    commit(&mut engine, 8.0);
    let heartbeat = worker.heartbeat();
    let told = receive_and_reply(&mut engine, 12.0, &heartbeat, true).unwrap();
    assert!(started_tasks(&told).is_empty(), "{told:?}");
}

#[test]
fn what_an_earlier_holder_started_is_called_running_until_its_machine_shows_otherwise() {
    // Guards against a job that runs all along and is called waiting after a change of
    // leader, until its machines report.
    let mut engine = engine_after_failover(vec![team(0.0, 0.0)], spec("req-1", 3, 2.0));
    assert_eq!(engine.job_progress("req-1"), Some((0, 2)));
    let lapsed_s = (engine.cfg.renewal_s() + LEASE_S) * 1.001 + 0.6;
    engine.tick(lapsed_s);
    assert_eq!(engine.job_progress("req-1"), Some((0, 0)));
}
