//! Tests of the calendar's runs with leader changes, clocks that differ and changed properties.

use std::collections::BTreeMap;
use std::rc::Rc;

use proptest::prelude::*;
use umbersail_calendar::{
    AcceptedJob, Calendar, RunKey, RunRecord, RunTracker, Settings, Timestamp, UnixMs,
};

const SKEW_MS: u64 = 500;

const PROPERTIES: &str = "
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

fn parse_properties(text: &str) -> BTreeMap<String, String> {
    let lines = text.lines().filter_map(|line| line.split_once('='));
    lines
        .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
        .collect()
}

fn opening() -> UnixMs {
    Calendar::parse(&parse_properties(PROPERTIES))
        .unwrap()
        .entries["dawn"]
        .openings
        .last_and_next(0)
        .1
        .unwrap()
}

/// A simulated state service with stored records and jobs, and the tracker of the current leader.
struct TestCluster {
    properties: String,
    records: BTreeMap<RunKey, RunRecord>,
    jobs: BTreeMap<Rc<str>, (&'static str, UnixMs)>,
    tracker: RunTracker,
    at: Timestamp,
    log: Vec<String>,
}

impl TestCluster {
    fn at(start: UnixMs) -> TestCluster {
        let mut cluster = TestCluster {
            properties: PROPERTIES.to_owned(),
            records: BTreeMap::new(),
            jobs: BTreeMap::new(),
            tracker: RunTracker::new(Rc::default(), SETTINGS),
            at: Timestamp {
                steady_s: 7.0,
                unix_ms: start,
            },
            log: Vec::new(),
        };
        cluster.change_leader();
        cluster
    }

    /// Replaces the leader; the new leader reads the stored records.
    fn change_leader(&mut self) {
        self.at.steady_s += 5000.0;
        let calendar = Calendar::parse(&parse_properties(&self.properties)).unwrap();
        self.tracker = RunTracker::new(Rc::new(calendar), SETTINGS);
        for (key, record) in &self.records {
            (self.tracker.inherit(self.at, &key.0, record.clone())).unwrap();
        }
        self.pass_jobs_to_tracker();
        self.tick();
    }

    fn pass_jobs_to_tracker(&mut self) {
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
            self.pass_jobs_to_tracker();
            self.tick();
        }
    }

    /// Stores the records that are due to be stored.
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

    fn advance(&mut self, seconds: f64) {
        self.at.steady_s += seconds;
        self.at.unix_ms += (seconds * 1000.0) as u64;
        self.tick();
    }

    fn advance_and_write(&mut self, seconds: f64) {
        self.advance(seconds);
        for _ in 0..4 {
            self.write();
        }
    }

    fn submit(&mut self, id: &str, class: &'static str) {
        self.jobs.insert(id.into(), (class, self.at.unix_ms));
        self.pass_jobs_to_tracker();
        self.tick();
    }

    fn end_job(&mut self, id: &str) {
        self.jobs.remove(id);
        self.tracker.job_ended(self.at, id);
        self.tick();
    }

    fn is_held(&self, id: &str) -> bool {
        self.tracker.is_held(id)
    }

    fn logged(&self, text: &str) -> usize {
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
fn an_invalid_entry_is_rejected_with_its_key_and_the_reason() {
    let cases = [
        (
            "zone = Europe/Lissabon",
            "calendar.dawn.zone",
            "not the name of a time zone",
        ),
        (
            "opens = tonight",
            "calendar.dawn.opens",
            "not a time such as",
        ),
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
        (
            "colour = red",
            "calendar.dawn.colour",
            "not a field of an entry",
        ),
        (
            "step.2.count = none",
            "calendar.dawn.step.2.count",
            "number",
        ),
        (
            "step.1.close = 3",
            "calendar.dawn.step.1.close",
            "not a field of a step",
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
            "define when the step closes",
        ),
    ];
    for (line, key, reason) in cases {
        let mut properties = parse_properties(PROPERTIES);
        properties.extend(parse_properties(&format!("calendar.dawn.{line}")));
        let error = Calendar::parse(&properties).unwrap_err();
        assert_eq!(error.key, key);
        assert!(error.reason.contains(reason), "{line}: {error}");
    }
    let other = PROPERTIES.replace(".dawn.", ".noon.");
    let mut properties = parse_properties(PROPERTIES);
    properties.extend(parse_properties(&other));
    let error = Calendar::parse(&properties).unwrap_err();
    assert!(
        error.reason.contains("is also listed in entry dawn"),
        "{error}"
    );
    let calendar = Calendar::parse(&parse_properties(PROPERTIES)).unwrap();
    let error = calendar.check_teams(|team| team == "post").unwrap_err();
    assert_eq!(error.key, "calendar.dawn.team");
}

#[test]
fn a_local_time_that_is_skipped_or_repeated_opens_one_run() {
    // Lisbon: 01:00 to 02:00 is skipped on 28 March 2027 and repeated on 31 October.
    for (first, due_s) in [("2027-03-26 01:30", 3600), ("2027-10-29 01:30", 5400)] {
        let properties = PROPERTIES
            .replace("2027-01-04 22:00", first)
            .replace("due = 23:00", "due = 03:00");
        let calendar = Calendar::parse(&parse_properties(&properties)).unwrap();
        let dawn = &calendar.entries["dawn"];
        let (mut at, mut found) = (0, Vec::new());
        while found.len() < 5 {
            at = dawn.openings.last_and_next(at).1.unwrap();
            found.push((at, dawn.due(at) - at));
        }
        let gaps: Vec<u64> = found.windows(2).map(|w| (w[1].0 - w[0].0) / 1000).collect();
        let spans: Vec<u64> = found.iter().map(|f| f.1 / 1000).collect();
        if due_s == 3600 {
            // 01:30 is skipped, so the run opens at 02:30 daylight saving time.
            assert_eq!(gaps, [86400, 86400, 82800, 86400]);
            assert_eq!(spans, [5400, 5400, 1800, 5400, 5400]);
        } else {
            // 01:30 occurs twice; the first occurrence counts, so 03:00 is one hour later.
            assert_eq!(gaps, [86400, 86400, 90000, 86400]);
            assert_eq!(spans, [5400, 5400, 9000, 5400, 5400]);
        }
    }
}

#[test]
fn openings_of_hourly_minutely_and_weekly_rules_are_found() {
    for (rule, step_s) in [
        ("FREQ=MINUTELY;INTERVAL=7", 420),
        ("FREQ=HOURLY;INTERVAL=5", 18_000),
        ("FREQ=WEEKLY;BYDAY=MO", 604_800),
    ] {
        let properties = PROPERTIES.replace("FREQ=DAILY", rule);
        let calendar = Calendar::parse(&parse_properties(&properties)).unwrap();
        let openings = &calendar.entries["dawn"].openings;
        // Three weeks later, without a daylight saving change in between.
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
fn a_leader_change_before_a_finished_step_is_recorded_leaves_no_job_held() {
    let mut cluster = TestCluster::at(opening());
    cluster.submit("a", "scan");
    cluster.submit("c", "print");
    cluster.submit("b", "sort");
    assert!(!cluster.is_held("a") && cluster.is_held("c"));
    cluster.advance_and_write(1.0);
    cluster.end_job("a");
    cluster.advance_and_write(1.0);
    // The end of the last job is stored, but not the fact that the step has finished.
    cluster.end_job("b");
    assert_eq!(cluster.logged("finished step 1"), 1);
    assert!(
        cluster.is_held("c"),
        "a new leader would hold the job again"
    );
    cluster.change_leader();
    assert_eq!(cluster.logged("finished step 1"), 2);
    cluster.advance_and_write(0.0);
    assert!(!cluster.is_held("c"));
    // The finished step is stored: after another leader change, jobs neither wait for this step
    // nor are added to it.
    cluster.submit("d", "scan");
    cluster.change_leader();
    assert!(!cluster.is_held("c") && !cluster.is_held("d"));
    assert_eq!(cluster.logged("finished step 1"), 2);
}

#[test]
fn a_run_continues_after_all_controllers_restart_during_a_step() {
    let mut cluster = TestCluster::at(opening());
    cluster.submit("a", "scan");
    cluster.submit("c", "print");
    cluster.advance_and_write(2.0);
    // The new leader does not count job "a" again.
    cluster.change_leader();
    assert_eq!(cluster.logged("all expected jobs were accepted"), 0);
    // Job "a" ends while there is no leader.
    cluster.jobs.remove("a");
    cluster.advance(90.0);
    cluster.change_leader();
    cluster.submit("b", "scan");
    assert_eq!(
        cluster.logged("all expected jobs were accepted; 2 jobs accepted"),
        1
    );
    assert!(cluster.is_held("c"));
    cluster.end_job("b");
    cluster.advance_and_write(1.0);
    assert!(!cluster.is_held("c"));
}

#[test]
fn a_step_without_jobs_holds_the_next_step_until_its_limit() {
    let mut cluster = TestCluster::at(opening());
    cluster.submit("c", "print");
    cluster.advance_and_write(299.0);
    assert!(cluster.is_held("c"));
    cluster.advance_and_write(1.0);
    assert!(!cluster.is_held("c"));
    assert_eq!(
        cluster.logged("no job arrived during its quiet time; 0 jobs accepted"),
        1
    );
    // The quiet time is measured from the begin of the step, because jobs of the step may arrive
    // only then.
    let mut cluster = TestCluster::at(opening());
    cluster.properties = PROPERTIES.replace("step.2.until = 30m", "step.2.quiet = 1m");
    cluster.change_leader();
    cluster.advance_and_write(300.0);
    cluster.advance_and_write(59.0);
    assert_eq!(cluster.logged("closed step 2"), 0);
    cluster.advance_and_write(1.0);
    assert_eq!(cluster.logged("closed step 2"), 1);
    // A step that closes by count alone holds the next step until the run is due.
    let mut cluster = TestCluster::at(opening() - 60_000);
    cluster.properties = PROPERTIES.replace("step.1.quiet = 5m", "step.1.takes = 1m");
    cluster.change_leader();
    cluster.advance_and_write(60.0);
    cluster.submit("c", "print");
    cluster.advance_and_write(3599.0);
    assert!(cluster.is_held("c"));
    cluster.advance_and_write(1.0);
    assert!(!cluster.is_held("c"));
    assert_eq!(cluster.logged("is due: releases 1 held jobs"), 1);
}

#[test]
fn a_step_does_not_wait_for_jobs_that_fail_on_every_machine() {
    let mut cluster = TestCluster::at(opening());
    for (id, class) in [("a", "scan"), ("b", "scan"), ("c", "print")] {
        cluster.submit(id, class);
    }
    cluster.end_job("a");
    cluster.tracker.set_failing(cluster.at, "b", true);
    cluster.advance_and_write(30.0);
    // An attempt that runs longer ends the suspicion, so the step waits for the job again.
    cluster.tracker.set_failing(cluster.at, "b", false);
    cluster.advance_and_write(40.0);
    assert!(cluster.is_held("c"));
    cluster.tracker.set_failing(cluster.at, "b", true);
    cluster.advance_and_write(59.0);
    assert!(cluster.is_held("c"));
    cluster.advance_and_write(1.0);
    assert!(!cluster.is_held("c"));
    assert_eq!(cluster.logged("not waiting for b"), 1);
}

#[test]
fn a_run_keeps_its_recorded_steps_when_its_entry_is_changed_or_removed() {
    for properties in [
        String::new(),
        PROPERTIES.replace("22:00", "22:05").replace("scan", "mend"),
    ] {
        let mut cluster = TestCluster::at(opening());
        cluster.submit("a", "scan");
        cluster.submit("c", "print");
        cluster.advance_and_write(1.0);
        cluster.properties = properties.clone();
        cluster.change_leader();
        cluster.advance_and_write(310.0);
        assert!(
            cluster.is_held("c"),
            "the step of the record is not finished"
        );
        assert_eq!(cluster.logged("opened"), 1);
        // Leaders with the old and the new properties alternate; both keep the recorded steps.
        cluster.properties = PROPERTIES.to_owned();
        cluster.change_leader();
        cluster.end_job("a");
        cluster.advance_and_write(1.0);
        assert!(!cluster.is_held("c"));
        cluster.properties = properties.clone();
        cluster.change_leader();
        cluster.end_job("c");
        cluster.advance_and_write(1800.0);
        assert_eq!(cluster.logged("ended"), 1);
        // The changed opening time on the same evening does not open a second run.
        cluster.advance_and_write(60.0);
        assert_eq!(cluster.logged("opened"), 1);
        assert_eq!(cluster.logged("continues with its recorded steps"), 2);
        // The next evening's run is opened from the properties of the leader at that time.
        cluster.advance_and_write(86_400.0 - 1800.0);
        assert_eq!(
            cluster.logged("opened"),
            1 + usize::from(!properties.is_empty())
        );
    }
}

#[test]
fn a_run_accepts_no_jobs_but_continues_when_the_next_run_opens() {
    let mut cluster = TestCluster::at(opening());
    cluster.properties = PROPERTIES
        .replace("FREQ=DAILY", "FREQ=MINUTELY;INTERVAL=10")
        .replace("step.1.quiet = 5m", "step.1.takes = 1m");
    cluster.change_leader();
    cluster.submit("a1", "scan");
    cluster.submit("c1", "print");
    cluster.advance_and_write(600.0);
    cluster.submit("a2", "scan");
    cluster.submit("c2", "print");
    cluster.submit("b2", "scan");
    assert!(cluster.is_held("c1") && cluster.is_held("c2"));
    assert_eq!(cluster.logged("closed step 1: the next run"), 1);
    cluster.end_job("a2");
    cluster.end_job("b2");
    cluster.advance_and_write(1.0);
    assert!(cluster.is_held("c1") && !cluster.is_held("c2"));
    cluster.change_leader();
    assert!(cluster.is_held("c1") && !cluster.is_held("c2"));
    // At most three runs are active at once: the oldest run is given up and holds no jobs.
    cluster.advance_and_write(600.0);
    assert!(cluster.is_held("c1"));
    cluster.advance_and_write(600.0);
    assert!(!cluster.is_held("c1"));
    assert_eq!(cluster.logged("given up with 2 unfinished jobs"), 1);
    assert!(cluster.records.len() <= 3, "{:?}", cluster.records.keys());
}

#[test]
fn after_an_outage_a_run_opens_late_unless_its_due_time_has_passed() {
    let mut cluster = TestCluster::at(opening() - 1000);
    cluster.jobs.insert("a".into(), ("scan", opening() + 1));
    cluster.jobs.insert("c".into(), ("print", opening() + 1));
    cluster
        .jobs
        .insert("old".into(), ("print", opening() - 1200));
    cluster.at.unix_ms = opening() + 1_200_000;
    cluster.change_leader();
    assert_eq!(cluster.logged("opened 1200.0 s after its opening time"), 1);
    assert!(cluster.is_held("c") && !cluster.is_held("old"));
    let mut cluster = TestCluster::at(opening() - 1000);
    cluster.jobs.insert("c".into(), ("print", opening() + 1));
    cluster.at.unix_ms = opening() + 3_600_000;
    cluster.change_leader();
    assert!(!cluster.is_held("c"));
    assert_eq!((cluster.logged("missed"), cluster.logged("opened")), (1, 0));
}

#[test]
fn no_job_is_lost_when_clocks_differ_by_the_maximum_skew() {
    // The leader's clock is behind and the accepting controller's clock is ahead; together they
    // differ by the maximum.
    let mut cluster = TestCluster::at(opening() - SKEW_MS);
    assert_eq!(cluster.logged("opened"), 1);
    cluster
        .jobs
        .insert("c".into(), ("print", opening() - SKEW_MS));
    cluster.pass_jobs_to_tracker();
    assert!(cluster.is_held("c"));
    // Jobs that the leader received before the step closed, accepted by a controller whose clock
    // is ahead of the leader's clock.
    for id in ["a", "b"] {
        cluster
            .jobs
            .insert(id.into(), ("scan", cluster.at.unix_ms + 2 * SKEW_MS));
    }
    cluster.pass_jobs_to_tracker();
    cluster.tick();
    assert_eq!(cluster.logged("all expected jobs were accepted"), 1);
    cluster.advance_and_write(1.0);
    cluster.change_leader();
    cluster.advance_and_write(0.0);
    assert_eq!(cluster.logged("finished step 1"), 0);
    assert!(cluster.is_held("c"));
    // At the closing time, a job may still arrive from a controller whose clock is behind the
    // leader's clock. Such a job belongs to the step.
    cluster.at.unix_ms = opening() + 1_800_000 + SKEW_MS - 1;
    cluster.tick();
    assert_eq!(cluster.logged("closed step 2"), 0);
    cluster.advance(0.001);
    assert_eq!(cluster.logged("closed step 2"), 1);
}

#[test]
fn expected_lateness_is_reported_once_and_as_early_as_possible() {
    let mut cluster = TestCluster::at(opening());
    cluster.submit("a", "scan");
    cluster.submit("b", "scan");
    cluster.submit("c", "print");
    // Step 2 takes ten minutes, so the run can end in time if step 1 ends by 22:50.
    let deadline_after_opening =
        |cluster: &TestCluster, id| cluster.tracker.deadline_ms(id).unwrap() - opening();
    assert_eq!(deadline_after_opening(&cluster, "a"), 3_000_000 - SKEW_MS);
    assert_eq!(deadline_after_opening(&cluster, "c"), 3_600_000 - SKEW_MS);
    cluster.advance_and_write(2_999.0);
    assert_eq!(cluster.logged("late"), 0);
    let next_tick_in_s = cluster.tracker.next_tick_in_s(cluster.at);
    assert!(next_tick_in_s <= 1.0, "{next_tick_in_s}");
    cluster.advance_and_write(2.0);
    assert_eq!(cluster.logged("will be late by 1 s: step 1"), 1);
    cluster.change_leader();
    cluster.advance_and_write(30.0);
    assert_eq!(cluster.logged("will be late"), 1);
    // Jobs of a late run still get deadlines, because without them they could wait without limit
    // behind jobs that can meet their deadlines. When the run is late by as much time as there was
    // between its opening and its due time, its jobs have no deadlines.
    assert!(deadline_after_opening(&cluster, "a") >= 3_000_000);
    cluster.advance_and_write(600.0);
    assert!(deadline_after_opening(&cluster, "a") > 3_630_000);
    cluster.advance_and_write(3_600.0);
    assert_eq!(cluster.tracker.deadline_ms("a"), None);
}

#[test]
fn the_duration_of_a_step_is_learned_and_kept_across_a_leader_change() {
    let mut cluster = TestCluster::at(opening());
    for night in 0..2 {
        cluster.submit("a", "scan");
        cluster.submit("b", "scan");
        cluster.submit("c", "print");
        if night == 1 {
            // A mean of 100 s plus two mean deviations of a quarter of the mean.
            assert_eq!(
                cluster.tracker.deadline_ms("a"),
                Some(cluster.due() - SKEW_MS - 150_000)
            );
        }
        cluster.end_job("a");
        cluster.end_job("b");
        cluster.advance_and_write(1.0);
        cluster.advance_and_write(99.0);
        cluster.end_job("c");
        // Step 2 closes at 22:30.
        cluster.advance_and_write(1.0);
        cluster.advance_and_write(1700.0);
        if night == 0 {
            let record = cluster.records.values().next().unwrap();
            assert!(record.ended_ms.is_some());
            let mut record = record.clone();
            (record.steps[1].mean_s, record.steps[1].deviation_s) = (100.0, 25.0);
            cluster.records.insert(("dawn".into(), opening()), record);
            cluster.change_leader();
            cluster.advance_and_write(86_400.0 - 1801.0);
        }
    }
    assert_eq!(
        cluster.records.len(),
        1,
        "the record of the older run was removed"
    );
}

impl TestCluster {
    fn due(&self) -> UnixMs {
        self.records.values().last().map_or(0, |r| r.due_ms)
    }
}

proptest! {
    /// Jobs arrive, end and fail, leaders change, and records are stored or not, in any order. No
    /// job is held after the due time, a released job is never held again, and a finished step
    /// stays finished.
    #[test]
    fn no_job_is_held_again_after_its_release_or_after_the_due_time(
        steps in prop::collection::vec((0u8..7, 0usize..12, 0.0f64..240.0), 1..80)
    ) {
        const IDS: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
        let mut cluster = TestCluster::at(opening() - 100_000);
        let mut released: std::collections::BTreeSet<&str> = Default::default();
        let mut finished = 0;
        let mut seen: std::collections::BTreeSet<&str> = Default::default();
        for (kind, index, seconds) in steps {
            let id = IDS[index];
            match kind {
                0 | 1 if seen.insert(id) => {
                    cluster.submit(id, ["scan", "sort", "print"][index % 3]);
                }
                2 => cluster.end_job(id),
                3 => cluster.tracker.set_failing(cluster.at, id, index % 2 == 0),
                4 => cluster.change_leader(),
                5 => cluster.write(),
                _ => cluster.advance(seconds),
            }
            let past = cluster.at.unix_ms >= opening() + 3_600_000;
            for id in &IDS {
                let held = cluster.is_held(id);
                prop_assert!(!held || !past, "{id} is held after the due time");
                prop_assert!(!held || !released.contains(id), "{id} is held again");
                // A job that does not belong to a run yet was not released.
                if cluster.jobs.contains_key(*id) && cluster.tracker.deadline_ms(id).is_some() && !held {
                    released.insert(id);
                }
            }
            let record = cluster.records.values().next();
            let now = record.map_or(0, |r| r.steps.iter().filter(|s| s.finished_ms.is_some()).count());
            prop_assert!(now >= finished);
            finished = now;
        }
    }
}
