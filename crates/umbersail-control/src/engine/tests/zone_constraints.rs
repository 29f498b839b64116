//! Jobs whose tasks constrain each other's zones: every attempt that may still run counts.

use super::*;

#[test]
fn an_attempt_of_a_completed_task_that_may_still_run_counts_for_its_zone() {
    // Guards against tasks in a wrong zone (rule breach `wrong_place`, as the rehearsal reports
    // it) after a failover: one task of a job that spreads over zones is complete, and another
    // attempt of this task may still run on a machine that has sent no heartbeat yet.
    let mut job = spec("req-1", 4, 2.0);
    job.spread = Some(true);
    let mut inherited_state = inherited_state_of(job);
    let (run, _) = inherited_state.jobs[0].run.as_mut().unwrap();
    let mut done = umbersail_policy::Bitmap::new(4);
    done.insert(0);
    (
        run.high_water,
        run.done,
        run.done_count,
        run.orphaned_attempts,
    ) = (1, done.to_text(), 1, 1);
    let config = config(vec![team(0.0, 0.0)], Tuning::default());
    let mut engine = Engine::new(config, 0.0, 0, inherited_state);
    let mut same_zone = ready_worker(&mut engine, "m2", "a");
    commit(&mut engine, 1.0);
    let commands = same_zone.send_heartbeat(&mut engine, 2.0);
    assert_eq!(
        started_tasks(&commands).len(),
        1,
        "half of the four tasks, minus the attempt that may run: {commands:?}"
    );
}
