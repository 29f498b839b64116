//! Many running jobs with long to go are cancelled within a moment, and machines of theirs
//! hang just then.

use umbersail_rehearsal::Scenario;
use umbersail_rehearsal::history::{Event, EventKind};

use crate::harness::{cancelled_while_running, failure, keeps_the_rules, seeds, shop, struck};

/// When they are cancelled, and how many.
const AT_S: f64 = 50.0;
const COUNT: usize = 12;
/// All are asked for within so many seconds.
const WITHIN_S: f64 = 0.2;
/// So many machines hang at most.
const HANG_MOST: usize = 8;

/// Long tasks on many machines.
fn night(more: &str) -> Scenario {
    let cancels = failure("cancel-now", AT_S, 0.0, &format!("count = {COUNT}\n{more}"));
    let mut night = shop(70.0, &cancels);
    for class in &mut night.classes {
        (class.run_s, class.per_minute, class.at_start) = (200.0, 60.0, 8);
        (class.tasks, class.most, class.cancelled) = (2.0, 4, 0.0);
    }
    night.objectives.clear();
    night.drain_s = 60.0;
    night
}

fn asked_at(events: &[Event]) -> Vec<f64> {
    let asked = |e: &&Event| matches!(e.what, EventKind::CancelRequested { .. });
    events.iter().filter(asked).map(|e| e.t).collect()
}

#[test]
fn jobs_cancelled_all_at_once_are_gone_in_time_though_their_machines_hang() {
    // Guards against a cancelled task that goes on after its machine hung, and against a
    // trouble that cancels what is not running.
    for hang_s in [None, Some(30.0)] {
        let more = hang_s.map_or(String::new(), |s| format!("hang_s = {s:?}"));
        for outcome in keeps_the_rules(&night(&more), &seeds(1)) {
            let events = &outcome.events;
            let asked = asked_at(events);
            let soon = |t: &&f64| **t >= AT_S && **t < AT_S + WITHIN_S;
            assert_eq!(asked.iter().filter(soon).count(), COUNT);
            let running = cancelled_while_running(events, AT_S, AT_S + 5.0).len();
            assert!(running >= COUNT / 2, "{running} of {COUNT} ran");
            let hung = struck(events, "cancel-now").len();
            let wanted = if hang_s.is_some() {
                3..=HANG_MOST
            } else {
                0..=0
            };
            assert!(wanted.contains(&hung), "{hung} machines hung");
        }
    }
}
