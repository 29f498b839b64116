//! Tests of the dates of hello messages.

use super::*;

const DRIFT: f64 = 0.001;
/// A time after that of all messages.
const LATER: Time = 200.0;

fn hello(incarnation: u64, uptime_ms: u64) -> Hello {
    Hello {
        incarnation,
        uptime_ms,
        ..Hello::default()
    }
}

#[test]
fn a_message_is_dated_by_its_uptime_however_late_it_arrives() {
    // Guards against a hello message that was held back and passes for a recent one.
    let mut clock = None;
    let reply = hello(7, 60_000);
    assert_eq!(
        date_hello(&mut clock, &reply, Some(100.0), LATER, DRIFT),
        Some(100.0)
    );
    let dated =
        |uptime_ms| date_hello(&mut clock.clone(), &hello(7, uptime_ms), None, LATER, DRIFT);
    for (uptime_ms, sent_at) in [(50_000, 90.0), (60_000, 100.0), (75_000, 115.0)] {
        let earliest = dated(uptime_ms).unwrap();
        assert!(earliest <= sent_at, "{earliest} is later than {sent_at}");
        assert!(
            sent_at - earliest < 0.02,
            "{earliest} is far from {sent_at}"
        );
    }
}

#[test]
fn messages_of_unknown_processes_and_without_an_uptime_have_no_date() {
    // Guards against dates that are guessed from the arrival: a message of a process that has
    // ended, or of a build that sends no uptime, may have been held back.
    let mut clock = None;
    assert_eq!(
        date_hello(&mut clock, &hello(7, 60_000), None, LATER, DRIFT),
        None
    );
    date_hello(&mut clock, &hello(7, 60_000), Some(100.0), LATER, DRIFT);
    assert_eq!(
        date_hello(&mut clock, &hello(6, 60_000), None, LATER, DRIFT),
        None
    );
    assert_eq!(
        date_hello(&mut clock, &hello(7, 0), None, LATER, DRIFT),
        None
    );
    let reply_without_uptime = hello(7, 0);
    let dated = date_hello(&mut clock, &reply_without_uptime, Some(101.0), LATER, DRIFT);
    assert_eq!(dated, Some(101.0));
    assert_eq!(
        date_hello(&mut clock, &hello(7, 0), None, LATER, DRIFT),
        None
    );
}

#[test]
fn a_slow_reply_does_not_widen_the_bound_and_a_prompt_one_narrows_it() {
    // Guards against a long poll, whose reply comes seconds after the request, that makes later
    // messages look seconds old.
    let mut clock = None;
    date_hello(&mut clock, &hello(7, 60_000), Some(99.2), LATER, DRIFT);
    date_hello(&mut clock, &hello(7, 61_000), Some(100.9), LATER, DRIFT);
    let after_slow_reply =
        date_hello(&mut clock, &hello(7, 66_000), Some(101.0), LATER, DRIFT).unwrap();
    assert!((105.8..=106.0).contains(&after_slow_reply));
    let next = date_hello(&mut clock, &hello(7, 66_500), None, LATER, DRIFT).unwrap();
    assert!((106.3..=106.5).contains(&next), "{next}");
}

#[test]
fn a_date_in_the_future_is_dropped_and_the_next_reply_gives_a_new_relation() {
    // Guards against a node whose clock stood still: it would take every message for a recent
    // one from then on.
    let mut clock = None;
    date_hello(&mut clock, &hello(7, 60_000), Some(100.0), 100.1, DRIFT);
    let late = hello(7, 90_000);
    assert_eq!(date_hello(&mut clock, &late, None, 105.0, DRIFT), None);
    let reply = hello(7, 91_000);
    let dated = date_hello(&mut clock, &reply, Some(105.9), 106.0, DRIFT);
    assert_eq!(dated, Some(105.9));
    let held_back = date_hello(&mut clock, &hello(7, 81_000), None, 106.1, DRIFT).unwrap();
    assert!((95.8..=95.9).contains(&held_back), "{held_back}");
}
