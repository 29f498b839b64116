//! Late copies of messages: a start command travels only in the reply to a heartbeat, and no
//! copy of that heartbeat gets a start command again.

use super::*;

/// The attempts that the commands start.
fn started_attempts(commands: &[Command]) -> Vec<(String, u64)> {
    let start = |command: &Command| match command {
        Command::Start { task, attempt, .. } => Some((task.clone(), *attempt)),
        _ => None,
    };
    commands.iter().filter_map(start).collect()
}

/// What happens to the task between the start command and the copies.
#[derive(Debug, Clone, Copy)]
enum Between {
    Completed,
    Moved,
    Cancelled,
}

#[test]
fn no_copy_of_a_heartbeat_starts_a_task_that_was_completed_moved_or_cancelled_in_between() {
    // Guards against a task that runs on two machines at once, and against a cancelled task that
    // runs again: a copy of the message that a start command answered arrives once more, at the
    // same leader or at one that was elected since.
    for between in [Between::Completed, Between::Moved, Between::Cancelled] {
        let mut engine = new_engine(vec![team(0.0, 0.0)]);
        let mut m1 = ready_worker(&mut engine, "m1", "a");
        accept(&mut engine, 1.0, spec("req-1", 1, 2.0));
        commit(&mut engine, 1.0);
        let heartbeat = m1.heartbeat();
        let commands = receive_and_reply(&mut engine, 2.0, &heartbeat, true).unwrap();
        let launched = started_attempts(&commands);
        assert_eq!(launched.len(), 1);
        m1.apply_commands(engine.token_for("m1"), &commands);
        let mut sent = vec![heartbeat, m1.heartbeat()];
        assert!(engine.receive_heartbeat(3.0, &sent[1]));
        let mut m2 = ready_worker(&mut engine, "m2", "a");
        let mut now = 4.0;
        match between {
            Between::Completed => m1.exit("req-1/0", None, ExitCause::Done),
            Between::Moved => {
                now += LEASE_S * 1.001 + 1.0;
                engine.tick(now);
                assert_eq!(engine.jobs["req-1"].pending(), 1);
            }
            Between::Cancelled => engine.job_key_removed("req-1"),
        }
        for _ in 0..4 {
            now += 0.5;
            commit(&mut engine, now);
            if !matches!(between, Between::Moved) {
                let heartbeat = m1.heartbeat();
                let commands = receive_and_reply(&mut engine, now, &heartbeat, true).unwrap();
                assert_eq!(started_attempts(&commands), []);
                m1.apply_commands(engine.token_for("m1"), &commands);
                sent.push(heartbeat);
            }
            let restarted = started_attempts(&m2.send_heartbeat(&mut engine, now));
            assert!(restarted.iter().all(|attempt| !launched.contains(attempt)));
        }
        for copy in &sent {
            now += 0.1;
            let reply = receive_and_reply(&mut engine, now, copy, true);
            assert_eq!(reply, None, "{between:?}");
        }
        let mut successor = Engine::new(
            config(vec![team(0.0, 0.0)], Tuning::default()),
            0.0,
            0,
            InheritedState {
                revision: LEADER_REVISION + 1,
                ..inherited_state_of(spec("req-1", 1, 2.0))
            },
        );
        for (index, copy) in sent.iter().enumerate() {
            let now = 0.1 * index as f64;
            let reply = receive_and_reply(&mut successor, now, copy, true).unwrap_or_default();
            assert_eq!(started_attempts(&reply), [], "{between:?}");
            commit(&mut successor, now);
        }
    }
}
