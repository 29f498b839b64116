//! Runs of the calendar under leaders that end, clocks that differ and files that change.

use std::collections::BTreeMap;
use std::rc::Rc;

use proptest::prelude::*;
use umbersail_calendar::{
    AcceptedJob, Calendar, RunKey, RunRecord, RunTracker, Settings, Timestamp, UnixMs,
};

const SKEW_MS: u64 = 500;

const FILE: &str = "
    calendar.dawn.team = press
    calendar.dawn.zone = Europe/Lisbon
    calendar.dawn.opens = 2027-01-04 22:00
    calendar.dawn.repeat = FREQ=DAILY
    calendar.dawn.due = 23:00
    calendar.dawn.step.1.classes = scan, sort
    calendar.dawn.step.1.count = 2
    calendar.dawn.step.1.quiet = 5m
    calendar.dawn.step.2.classes = print
    calendar.dawn.step.2.until = 30m
    calendar.dawn.step.2.takes = 10m
";

fn pairs(text: &str) -> BTreeMap<String, String> {
    let lines = text.lines().filter_map(|line| line.split_once('='));
    lines
        .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
        .collect()
}

fn opening() -> UnixMs {
    Calendar::parse(&pairs(FILE)).unwrap().entries["dawn"]
        .openings
        .last_and_next(0)
        .1
        .unwrap()
}

/// A state service with its records and jobs, and the tracker of the present leader.
struct World {
    file: String,
    records: BTreeMap<RunKey, RunRecord>,
    jobs: BTreeMap<Rc<str>, (&'static str, UnixMs)>,
    tracker: RunTracker,
    at: Timestamp,
    log: Vec<String>,
}

impl World {
    fn at(start: UnixMs) -> World {
        let mut world = World {
            file: FILE.to_owned(),
            records: BTreeMap::new(),
            jobs: BTreeMap::new(),
            tracker: RunTracker::new(Rc::default(), SETTINGS),
            at: Timestamp {
                steady_s: 7.0,
                unix_ms: start,
            },
            log: Vec::new(),
        };
        world.take_over();
        world
    }

    /// The leader ends: another one reads what is recorded.
    fn take_over(&mut self) {
        self.at.steady_s += 5000.0;
        let calendar = Calendar::parse(&pairs(&self.file)).unwrap();
        self.tracker = RunTracker::new(Rc::new(calendar), SETTINGS);
        for (key, record) in &self.records {
            (self.tracker.inherit(self.at, &key.0, record.clone())).unwrap();
        }
        self.offer();
        self.tick();
    }

    fn offer(&mut self) {
        for (id, (class, accepted_ms)) in &self.jobs {
            let job = AcceptedJob {
                id,
                team: "press",
                class,
                accepted_ms: *accepted_ms,
                run_s: 20.0,
            };
            self.tracker.job_accepted(self.at, job);
        }
    }

    fn tick(&mut self) {
        let outcome = self.tracker.tick(self.at);
        for event in outcome.events {
            self.log.push(event.kind.to_string());
        }
        if outcome.opened {
            self.offer();
            self.tick();
        }
    }

    /// Writes what is due, if the state service answers.
    fn write(&mut self) {
        for write in self.tracker.due_writes(self.at) {
            match &write.record {
                Some(record) => self.records.insert(write.run.clone(), record.clone()),
                None => self.records.remove(&write.run),
            };
            self.tracker.mark_written(self.at, &write);
        }
        self.tick();
    }

    fn pass(&mut self, seconds: f64) {
        self.at.steady_s += seconds;
        self.at.unix_ms += (seconds * 1000.0) as u64;
        self.tick();
    }

    fn settle(&mut self, seconds: f64) {
        self.pass(seconds);
        for _ in 0..4 {
            self.write();
        }
    }

    fn submit(&mut self, id: &str, class: &'static str) {
        self.jobs.insert(id.into(), (class, self.at.unix_ms));
        self.offer();
        self.tick();
    }

    fn end(&mut self, id: &str) {
        self.jobs.remove(id);
        self.tracker.job_ended(self.at, id);
        self.tick();
    }

    fn held(&self, id: &str) -> bool {
        self.tracker.is_held(id)
    }

    fn said(&self, text: &str) -> usize {
        self.log.iter().filter(|line| line.contains(text)).count()
    }
}

const SETTINGS: Settings = Settings {
    skew_ms: SKEW_MS,
    tick_ms: 0,
    write_delay_s: 1.0,
    failing_grace_s: 60.0,
    retention_s: 86400.0,
    max_active_runs: 3,
    max_names: 100,
};

#[test]
fn a_bad_entry_is_told_with_its_key_and_its_reason() {
    let cases = [
        (
            "zone = Europe/Lissabon",
            "calendar.dawn.zone",
            "no time zone",
        ),
        ("opens = tonight", "calendar.dawn.opens", "no time such as"),
        (
            "repeat = FREQ=SOMETIMES",
            "calendar.dawn.repeat",
            "SOMETIMES",
        ),
        (
            "repeat = FREQ=MINUTELY;BYMONTH=2",
            "calendar.dawn.repeat",
            "BY part",
        ),
        (
            "repeat = FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30",
            "calendar.dawn.repeat",
            "never",
        ),
        ("due = soon", "calendar.dawn.due", "neither"),
        ("due = 90days", "calendar.dawn.due", "neither"),
        ("colour = red", "calendar.dawn.colour", "no field"),
        (
            "step.2.count = none",
            "calendar.dawn.step.2.count",
            "number",
        ),
        (
            "step.1.close = 3",
            "calendar.dawn.step.1.close",
            "no field of a step",
        ),
        (
            "step.2.classes = scan",
            "calendar.dawn.step.2.classes",
            "twice",
        ),
        (
            "step.4.classes = bind",
            "calendar.dawn.step.4.classes",
            "without a gap",
        ),
        (
            "step.3.classes = bind",
            "calendar.dawn.step.3.classes",
            "closes by",
        ),
    ];
    for (line, key, reason) in cases {
        let mut file = pairs(FILE);
        file.extend(pairs(&format!("calendar.dawn.{line}")));
        let error = Calendar::parse(&file).unwrap_err();
        assert_eq!(error.key, key);
        assert!(error.reason.contains(reason), "{line}: {error}");
    }
    let other = FILE.replace(".dawn.", ".noon.");
    let mut file = pairs(FILE);
    file.extend(pairs(&other));
    let error = Calendar::parse(&file).unwrap_err();
    assert!(error.reason.contains("stands in entry dawn too"), "{error}");
    let calendar = Calendar::parse(&pairs(FILE)).unwrap();
    let error = calendar.check_teams(|team| team == "post").unwrap_err();
    assert_eq!(error.key, "calendar.dawn.team");
}

#[test]
fn an_hour_that_clocks_skip_or_repeat_opens_one_run() {
    // Lisbon: 01:00 to 02:00 is skipped on 28 March 2027 and repeated on 31 October.
    for (first, due_s) in [("2027-03-26 01:30", 3600), ("2027-10-29 01:30", 5400)] {
        let file = FILE
            .replace("2027-01-04 22:00", first)
            .replace("due = 23:00", "due = 03:00");
        let calendar = Calendar::parse(&pairs(&file)).unwrap();
        let dawn = &calendar.entries["dawn"];
        let (mut at, mut found) = (0, Vec::new());
        while found.len() < 5 {
            at = dawn.openings.last_and_next(at).1.unwrap();
            found.push((at, dawn.due(at) - at));
        }
        let gaps: Vec<u64> = found.windows(2).map(|w| (w[1].0 - w[0].0) / 1000).collect();
        let spans: Vec<u64> = found.iter().map(|f| f.1 / 1000).collect();
        if due_s == 3600 {
            // 01:30 is skipped: it opens at 02:30 by the moved clocks.
            assert_eq!(gaps, [86400, 86400, 82800, 86400]);
            assert_eq!(spans, [5400, 5400, 1800, 5400, 5400]);
        } else {
            // 01:30 comes twice: the first one counts, and 03:00 is an hour further.
            assert_eq!(gaps, [86400, 86400, 90000, 86400]);
            assert_eq!(spans, [5400, 5400, 9000, 5400, 5400]);
        }
    }
}

#[test]
fn short_rules_are_found_from_near_and_other_rules_from_their_start() {
    for (rule, step_s) in [
        ("FREQ=MINUTELY;INTERVAL=7", 420),
        ("FREQ=HOURLY;INTERVAL=5", 18_000),
        ("FREQ=WEEKLY;BYDAY=MO", 604_800),
    ] {
        let file = FILE.replace("FREQ=DAILY", rule);
        let calendar = Calendar::parse(&pairs(&file)).unwrap();
        let openings = &calendar.entries["dawn"].openings;
        // Three weeks on: no change of clocks lies between.
        let (last, next) = openings.last_and_next(opening() + 1_814_400_000 + 1);
        assert_eq!((last.unwrap() - opening()) % (step_s * 1000), 0, "{rule}");
        assert_eq!(next.unwrap() - last.unwrap(), step_s * 1000, "{rule}");
        assert_eq!(
            openings.last_and_next(opening() - 1),
            (None, Some(opening()))
        );
    }
}

#[test]
fn a_leader_that_ends_after_a_steps_last_task_and_before_its_record_leaves_nothing_waiting() {
    let mut world = World::at(opening());
    world.submit("a", "scan");
    world.submit("c", "print");
    world.submit("b", "sort");
    assert!(!world.held("a") && world.held("c"));
    world.settle(1.0);
    world.end("a");
    world.settle(1.0);
    // The last job's end is recorded, that the step is finished is not.
    world.end("b");
    assert_eq!(world.said("step 1 finished"), 1);
    assert!(world.held("c"), "a successor would hold it back again");
    world.take_over();
    assert_eq!(world.said("step 1 finished"), 2);
    world.settle(0.0);
    assert!(!world.held("c"));
    // It stands: the next one neither waits for it nor takes jobs for it.
    world.submit("d", "scan");
    world.take_over();
    assert!(!world.held("c") && !world.held("d"));
    assert_eq!(world.said("step 1 finished"), 2);
}

#[test]
fn all_controllers_end_with_a_step_half_done_and_the_run_goes_on() {
    let mut world = World::at(opening());
    world.submit("a", "scan");
    world.submit("c", "print");
    world.settle(2.0);
    // Counted already, it is not counted again.
    world.take_over();
    assert_eq!(world.said("all have come"), 0);
    // It ends while nobody leads.
    world.jobs.remove("a");
    world.pass(90.0);
    world.take_over();
    world.submit("b", "scan");
    assert_eq!(world.said("all have come; 2 came"), 1);
    assert!(world.held("c"));
    world.end("b");
    world.settle(1.0);
    assert!(!world.held("c"));
}

#[test]
fn a_step_whose_jobs_never_come_holds_the_next_for_its_bound_only() {
    let mut world = World::at(opening());
    world.submit("c", "print");
    world.settle(299.0);
    assert!(world.held("c"));
    world.settle(1.0);
    assert!(!world.held("c"));
    assert_eq!(world.said("none came for its quiet time; 0 came"), 1);
    // Quiet counts from when the step begins: its jobs may only come then.
    let mut world = World::at(opening());
    world.file = FILE.replace("step.2.until = 30m", "step.2.quiet = 1m");
    world.take_over();
    world.settle(300.0);
    world.settle(59.0);
    assert_eq!(world.said("step 2 takes no more"), 0);
    world.settle(1.0);
    assert_eq!(world.said("step 2 takes no more"), 1);
    // By count alone it is held until the run is due, and let go then.
    let mut world = World::at(opening() - 60_000);
    world.file = FILE.replace("step.1.quiet = 5m", "step.1.takes = 1m");
    world.take_over();
    world.settle(60.0);
    world.submit("c", "print");
    world.settle(3599.0);
    assert!(world.held("c"));
    world.settle(1.0);
    assert!(!world.held("c"));
    assert_eq!(world.said("is due: lets go 1 jobs"), 1);
}

#[test]
fn jobs_that_fail_everywhere_or_are_cancelled_are_not_waited_for() {
    let mut world = World::at(opening());
    for (id, class) in [("a", "scan"), ("b", "scan"), ("c", "print")] {
        world.submit(id, class);
    }
    world.end("a");
    world.tracker.set_failing(world.at, "b", true);
    world.settle(30.0);
    // A try that ran longer clears it, and it is waited for anew.
    world.tracker.set_failing(world.at, "b", false);
    world.settle(40.0);
    assert!(world.held("c"));
    world.tracker.set_failing(world.at, "b", true);
    world.settle(59.0);
    assert!(world.held("c"));
    world.settle(1.0);
    assert!(!world.held("c"));
    assert_eq!(world.said("not waiting for b"), 1);
}

#[test]
fn a_changed_or_removed_entry_leaves_the_run_its_recorded_steps_until_it_ends() {
    for file in [
        String::new(),
        FILE.replace("22:00", "22:05").replace("scan", "mend"),
    ] {
        let mut world = World::at(opening());
        world.submit("a", "scan");
        world.submit("c", "print");
        world.settle(1.0);
        world.file = file.clone();
        world.take_over();
        world.settle(310.0);
        assert!(world.held("c"), "the step of the record is not finished");
        assert_eq!(world.said("opened"), 1);
        // Back and forth between two files: the record stands.
        world.file = FILE.to_owned();
        world.take_over();
        world.end("a");
        world.settle(1.0);
        assert!(!world.held("c"));
        world.file = file.clone();
        world.take_over();
        world.end("c");
        world.settle(1800.0);
        assert_eq!(world.said("ended"), 1);
        // The moved opening of tonight is no second run of tonight's.
        world.settle(60.0);
        assert_eq!(world.said("opened"), 1);
        assert_eq!(world.said("goes on with its recorded steps"), 2);
        // The next evening's run is of whoever leads then.
        world.settle(86_400.0 - 1800.0);
        assert_eq!(world.said("opened"), 1 + usize::from(!file.is_empty()));
    }
}

#[test]
fn a_run_that_is_open_as_the_next_opens_takes_no_more_and_goes_on_beside_it() {
    let mut world = World::at(opening());
    world.file = FILE
        .replace("FREQ=DAILY", "FREQ=MINUTELY;INTERVAL=10")
        .replace("step.1.quiet = 5m", "step.1.takes = 1m");
    world.take_over();
    world.submit("a1", "scan");
    world.submit("c1", "print");
    world.settle(600.0);
    world.submit("a2", "scan");
    world.submit("c2", "print");
    world.submit("b2", "scan");
    assert!(world.held("c1") && world.held("c2"));
    assert_eq!(world.said("step 1 takes no more jobs: the next run"), 1);
    world.end("a2");
    world.end("b2");
    world.settle(1.0);
    assert!(world.held("c1") && !world.held("c2"));
    world.take_over();
    assert!(world.held("c1") && !world.held("c2"));
    // Not more than three at once: the oldest gives up, and holds nothing.
    world.settle(600.0);
    assert!(world.held("c1"));
    world.settle(600.0);
    assert!(!world.held("c1"));
    assert_eq!(world.said("given up with 2 jobs"), 1);
    assert!(world.records.len() <= 3, "{:?}", world.records.keys());
}

#[test]
fn an_outage_over_the_opening_opens_the_run_late_and_over_the_due_time_not_at_all() {
    let mut world = World::at(opening() - 1000);
    world.jobs.insert("a".into(), ("scan", opening() + 1));
    world.jobs.insert("c".into(), ("print", opening() + 1));
    world.jobs.insert("old".into(), ("print", opening() - 1200));
    world.at.unix_ms = opening() + 1_200_000;
    world.take_over();
    assert_eq!(world.said("opened 1200.0 s after its time"), 1);
    assert!(world.held("c") && !world.held("old"));
    let mut world = World::at(opening() - 1000);
    world.jobs.insert("c".into(), ("print", opening() + 1));
    world.at.unix_ms = opening() + 3_600_000;
    world.take_over();
    assert!(!world.held("c"));
    assert_eq!((world.said("missed"), world.said("opened")), (1, 0));
}

#[test]
fn clocks_that_differ_by_the_bound_lose_no_job_of_the_run() {
    // Our clock is behind, the accepting node's ahead, by what they may be together.
    let mut world = World::at(opening() - SKEW_MS);
    assert_eq!(world.said("opened"), 1);
    world
        .jobs
        .insert("c".into(), ("print", opening() - SKEW_MS));
    world.offer();
    assert!(world.held("c"));
    // A job seen before its step closed, accepted by a clock ahead of the leader's.
    for id in ["a", "b"] {
        world
            .jobs
            .insert(id.into(), ("scan", world.at.unix_ms + 2 * SKEW_MS));
    }
    world.offer();
    world.tick();
    assert_eq!(world.said("all have come"), 1);
    world.settle(1.0);
    world.take_over();
    world.settle(0.0);
    assert_eq!(world.said("step 1 finished"), 0);
    assert!(world.held("c"));
    // At its closing hour jobs that clocks behind ours accepted are still of the step.
    world.at.unix_ms = opening() + 1_800_000 + SKEW_MS - 1;
    world.tick();
    assert_eq!(world.said("step 2 takes no more"), 0);
    world.pass(0.001);
    assert_eq!(world.said("step 2 takes no more"), 1);
}

#[test]
fn a_run_that_will_be_late_is_told_once_at_the_moment_that_shows_it() {
    let mut world = World::at(opening());
    world.submit("a", "scan");
    world.submit("b", "scan");
    world.submit("c", "print");
    // Step 2 takes ten minutes, so until 22:50 the run may be in time.
    let by = |world: &World, id| world.tracker.deadline_ms(id).unwrap() - opening();
    assert_eq!(by(&world, "a"), 3_000_000 - SKEW_MS);
    assert_eq!(by(&world, "c"), 3_600_000 - SKEW_MS);
    world.settle(2_999.0);
    assert_eq!(world.said("late"), 0);
    let next_tick_in_s = world.tracker.next_tick_in_s(world.at);
    assert!(next_tick_in_s <= 1.0, "{next_tick_in_s}");
    world.settle(2.0);
    assert_eq!(world.said("will be late by 1 s: step 1"), 1);
    world.take_over();
    world.settle(30.0);
    assert_eq!(world.said("will be late"), 1);
    // It is still wanted as soon as can be, late too: behind all that can be in time
    // it would wait for ever. After as long again it is like any other.
    assert!(by(&world, "a") >= 3_000_000);
    world.settle(600.0);
    assert!(by(&world, "a") > 3_630_000);
    world.settle(3_600.0);
    assert_eq!(world.tracker.deadline_ms("a"), None);
}

#[test]
fn what_a_step_took_is_learned_and_known_to_the_next_run_after_a_take_over() {
    let mut world = World::at(opening());
    for night in 0..2 {
        world.submit("a", "scan");
        world.submit("b", "scan");
        world.submit("c", "print");
        if night == 1 {
            // 100 s with a quarter of range twice.
            assert_eq!(
                world.tracker.deadline_ms("a"),
                Some(world.due() - SKEW_MS - 150_000)
            );
        }
        world.end("a");
        world.end("b");
        world.settle(1.0);
        world.settle(99.0);
        world.end("c");
        // It takes no more at 22:30.
        world.settle(1.0);
        world.settle(1700.0);
        if night == 0 {
            let record = world.records.values().next().unwrap();
            assert!(record.ended_ms.is_some());
            let mut record = record.clone();
            (record.steps[1].mean_s, record.steps[1].deviation_s) = (100.0, 25.0);
            world.records.insert(("dawn".into(), opening()), record);
            world.take_over();
            world.settle(86_400.0 - 1801.0);
        }
    }
    assert_eq!(world.records.len(), 1, "the older one has gone");
}

impl World {
    fn due(&self) -> UnixMs {
        self.records.values().last().map_or(0, |r| r.due_ms)
    }
}

proptest! {
    /// Jobs come, end and fail, leaders end, and writes get through or not. Nothing is
    /// held after the due time, what was let go is never held again, and a finished
    /// step stays finished.
    #[test]
    fn whatever_happens_in_whatever_order_nothing_is_held_twice_or_for_ever(
        steps in prop::collection::vec((0u8..7, 0usize..12, 0.0f64..240.0), 1..80)
    ) {
        const IDS: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
        let mut world = World::at(opening() - 100_000);
        let mut let_go: std::collections::BTreeSet<&str> = Default::default();
        let mut finished = 0;
        let mut seen: std::collections::BTreeSet<&str> = Default::default();
        for (kind, index, seconds) in steps {
            let id = IDS[index];
            match kind {
                0 | 1 if seen.insert(id) => {
                    world.submit(id, ["scan", "sort", "print"][index % 3]);
                }
                2 => world.end(id),
                3 => world.tracker.set_failing(world.at, id, index % 2 == 0),
                4 => world.take_over(),
                5 => world.write(),
                _ => world.pass(seconds),
            }
            let past = world.at.unix_ms >= opening() + 3_600_000;
            for id in &IDS {
                let held = world.held(id);
                prop_assert!(!held || !past, "{id} is held after the due time");
                prop_assert!(!held || !let_go.contains(id), "{id} is held again");
                // Before it belonged to a run it was not let go, only unknown.
                if world.jobs.contains_key(*id) && world.tracker.deadline_ms(id).is_some() && !held {
                    let_go.insert(id);
                }
            }
            let record = world.records.values().next();
            let now = record.map_or(0, |r| r.steps.iter().filter(|s| s.finished_ms.is_some()).count());
            prop_assert!(now >= finished);
            finished = now;
        }
    }
}
