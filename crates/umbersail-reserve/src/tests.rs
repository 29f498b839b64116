//! Entries, admission and rounds against a scripted cloud and leaders that end.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use umbersail_policy::{Shape, TeamLimits};
use umbersail_wire::{MachineType, Priority};

use crate::*;

const SETTINGS: Settings = Settings {
    settings_delay_s: 45.0,
    lead_margin_s: 30.0,
    max_lead_s: 1800.0,
    boot_quantile: 0.95,
    boot_timeout_factor: 3.0,
    boot_timeout_margin_s: 10.0,
    max_machines_per_request: 50,
    max_pending_requests: 8,
    max_machines: 1000,
    borrow_after_s: 200.0,
    guarantee_wait_s: 20.0,
};

fn teams() -> Vec<TeamLimits> {
    let team = |name: &str, cpus_max| TeamLimits {
        name: name.into(),
        max_cpus: cpus_max,
        ..TeamLimits::default()
    };
    vec![team("floats", 0.0), team("tickets", 64.0)]
}

fn machine_type(name: &str, cpus: f64, zones: &[&str]) -> MachineType {
    MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 4.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 1.0,
        price: cpus / 8.0,
        spot_price: Some(cpus / 24.0),
        boot_s: 40.0,
        zones: zones.iter().map(|z| (*z).to_owned()).collect(),
    }
}

fn types() -> Vec<MachineType> {
    vec![
        machine_type("m8", 8.0, &["a", "b"]),
        machine_type("m32", 32.0, &["a", "b"]),
    ]
}

fn parse(text: &str) -> Result<Reservations, EntryError> {
    let pairs = text.lines().filter_map(|line| line.trim().split_once('='));
    let pairs = pairs.map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()));
    let facts = EntryLimits {
        teams: &teams(),
        max_entries: 64,
        max_machines: 1000,
    };
    Reservations::parse(&pairs.collect(), &facts)
}

/// An entry of `floats` by its machines, from and to these seconds.
fn entry(name: &str, machines: &str, from_s: i64, to_s: i64) -> String {
    let time = |s| jiff::Timestamp::from_second(s).unwrap();
    format!(
        "reserve.{name}.team = floats\nreserve.{name}.machines = {machines}\n\
         reserve.{name}.from = {}\nreserve.{name}.to = {}\n",
        time(from_s),
        time(to_s)
    )
}

#[derive(Debug, Clone)]
struct Rented {
    type_index: usize,
    zone: String,
    spot: bool,
    availability: Availability,
    idle: bool,
}

/// A cloud, the records as they stand, and what the present leader makes of them.
struct World {
    entries: Reservations,
    types: Vec<MachineType>,
    now_s: f64,
    leader_for_s: f64,
    machines: BTreeMap<String, Rented>,
    /// What the cloud answered, by request: again the same.
    answers: BTreeMap<String, Vec<String>>,
    refuses: BTreeSet<(usize, String, bool)>,
    records: BTreeMap<String, ReservationRecord>,
    recorded: BTreeMap<String, ReservationRecord>,
    free: Vec<String>,
    names: u64,
    told: Vec<Notice>,
}

impl World {
    fn new(text: &str) -> World {
        World {
            entries: parse(text).unwrap(),
            types: types(),
            now_s: 10_000.0,
            leader_for_s: 0.0,
            machines: BTreeMap::new(),
            answers: BTreeMap::new(),
            refuses: BTreeSet::new(),
            records: BTreeMap::new(),
            recorded: BTreeMap::new(),
            free: Vec::new(),
            names: 0,
            told: Vec::new(),
        }
    }

    fn plan(&mut self) {
        let boots = BootTimeStats::new(64, 8);
        let view = |rented: &Rented| (rented.type_index, rented.zone.clone(), rented.clone());
        let all: Vec<_> = self.machines.iter().map(|(n, m)| (n, view(m))).collect();
        let held = all.iter().map(|(name, (type_index, zone, m))| {
            let machine = ReservableMachine {
                type_index: *type_index,
                zone,
                spot: m.spot,
                availability: m.availability,
                idle: m.idle,
            };
            (name.as_str(), machine)
        });
        let machines: BTreeMap<&str, ReservableMachine<'_>> = held.collect();
        let free = machines
            .iter()
            .filter(|(name, _)| self.free.iter().any(|f| f == *name))
            .map(|(name, m)| (*name, *m))
            .collect();
        let refuses = &self.refuses;
        let view = ClusterView {
            now_ms: (self.now_s * 1000.0) as u64,
            leader_for_s: self.leader_for_s,
            types: &self.types,
            teams: &teams(),
            machines: &machines,
            idle_machines: &free,
            is_refused: &|index, zone, spot| refuses.contains(&(index, zone.to_owned(), spot)),
            largest_tasks: &BTreeMap::new(),
            boot_times: &boots,
            settings: &SETTINGS,
        };
        let names = &mut self.names;
        let mut name = || {
            *names += 1;
            format!("r{names}")
        };
        let told = plan(&self.entries, &mut self.records, &view, &mut name);
        self.told.extend(told);
    }

    fn record(&mut self) {
        self.recorded = self.records.clone();
    }

    /// Sends what is recorded; `heard` tells whether the answers come.
    fn ask(&mut self, heard: bool) {
        for (name, record) in self.recorded.clone() {
            for batch in record.pending_requests() {
                let request = batch.request.clone().unwrap();
                let index = self.types.iter().position(|t| t.name == batch.machine_type);
                let key = (index.unwrap(), batch.zone.clone(), batch.spot);
                if !self.answers.contains_key(&request) && self.refuses.contains(&key) {
                    self.records
                        .get_mut(&name)
                        .unwrap()
                        .record_refusal(&request);
                    continue;
                }
                let (count, already) = (batch.count, self.machines.len());
                let machines = &mut self.machines;
                let answer = self.answers.entry(request.clone()).or_insert_with(|| {
                    let new = (0..count).map(|i| format!("h{:05}", already + i as usize));
                    let new: Vec<String> = new.collect();
                    for name in &new {
                        machines.insert(
                            name.clone(),
                            Rented {
                                type_index: key.0,
                                zone: key.1.clone(),
                                spot: key.2,
                                availability: Availability::Booting,
                                idle: true,
                            },
                        );
                    }
                    new
                });
                if heard && let Some(record) = self.records.get_mut(&name) {
                    record.record_answer(&request, answer);
                }
            }
        }
    }

    fn round(&mut self) {
        self.plan();
        self.record();
        self.ask(true);
        self.record();
        self.now_s += 1.0;
        self.leader_for_s += 1.0;
    }

    fn rounds(&mut self, n: usize) {
        (0..n).for_each(|_| self.round());
    }

    /// The leader ends; its successor reads what is recorded.
    fn take_over(&mut self) {
        self.records = self.recorded.clone();
        self.leader_for_s = 0.0;
    }

    fn boot(&mut self) {
        for machine in self.machines.values_mut() {
            machine.availability = Availability::Available;
        }
    }

    fn held(&self, name: &str) -> usize {
        self.records.get(name).map_or(0, |r| r.machines().count())
    }

    fn told(&self, name: &str, kind: impl Fn(&NoticeKind) -> bool) -> bool {
        self.told.iter().any(|n| n.entry == name && kind(&n.kind))
    }
}

#[test]
fn a_bad_entry_is_refused_with_its_key_and_the_reason() {
    let good = "reserve.x.team = tickets\nreserve.x.cpus = 32\nreserve.x.time_zone = Europe/Lisbon\n\
                reserve.x.from = 2027-02-05T18:00\nreserve.x.to = 2027-02-09T06:00\n";
    assert!(parse(good).is_ok());
    let weekly = "reserve.x.recurrence = 0 9 * * SAT\nreserve.x.length = 10h\n";
    for (change, key, reason) in [
        ("reserve.x.cpus = 65", "cpus", "exceeds the limit"),
        ("reserve.x.team = nobody", "team", "is unknown"),
        ("reserve.x.machines = m8:2", "cpus", "cannot be combined"),
        (
            "reserve.x.to = 2027-02-05T18:00",
            "to",
            "not after the start",
        ),
        ("reserve.x.to = soon", "to", "neither"),
        ("reserve.x.time_zone = Mars/Base", "time_zone", "unknown"),
        ("reserve.x.length = 2h", "length", "recurrence only"),
        (
            "reserve.x.borrow = nobody, crops",
            "borrow",
            "cannot be combined",
        ),
        ("reserve.x.spot = maybe", "spot", "true or false"),
        ("reserve.x.cpu = 3", "cpu", "no such field"),
        ("reserve.x.cpus = NaN", "cpus", "must be a number"),
        ("reserve.x.recurrence = 0 9 * * FRI", "length", "missing"),
        (
            "reserve.x.recurrence = at noon\nreserve.x.length = 2h",
            "recurrence",
            "not a cron pattern",
        ),
        (
            "reserve.x.recurrence = 0 9 * * *\nreserve.x.length = 25h",
            "length",
            "overlap",
        ),
        (
            "reserve.x.recurrence = 0 9 30 2 *\nreserve.x.length = 2h",
            "recurrence",
            "never",
        ),
    ] {
        let error = parse(&format!("{good}{change}\n")).unwrap_err();
        assert_eq!(error.key, format!("reserve.x.{key}"), "{change}: {error}");
        assert!(error.reason.contains(reason), "{change}: {error}");
    }
    assert!(parse(&format!("{good}{weekly}")).is_ok());
    assert!(parse("reserve.x = 3\n").is_err());
}

#[test]
fn a_window_is_as_long_as_it_says_across_a_change_of_clocks() {
    let entries = parse(
        "reserve.x.team = floats\nreserve.x.cpus = 8\nreserve.x.time_zone = Europe/Lisbon\n\
         reserve.x.recurrence = 0 22 * * SAT\nreserve.x.length = 10h\n",
    )
    .unwrap();
    let ms = |text: &str| text.parse::<jiff::Timestamp>().unwrap().as_millisecond() as u64;
    let window = |at: &str| entries.get("x").unwrap().window_at(ms(at)).unwrap();
    // On 2027-03-28 clocks go forward at 01:00: the window ends at 09:00 local time.
    let over_night = Window {
        from_ms: ms("2027-03-27T22:00:00Z"),
        to_ms: ms("2027-03-28T08:00:00Z"),
    };
    assert_eq!(window("2027-03-27T20:00:00Z"), over_night);
    assert_eq!(window("2027-03-28T07:59:59Z"), over_night, "already begun");
    let next = window("2027-03-28T08:00:00Z");
    assert_eq!(next.from_ms, ms("2027-04-03T21:00:00Z"), "summer time");
}

#[test]
fn admission_is_by_catalogue_limit_and_what_was_promised_before() {
    let of = |name: &str, rest: &str| {
        entry(name, "m8:2", 20_000, 30_000)
            .replace("floats", "tickets")
            .replace("m8:2", rest)
    };
    let mut world = World::new(&[of("a", "m8:6"), of("b", "m8:4"), of("c", "m99:1")].concat());
    world.round();
    assert_eq!(world.records["a"].admission, Admission::Full);
    let Admission::Partial(reason) = &world.records["b"].admission else {
        panic!("{:?}", world.records["b"]);
    };
    assert!(
        reason.contains("limit of 64 CPUs") && reason.contains('a'),
        "{reason}"
    );
    assert_eq!(world.records["b"].items[0].count, 2);
    assert!(matches!(&world.records["c"].admission, Admission::Rejected(r) if r.contains("m99")));
    // What comes later in time of admission comes last, whatever its name.
    world.entries = parse(&[of("b", "m8:4"), of("a", "m8:6"), of("0", "m8:3")].concat()).unwrap();
    world.rounds(60);
    assert_eq!(world.records["a"].admission, Admission::Full);
    assert!(matches!(
        world.records["0"].admission,
        Admission::Rejected(_)
    ));
    // Once the first is withdrawn there is more for those after it.
    world.entries = parse(&[of("b", "m8:4"), of("0", "m8:3")].concat()).unwrap();
    world.rounds(2);
    assert!(world.told("a", |w| matches!(w, NoticeKind::Withdrawn { .. })));
    assert_eq!(world.records["b"].admission, Admission::Full);
}

#[test]
fn renting_begins_by_two_boots_ahead_and_ends_with_the_window() {
    let mut world = World::new(&entry("fair", "m8:70", 10_400, 11_000));
    // Two boots of 60 s, 130 s until one is given up, and the margin.
    while world.now_s < 10_119.0 {
        world.round();
        assert_eq!(world.held("fair"), 0, "{}", world.now_s);
    }
    world.rounds(2);
    assert_eq!(world.held("fair"), 70);
    let counts = |zone: &str| world.machines.values().filter(|m| m.zone == zone).count();
    assert_eq!((counts("a"), counts("b")), (35, 35), "spread over zones");
    assert!(world.machines.values().all(|m| !m.spot));
    world.boot();
    world.rounds(890);
    assert!(world.told("fair", |w| *w
        == NoticeKind::Opened {
            available: 70,
            promised: 70
        }));
    assert!(world.told("fair", |w| *w == NoticeKind::Expired { machines: 70 }));
    assert!(world.records.is_empty());
    assert_eq!(world.machines.len(), 70, "nothing was rented twice");
}

#[test]
fn a_window_already_begun_is_served_at_once() {
    let mut world = World::new(&entry("fair", "m8:3", 9_000, 11_000));
    world.round();
    assert_eq!(world.held("fair"), 3);
    assert!(world.told("fair", |w| *w
        == NoticeKind::Opened {
            available: 0,
            promised: 3
        }));
}

#[test]
fn a_refusal_is_worked_around_by_zone_then_kind_then_type_and_told() {
    let mut world = World::new(&format!(
        "{}reserve.fair.spot = true\n",
        entry("fair", "m8:4", 9_000, 11_000)
    ));
    let refuse = |world: &mut World, index: usize, zone: &str, spot| {
        world.refuses.insert((index, zone.to_owned(), spot));
    };
    refuse(&mut world, 0, "a", true);
    world.rounds(2);
    assert!(world.machines.values().all(|m| m.zone == "b" && m.spot));
    assert_eq!(world.held("fair"), 4);
    world.machines.clear();
    refuse(&mut world, 0, "b", true);
    world.rounds(2);
    assert!(
        world
            .machines
            .values()
            .all(|m| m.type_index == 0 && !m.spot)
    );
    world.machines.clear();
    for zone in ["a", "b"] {
        refuse(&mut world, 0, zone, false);
    }
    world.rounds(2);
    assert!(world.machines.values().all(|m| m.type_index == 1));
    assert_eq!(
        world.held("fair"),
        4,
        "a larger one stands for one that was asked for"
    );
    for zone in ["a", "b"] {
        refuse(&mut world, 1, zone, false);
        refuse(&mut world, 1, zone, true);
    }
    world.machines.clear();
    world.rounds(2);
    assert!(world.told(
        "fair",
        |w| matches!(w, NoticeKind::Shortfall(r) if r.contains("m8"))
    ));
    world.refuses.clear();
    world.rounds(2);
    assert_eq!(world.held("fair"), 4);
    assert!(world.told("fair", |w| *w == NoticeKind::Fulfilled));
}

#[test]
fn what_dies_goes_silent_or_is_lent_for_good_is_replaced_and_given_back_once_it_is_back() {
    let mut world = World::new(&entry("fair", "m8:4", 9_000, 11_000));
    world.rounds(2);
    world.boot();
    let names: Vec<String> = world.records["fair"]
        .machines()
        .map(str::to_owned)
        .collect();
    world.machines.remove(&names[0]);
    world.machines.get_mut(&names[1]).unwrap().availability = Availability::Unavailable;
    world.machines.get_mut(&names[2]).unwrap().availability = Availability::Borrowed;
    world.machines.get_mut(&names[2]).unwrap().idle = false;
    world.names = 100;
    world.rounds(2);
    assert_eq!(
        world.held("fair"),
        6,
        "three of four and three in their stead"
    );
    world.boot();
    world.rounds(2);
    assert_eq!(world.held("fair"), 4);
    assert!(
        world.records["fair"].machines().any(|m| m == names[2]),
        "in use"
    );
}

#[test]
fn shortened_moved_and_withdrawn_ones_give_up_just_what_they_need_not() {
    let mut world = World::new(&entry("fair", "m8:4", 9_000, 12_000));
    world.rounds(60);
    world.boot();
    let before = world.records["fair"].admitted_ms;
    world.entries = parse(&entry("fair", "m8:4", 9_000, 11_000)).unwrap();
    world.round();
    assert_eq!(world.records["fair"].window.to_ms, 11_000_000);
    assert_eq!(world.records["fair"].admitted_ms, before, "keeps its place");
    assert_eq!(world.held("fair"), 4);
    world.entries = parse(&entry("fair", "m8:1", 9_000, 11_000)).unwrap();
    world.rounds(2);
    assert_eq!(world.held("fair"), 1);
    // Moved away: nothing is held until it is due again.
    world.entries = parse(&entry("fair", "m8:1", 11_000, 12_000)).unwrap();
    world.rounds(2);
    assert_eq!(world.held("fair"), 0);
    assert_eq!(world.machines.len(), 4);
    // A new leader heeds no change of its file at once: two files may be about.
    world.take_over();
    world.entries = parse("").unwrap();
    world.rounds(45);
    assert!(world.records.contains_key("fair"));
    world.rounds(2);
    assert!(world.records.is_empty());
}

#[test]
fn the_one_admitted_first_takes_from_the_other_where_the_cloud_has_no_more() {
    let mut world = World::new(&entry("zoo", "m8:3", 9_500, 12_000));
    world.rounds(50);
    world.entries = parse(&format!(
        "{}{}",
        entry("zoo", "m8:3", 9_500, 12_000),
        entry("ball", "m8:3", 9_500, 12_000)
    ))
    .unwrap();
    world.rounds(2);
    world.boot();
    assert_eq!((world.held("zoo"), world.held("ball")), (3, 3));
    for index in [0, 1] {
        for zone in ["a", "b"] {
            world.refuses.insert((index, zone.to_owned(), false));
        }
    }
    let lost = world.records["zoo"].machines().next().unwrap().to_owned();
    world.machines.remove(&lost);
    world.rounds(3);
    assert_eq!((world.held("zoo"), world.held("ball")), (3, 2));
    assert!(world.told(
        "zoo",
        |w| matches!(w, NoticeKind::Reassigned { from, .. } if from == "ball")
    ));
    assert!(world.told("ball", |w| matches!(w, NoticeKind::Shortfall(_))));
}

#[test]
fn idle_machines_that_nobody_holds_are_taken_before_any_is_rented() {
    let mut world = World::new(&entry("fair", "m8:2", 9_000, 11_000));
    world.machines.insert(
        "x".into(),
        Rented {
            type_index: 0,
            zone: "a".into(),
            spot: false,
            availability: Availability::Available,
            idle: true,
        },
    );
    world.free.push("x".into());
    world.round();
    assert_eq!(world.held("fair"), 2);
    assert_eq!(world.machines.len(), 2);
}

#[test]
fn amounts_are_met_by_types_that_take_the_largest_task_seen() {
    let text = "reserve.x.team = floats\nreserve.x.cpus = 100\nreserve.x.from = 1970-01-01T00:00Z\n\
                reserve.x.to = 1970-01-02T00:00Z\n";
    let mut world = World::new(text);
    world.types[1].price = 100.0;
    world.rounds(2);
    assert_eq!(world.records["x"].items[0].machine_type, "m8");
    assert_eq!(world.held("x"), 13);
    let largest = BTreeMap::from([(
        "x".to_owned(),
        Shape {
            cpus: 16.0,
            ..Shape::default()
        },
    )]);
    let view = ClusterView {
        now_ms: 0,
        leader_for_s: 0.0,
        types: &world.types,
        teams: &teams(),
        machines: &BTreeMap::new(),
        idle_machines: &BTreeMap::new(),
        is_refused: &|_, _, _| false,
        largest_tasks: &largest,
        boot_times: &BootTimeStats::new(8, 8),
        settings: &SETTINGS,
    };
    let mut records = BTreeMap::new();
    plan(&world.entries, &mut records, &view, &mut || "r".into());
    assert_eq!(records["x"].items[0].machine_type, "m32");
}

#[test]
fn boots_are_learned_with_their_tail() {
    let mut boots = BootTimeStats::new(64, 2);
    assert_eq!(boots.quantile_s("m8", 40.0, 0.95), 60.0);
    for i in 0..64 {
        boots.observe("m8", 40.0, if i % 10 == 0 { 160.0 } else { 30.0 });
    }
    assert_eq!(boots.quantile_s("m8", 40.0, 0.5), 30.0);
    assert_eq!(boots.quantile_s("m8", 40.0, 0.95), 160.0);
    boots.observe("m32", 40.0, f64::NAN);
    assert_eq!(boots.quantile_s("m32", 40.0, 0.95), 60.0);
}

#[test]
fn a_held_machine_is_lent_by_the_entrys_terms_and_keeps_nobody_waiting_for_ever() {
    let entries = parse(&format!(
        "{}reserve.fair.borrow = savable, crops\n{}reserve.ball.borrow = nobody\n",
        entry("fair", "m8:1", 0, 9),
        entry("ball", "m8:1", 0, 9)
    ))
    .unwrap();
    let terms = |name: &str| &entries.get(name).unwrap().terms;
    let plain = Borrower {
        class: "thumbs",
        tier: Priority::Low,
        checkpoint_s: None,
        waited_s: 0.0,
        guaranteed: false,
    };
    let lent = |name: &str, b: Borrower<'_>, own| may_borrow(terms(name), &b, own, &SETTINGS);
    let savable = Borrower {
        checkpoint_s: Some(10.0),
        ..plain
    };
    assert!(!lent("fair", plain, false) && lent("fair", savable, false));
    assert!(!lent("fair", savable, true), "its own work waits");
    let slow = Borrower {
        checkpoint_s: Some(31.0),
        ..plain
    };
    let above = Borrower {
        tier: Priority::Normal,
        ..savable
    };
    assert!(!lent("fair", slow, false) && !lent("fair", above, false));
    assert!(lent(
        "fair",
        Borrower {
            class: "crops",
            ..plain
        },
        false
    ));
    let floor = Borrower {
        waited_s: 200.0,
        ..plain
    };
    assert!(lent("fair", floor, false) && !lent("ball", floor, false));
    let guaranteed = Borrower {
        guaranteed: true,
        waited_s: 20.0,
        ..plain
    };
    assert!(lent("ball", guaranteed, true));
    assert!(!lent(
        "ball",
        Borrower {
            waited_s: 19.0,
            ..guaranteed
        },
        true
    ));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// Leaders end between any two steps of renting, answers are lost, records are
    /// written or not: the cloud never gives more than was promised, and in quiet
    /// all is held.
    #[test]
    fn nothing_is_rented_twice_whenever_leaders_end(steps in prop::collection::vec(0u8..6, 1..60)) {
        let text = [entry("fair", "m8:70, m32:3", 9_000, 20_000), entry("ball", "m8:20", 9_000, 20_000)];
        let mut world = World::new(&text.concat());
        for step in steps {
            match step {
                0 | 1 => world.plan(),
                2 => world.record(),
                3 => world.ask(false),
                4 => world.ask(true),
                _ => world.take_over(),
            }
            world.now_s += 1.0;
            prop_assert!(world.machines.len() <= 93, "{}", world.machines.len());
        }
        world.rounds(20);
        prop_assert_eq!(world.machines.len(), 93);
        prop_assert_eq!((world.held("fair"), world.held("ball")), (73, 20));
    }
}

#[test]
fn records_keep_the_names_of_the_stored_format() {
    let mut record = ReservationRecord {
        terms: Terms {
            team: "floats".into(),
            classes: vec!["scan".into()],
            demand: Demand::Resources {
                cpus: 8.0,
                memory_gb: 16.0,
            },
            zone: Some("a".into()),
            spot: true,
            borrow: BorrowPolicy {
                checkpointable: true,
                classes: vec!["crops".into()],
            },
            priority: Priority::Normal,
            max_checkpoint_s: 30.0,
        },
        window: Window {
            from_ms: 1,
            to_ms: 2,
        },
        admitted_ms: 3,
        admission: Admission::Partial("limit".into()),
        items: vec![PromisedMachines {
            machine_type: "m8".into(),
            count: 4,
            exact: false,
        }],
        batches: vec![Batch {
            request: Some("r1".into()),
            machine_type: "m8".into(),
            zone: "a".into(),
            spot: true,
            count: 4,
            machines: Some(vec!["h1".into()]),
        }],
        shortfall: Some("refused".into()),
        lead_doublings: 1,
        opened: true,
    };
    let text = |record: &ReservationRecord| umbersail_wire::to_value(record).unwrap().to_string();
    assert_eq!(
        text(&record),
        r#"{"terms": {"team": "floats", "classes": ["scan"], "want": {"amounts": {"cpus": 8, "memory_gb": 16}}, "zone": "a", "spot": true, "borrow": {"savable": true, "classes": ["crops"]}, "priority": "normal", "give_back_s": 30}, "window": {"from_ms": 1, "to_ms": 2}, "admitted_ms": 3, "verdict": {"part": "limit"}, "items": [{"type": "m8", "count": 4, "exact": false}], "batches": [{"request": "r1", "type": "m8", "zone": "a", "spot": true, "count": 4, "machines": ["h1"]}], "short": "refused", "earlier": 1, "opened": true}"#
    );
    let value = umbersail_wire::to_value(&record).unwrap();
    assert_eq!(
        umbersail_wire::from_value::<ReservationRecord>(&value).unwrap(),
        record
    );
    record.terms.demand = Demand::Machines(BTreeMap::from([("m8".to_owned(), 4)]));
    record.admission = Admission::Full;
    assert!(text(&record).contains(r#""want": {"machines": {"m8": 4}}"#));
    assert!(text(&record).contains(r#""verdict": "promised""#));
    record.admission = Admission::Rejected("no team".into());
    assert!(text(&record).contains(r#""verdict": {"refused": "no team"}"#));
}
