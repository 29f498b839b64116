//! Tests of entries, admission and planning rounds with a simulated cloud and leader changes.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use umbersail_policy::{Shape, TeamLimits};
use umbersail_wire::{MachineType, Priority};

use crate::admit::{EarlierPromise, admit};
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

/// The properties of an entry of the team `floats` with machines by type and a window in Unix
/// seconds.
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
struct RentedMachine {
    type_index: usize,
    zone: String,
    spot: bool,
    availability: Availability,
    idle: bool,
}

/// A simulated cloud, the stored records, and the records of the current leader.
struct TestCluster {
    entries: Reservations,
    types: Vec<MachineType>,
    now_s: f64,
    leader_for_s: f64,
    machines: BTreeMap<String, RentedMachine>,
    /// The cloud's answer to each request; a repeated request gets the same answer.
    answers: BTreeMap<String, Vec<String>>,
    refused_offers: BTreeSet<(usize, String, bool)>,
    records: BTreeMap<String, ReservationRecord>,
    recorded: BTreeMap<String, ReservationRecord>,
    idle_names: Vec<String>,
    request_count: u64,
    notices: Vec<Notice>,
}

impl TestCluster {
    fn new(text: &str) -> TestCluster {
        TestCluster {
            entries: parse(text).unwrap(),
            types: types(),
            now_s: 10_000.0,
            leader_for_s: 0.0,
            machines: BTreeMap::new(),
            answers: BTreeMap::new(),
            refused_offers: BTreeSet::new(),
            records: BTreeMap::new(),
            recorded: BTreeMap::new(),
            idle_names: Vec::new(),
            request_count: 0,
            notices: Vec::new(),
        }
    }

    fn plan(&mut self) {
        let boot_times = BootTimeStats::new(64, 8);
        let parts =
            |machine: &RentedMachine| (machine.type_index, machine.zone.clone(), machine.clone());
        let all: Vec<_> = self.machines.iter().map(|(n, m)| (n, parts(m))).collect();
        let views = all.iter().map(|(name, (type_index, zone, m))| {
            let machine = ReservableMachine {
                type_index: *type_index,
                zone,
                spot: m.spot,
                availability: m.availability,
                idle: m.idle,
            };
            (name.as_str(), machine)
        });
        let machines: BTreeMap<&str, ReservableMachine<'_>> = views.collect();
        let idle_machines = machines
            .iter()
            .filter(|(name, _)| self.idle_names.iter().any(|idle| idle == *name))
            .map(|(name, m)| (*name, *m))
            .collect();
        let refused_offers = &self.refused_offers;
        let view = ClusterView {
            now_ms: (self.now_s * 1000.0) as u64,
            leader_for_s: self.leader_for_s,
            types: &self.types,
            teams: &teams(),
            machines: &machines,
            idle_machines: &idle_machines,
            is_refused: &|index, zone, spot| {
                refused_offers.contains(&(index, zone.to_owned(), spot))
            },
            largest_tasks: &BTreeMap::new(),
            boot_times: &boot_times,
            settings: &SETTINGS,
        };
        let request_count = &mut self.request_count;
        let mut new_request = || {
            *request_count += 1;
            format!("r{request_count}")
        };
        let notices = plan(&self.entries, &mut self.records, &view, &mut new_request);
        self.notices.extend(notices);
    }

    fn record(&mut self) {
        self.recorded = self.records.clone();
    }

    /// Sends the stored requests. If `answers_arrive` is false, the cloud rents the machines and
    /// its answers are lost.
    fn send_requests(&mut self, answers_arrive: bool) {
        for (name, record) in self.recorded.clone() {
            for batch in record.pending_requests() {
                let request = batch.request.clone().unwrap();
                let index = self.types.iter().position(|t| t.name == batch.machine_type);
                let key = (index.unwrap(), batch.zone.clone(), batch.spot);
                if !self.answers.contains_key(&request) && self.refused_offers.contains(&key) {
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
                            RentedMachine {
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
                if answers_arrive && let Some(record) = self.records.get_mut(&name) {
                    record.record_answer(&request, answer);
                }
            }
        }
    }

    fn round(&mut self) {
        self.plan();
        self.record();
        self.send_requests(true);
        self.record();
        self.now_s += 1.0;
        self.leader_for_s += 1.0;
    }

    fn rounds(&mut self, n: usize) {
        (0..n).for_each(|_| self.round());
    }

    /// Replaces the leader; the new leader reads the stored records.
    fn change_leader(&mut self) {
        self.records = self.recorded.clone();
        self.leader_for_s = 0.0;
    }

    fn boot(&mut self) {
        for machine in self.machines.values_mut() {
            machine.availability = Availability::Available;
        }
    }

    fn reserved(&self, name: &str) -> usize {
        self.records.get(name).map_or(0, |r| r.machines().count())
    }

    fn has_notice(&self, name: &str, kind: impl Fn(&NoticeKind) -> bool) -> bool {
        self.notices
            .iter()
            .any(|n| n.entry == name && kind(&n.kind))
    }
}

#[test]
fn an_invalid_entry_is_rejected_with_its_key_and_the_reason() {
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
        (
            "reserve.x.length = 2h",
            "length",
            "valid with recurrence only",
        ),
        (
            "reserve.x.borrow = nobody, crops",
            "borrow",
            "cannot be combined",
        ),
        ("reserve.x.spot = maybe", "spot", "true or false"),
        ("reserve.x.cpu = 3", "cpu", "no such field"),
        ("reserve.x.cpus = NaN", "cpus", "must be a number"),
        ("reserve.x.recurrence = 0 9 * * FRI", "length", "is missing"),
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
fn a_window_keeps_its_length_across_a_daylight_saving_change() {
    let entries = parse(
        "reserve.x.team = floats\nreserve.x.cpus = 8\nreserve.x.time_zone = Europe/Lisbon\n\
         reserve.x.recurrence = 0 22 * * SAT\nreserve.x.length = 10h\n",
    )
    .unwrap();
    let ms = |text: &str| text.parse::<jiff::Timestamp>().unwrap().as_millisecond() as u64;
    let window = |at: &str| entries.get("x").unwrap().window_at(ms(at)).unwrap();
    // On 2027-03-28 clocks go forward at 01:00, so the window ends at 09:00 local time.
    let over_night = Window {
        from_ms: ms("2027-03-27T22:00:00Z"),
        to_ms: ms("2027-03-28T08:00:00Z"),
    };
    assert_eq!(window("2027-03-27T20:00:00Z"), over_night);
    assert_eq!(
        window("2027-03-28T07:59:59Z"),
        over_night,
        "the window has started"
    );
    let next = window("2027-03-28T08:00:00Z");
    assert_eq!(
        next.from_ms,
        ms("2027-04-03T21:00:00Z"),
        "in daylight saving time"
    );
}

#[test]
fn admission_respects_the_catalogue_the_team_limit_and_earlier_promises() {
    let of = |name: &str, rest: &str| {
        entry(name, "m8:2", 20_000, 30_000)
            .replace("floats", "tickets")
            .replace("m8:2", rest)
    };
    let mut cluster =
        TestCluster::new(&[of("a", "m8:6"), of("b", "m8:4"), of("c", "m99:1")].concat());
    cluster.round();
    assert_eq!(cluster.records["a"].admission, Admission::Full);
    let Admission::Partial(reason) = &cluster.records["b"].admission else {
        panic!("{:?}", cluster.records["b"]);
    };
    assert!(
        reason.contains("limit of 64 CPUs") && reason.contains('a'),
        "{reason}"
    );
    assert_eq!(cluster.records["b"].items[0].count, 2);
    assert!(matches!(&cluster.records["c"].admission, Admission::Rejected(r) if r.contains("m99")));
    // An entry that was admitted later has lower precedence, whatever its name.
    cluster.entries = parse(&[of("b", "m8:4"), of("a", "m8:6"), of("0", "m8:3")].concat()).unwrap();
    cluster.rounds(60);
    assert_eq!(cluster.records["a"].admission, Admission::Full);
    assert!(matches!(
        cluster.records["0"].admission,
        Admission::Rejected(_)
    ));
    // When the first entry is withdrawn, the entries admitted later are promised more.
    cluster.entries = parse(&[of("b", "m8:4"), of("0", "m8:3")].concat()).unwrap();
    cluster.rounds(2);
    assert!(cluster.has_notice("a", |kind| matches!(kind, NoticeKind::Withdrawn { .. })));
    assert_eq!(cluster.records["b"].admission, Admission::Full);
}

#[test]
fn renting_begins_at_the_lead_time_and_ends_with_the_window() {
    let mut cluster = TestCluster::new(&entry("fair", "m8:70", 10_400, 11_000));
    // The lead time is two boots of 60 s, the boot timeout of 130 s and the margin of 30 s.
    while cluster.now_s < 10_119.0 {
        cluster.round();
        assert_eq!(cluster.reserved("fair"), 0, "{}", cluster.now_s);
    }
    cluster.rounds(2);
    assert_eq!(cluster.reserved("fair"), 70);
    let counts = |zone: &str| cluster.machines.values().filter(|m| m.zone == zone).count();
    assert_eq!((counts("a"), counts("b")), (35, 35), "spread over zones");
    assert!(cluster.machines.values().all(|m| !m.spot));
    cluster.boot();
    cluster.rounds(890);
    assert!(cluster.has_notice("fair", |kind| *kind
        == NoticeKind::Opened {
            available: 70,
            promised: 70
        }));
    assert!(cluster.has_notice("fair", |kind| *kind == NoticeKind::Expired { machines: 70 }));
    assert!(cluster.records.is_empty());
    assert_eq!(cluster.machines.len(), 70, "no machine was rented twice");
}

#[test]
fn machines_for_a_window_that_has_started_are_requested_at_once() {
    let mut cluster = TestCluster::new(&entry("fair", "m8:3", 9_000, 11_000));
    cluster.round();
    assert_eq!(cluster.reserved("fair"), 3);
    assert!(cluster.has_notice("fair", |kind| *kind
        == NoticeKind::Opened {
            available: 0,
            promised: 3
        }));
}

#[test]
fn refused_requests_fall_back_to_another_zone_then_on_demand_then_another_type() {
    let mut cluster = TestCluster::new(&format!(
        "{}reserve.fair.spot = true\n",
        entry("fair", "m8:4", 9_000, 11_000)
    ));
    let refuse = |cluster: &mut TestCluster, index: usize, zone: &str, spot| {
        cluster
            .refused_offers
            .insert((index, zone.to_owned(), spot));
    };
    refuse(&mut cluster, 0, "a", true);
    cluster.rounds(2);
    assert!(cluster.machines.values().all(|m| m.zone == "b" && m.spot));
    assert_eq!(cluster.reserved("fair"), 4);
    cluster.machines.clear();
    refuse(&mut cluster, 0, "b", true);
    cluster.rounds(2);
    assert!(
        cluster
            .machines
            .values()
            .all(|m| m.type_index == 0 && !m.spot)
    );
    cluster.machines.clear();
    for zone in ["a", "b"] {
        refuse(&mut cluster, 0, zone, false);
    }
    cluster.rounds(2);
    assert!(cluster.machines.values().all(|m| m.type_index == 1));
    assert_eq!(
        cluster.reserved("fair"),
        4,
        "one larger machine substitutes for one requested machine"
    );
    for zone in ["a", "b"] {
        refuse(&mut cluster, 1, zone, false);
        refuse(&mut cluster, 1, zone, true);
    }
    cluster.machines.clear();
    cluster.rounds(2);
    assert!(cluster.has_notice(
        "fair",
        |kind| matches!(kind, NoticeKind::Shortfall(r) if r.contains("m8"))
    ));
    cluster.refused_offers.clear();
    cluster.rounds(2);
    assert_eq!(cluster.reserved("fair"), 4);
    assert!(cluster.has_notice("fair", |kind| *kind == NoticeKind::Fulfilled));
}

#[test]
fn lost_unavailable_and_borrowed_machines_are_replaced_and_surplus_is_released() {
    let mut cluster = TestCluster::new(&entry("fair", "m8:4", 9_000, 11_000));
    cluster.rounds(2);
    cluster.boot();
    let names: Vec<String> = cluster.records["fair"]
        .machines()
        .map(str::to_owned)
        .collect();
    cluster.machines.remove(&names[0]);
    cluster.machines.get_mut(&names[1]).unwrap().availability = Availability::Unavailable;
    cluster.machines.get_mut(&names[2]).unwrap().availability = Availability::Borrowed;
    cluster.machines.get_mut(&names[2]).unwrap().idle = false;
    cluster.request_count = 100;
    cluster.rounds(2);
    assert_eq!(
        cluster.reserved("fair"),
        6,
        "three of four machines and three replacements"
    );
    cluster.boot();
    cluster.rounds(2);
    assert_eq!(cluster.reserved("fair"), 4);
    assert!(
        cluster.records["fair"].machines().any(|m| m == names[2]),
        "a machine in use stays reserved"
    );
}

#[test]
fn changed_entries_release_only_the_machines_they_no_longer_need() {
    let mut cluster = TestCluster::new(&entry("fair", "m8:4", 9_000, 12_000));
    cluster.rounds(60);
    cluster.boot();
    let before = cluster.records["fair"].admitted_ms;
    cluster.entries = parse(&entry("fair", "m8:4", 9_000, 11_000)).unwrap();
    cluster.round();
    assert_eq!(cluster.records["fair"].window.to_ms, 11_000_000);
    assert_eq!(
        cluster.records["fair"].admitted_ms, before,
        "keeps its time of admission"
    );
    assert_eq!(cluster.reserved("fair"), 4);
    cluster.entries = parse(&entry("fair", "m8:1", 9_000, 11_000)).unwrap();
    cluster.rounds(2);
    assert_eq!(cluster.reserved("fair"), 1);
    // The window was moved to a later time: nothing is reserved until renting is due again.
    cluster.entries = parse(&entry("fair", "m8:1", 11_000, 12_000)).unwrap();
    cluster.rounds(2);
    assert_eq!(cluster.reserved("fair"), 0);
    assert_eq!(cluster.machines.len(), 4);
    // A new leader does not apply a removed entry at once, because in a rolling restart
    // controllers with different properties run at the same time.
    cluster.change_leader();
    cluster.entries = parse("").unwrap();
    cluster.rounds(45);
    assert!(cluster.records.contains_key("fair"));
    cluster.rounds(2);
    assert!(cluster.records.is_empty());
}

#[test]
fn the_reservation_admitted_first_gets_machines_of_the_other_when_the_cloud_refuses() {
    let mut cluster = TestCluster::new(&entry("zoo", "m8:3", 9_500, 12_000));
    cluster.rounds(50);
    cluster.entries = parse(&format!(
        "{}{}",
        entry("zoo", "m8:3", 9_500, 12_000),
        entry("ball", "m8:3", 9_500, 12_000)
    ))
    .unwrap();
    cluster.rounds(2);
    cluster.boot();
    assert_eq!((cluster.reserved("zoo"), cluster.reserved("ball")), (3, 3));
    for index in [0, 1] {
        for zone in ["a", "b"] {
            cluster
                .refused_offers
                .insert((index, zone.to_owned(), false));
        }
    }
    let lost = cluster.records["zoo"].machines().next().unwrap().to_owned();
    cluster.machines.remove(&lost);
    cluster.rounds(3);
    assert_eq!((cluster.reserved("zoo"), cluster.reserved("ball")), (3, 2));
    assert!(cluster.has_notice(
        "zoo",
        |kind| matches!(kind, NoticeKind::Reassigned { from, .. } if from == "ball")
    ));
    assert!(cluster.has_notice("ball", |kind| matches!(kind, NoticeKind::Shortfall(_))));
}

#[test]
fn idle_machines_are_reserved_before_machines_are_rented() {
    let mut cluster = TestCluster::new(&entry("fair", "m8:2", 9_000, 11_000));
    cluster.machines.insert(
        "x".into(),
        RentedMachine {
            type_index: 0,
            zone: "a".into(),
            spot: false,
            availability: Availability::Available,
            idle: true,
        },
    );
    cluster.idle_names.push("x".into());
    cluster.round();
    assert_eq!(cluster.reserved("fair"), 2);
    assert_eq!(cluster.machines.len(), 2);
}

#[test]
fn a_demand_for_resources_uses_types_that_fit_the_largest_observed_task() {
    let text = "reserve.x.team = floats\nreserve.x.cpus = 100\nreserve.x.from = 1970-01-01T00:00Z\n\
                reserve.x.to = 1970-01-02T00:00Z\n";
    let mut cluster = TestCluster::new(text);
    cluster.types[1].price = 100.0;
    cluster.rounds(2);
    assert_eq!(cluster.records["x"].items[0].machine_type, "m8");
    assert_eq!(cluster.reserved("x"), 13);
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
        types: &cluster.types,
        teams: &teams(),
        machines: &BTreeMap::new(),
        idle_machines: &BTreeMap::new(),
        is_refused: &|_, _, _| false,
        largest_tasks: &largest,
        boot_times: &BootTimeStats::new(8, 8),
        settings: &SETTINGS,
    };
    let mut records = BTreeMap::new();
    plan(&cluster.entries, &mut records, &view, &mut || "r".into());
    assert_eq!(records["x"].items[0].machine_type, "m32");
}

#[test]
fn boot_time_quantiles_include_slow_boots() {
    let mut boot_times = BootTimeStats::new(64, 2);
    assert_eq!(boot_times.quantile_s("m8", 40.0, 0.95), 60.0);
    for i in 0..64 {
        boot_times.observe("m8", 40.0, if i % 10 == 0 { 160.0 } else { 30.0 });
    }
    assert_eq!(boot_times.quantile_s("m8", 40.0, 0.5), 30.0);
    assert_eq!(boot_times.quantile_s("m8", 40.0, 0.95), 160.0);
    boot_times.observe("m32", 40.0, f64::NAN);
    assert_eq!(boot_times.quantile_s("m32", 40.0, 0.95), 60.0);
}

#[test]
fn borrowing_follows_the_entrys_policy_and_the_waiting_limits() {
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
    let borrows = |name: &str, b: Borrower<'_>, own| may_borrow(terms(name), &b, own, &SETTINGS);
    let checkpointable = Borrower {
        checkpoint_s: Some(10.0),
        ..plain
    };
    assert!(!borrows("fair", plain, false) && borrows("fair", checkpointable, false));
    assert!(
        !borrows("fair", checkpointable, true),
        "the reservation's own work waits"
    );
    let slow_checkpoint = Borrower {
        checkpoint_s: Some(31.0),
        ..plain
    };
    let higher_tier = Borrower {
        tier: Priority::Normal,
        ..checkpointable
    };
    assert!(!borrows("fair", slow_checkpoint, false) && !borrows("fair", higher_tier, false));
    assert!(borrows(
        "fair",
        Borrower {
            class: "crops",
            ..plain
        },
        false
    ));
    let waited_long = Borrower {
        waited_s: 200.0,
        ..plain
    };
    assert!(borrows("fair", waited_long, false) && !borrows("ball", waited_long, false));
    let guaranteed = Borrower {
        guaranteed: true,
        waited_s: 20.0,
        ..plain
    };
    assert!(borrows("ball", guaranteed, true));
    assert!(!borrows(
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

    /// Guards against machines that are rented twice. Leaders change between any two steps of
    /// renting, answers are lost, and records are written or not. The cloud never provides
    /// more machines than were promised, and at the end all promised machines are reserved.
    #[test]
    fn no_machine_is_rented_twice_when_leaders_change(steps in prop::collection::vec(0u8..6, 1..60)) {
        let text = [entry("fair", "m8:70, m32:3", 9_000, 20_000), entry("ball", "m8:20", 9_000, 20_000)];
        let mut cluster = TestCluster::new(&text.concat());
        for step in steps {
            match step {
                0 | 1 => cluster.plan(),
                2 => cluster.record(),
                3 => cluster.send_requests(false),
                4 => cluster.send_requests(true),
                _ => cluster.change_leader(),
            }
            cluster.now_s += 1.0;
            prop_assert!(cluster.machines.len() <= 93, "{}", cluster.machines.len());
        }
        cluster.rounds(20);
        prop_assert_eq!(cluster.machines.len(), 93);
        prop_assert_eq!((cluster.reserved("fair"), cluster.reserved("ball")), (73, 20));
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

/// The stored form of the admission of an entry. The team `tickets` has
/// limits of 40.5 CPUs and 3 GPUs, and the entries in `earlier` were promised the given machines.
fn stored_admission(
    team: &str,
    demand: Demand,
    zone: Option<&str>,
    earlier: &[(&str, &str, u32)],
) -> String {
    let terms = Terms {
        team: team.into(),
        classes: Vec::new(),
        demand,
        zone: zone.map(str::to_owned),
        spot: false,
        borrow: BorrowPolicy::default(),
        priority: Priority::Normal,
        max_checkpoint_s: 30.0,
    };
    let mut teams = teams();
    (teams[1].max_cpus, teams[1].max_gpus) = (40.5, 3.0);
    let mut types = types();
    types.push(machine_type("m4", 4.3, &["a"]));
    types.push(machine_type("nowhere", 8.0, &[]));
    types.push(MachineType {
        gpus: 2.0,
        ..machine_type("g1", 1.0, &["a"])
    });
    let promised: Vec<(&str, [PromisedMachines; 1])> = earlier
        .iter()
        .map(|(name, machine_type, count)| {
            let item = PromisedMachines {
                machine_type: (*machine_type).to_owned(),
                count: *count,
                exact: true,
            };
            (*name, [item])
        })
        .collect();
    let earlier: Vec<EarlierPromise<'_>> = promised
        .iter()
        .map(|(name, items)| EarlierPromise { name, items })
        .collect();
    let view = ClusterView {
        now_ms: 0,
        leader_for_s: 0.0,
        types: &types,
        teams: &teams,
        machines: &BTreeMap::new(),
        idle_machines: &BTreeMap::new(),
        is_refused: &|_, _, _| false,
        largest_tasks: &BTreeMap::new(),
        boot_times: &BootTimeStats::new(8, 8),
        settings: &SETTINGS,
    };
    let (admission, _) = admit("x", &terms, &earlier, &view);
    umbersail_wire::to_value(&admission).unwrap().to_string()
}

/// Team, machines, zone and earlier promises of an entry, and the stored form of its admission.
type AdmissionCase = (
    &'static str,
    &'static [(&'static str, u32)],
    Option<&'static str>,
    &'static [(&'static str, &'static str, u32)],
    &'static str,
);

const ADMISSIONS: [AdmissionCase; 10] = [
    (
        "floats",
        &[("m99", 1)],
        None,
        &[],
        r#"{"refused": "the catalogue has no type 'm99'"}"#,
    ),
    (
        "floats",
        &[("m8", 1)],
        Some("c"),
        &[],
        r#"{"refused": "type 'm8' is not in zone 'c'"}"#,
    ),
    (
        "floats",
        &[("m8", 1), ("nowhere", 1)],
        None,
        &[],
        r#"{"part": "type 'nowhere' is not in zone ''"}"#,
    ),
    (
        "floats",
        &[("m8", 1001)],
        None,
        &[],
        r#"{"part": "more than 1000 machines"}"#,
    ),
    (
        "clouds",
        &[("m8", 1)],
        None,
        &[],
        r#"{"refused": "there is no team 'clouds'"}"#,
    ),
    (
        "tickets",
        &[("m8", 6)],
        None,
        &[],
        r#"{"part": "the team's limit of 40.5 CPUs"}"#,
    ),
    (
        "tickets",
        &[("g1", 2)],
        None,
        &[],
        r#"{"part": "the team's limit of 3 GPUs"}"#,
    ),
    (
        "tickets",
        &[("g1", 1), ("m32", 1)],
        None,
        &[("a", "m4", 2), ("b", "g1", 1)],
        r#"{"refused": "the team's limit of 40.5 CPUs, 10 of them promised to a, b; the team's limit of 3 GPUs, 2 of them promised to a, b"}"#,
    ),
    (
        "clouds",
        &[("m8", 1001), ("m99", 1)],
        None,
        &[],
        r#"{"refused": "the catalogue has no type 'm99'; more than 1000 machines; there is no team 'clouds'"}"#,
    ),
    ("floats", &[("m8", 1000)], None, &[], r#""promised""#),
];

/// Records that other versions wrote contain these texts, and other versions read them.
#[test]
fn reasons_keep_the_texts_of_the_stored_format() {
    for (team, machines, zone, earlier, stored) in ADMISSIONS {
        let machines = machines.iter().map(|(t, count)| ((*t).to_owned(), *count));
        let demand = Demand::Machines(machines.collect());
        assert_eq!(stored_admission(team, demand, zone, earlier), stored);
    }
    let resources = Demand::Resources {
        cpus: 8.0,
        memory_gb: 0.0,
    };
    assert_eq!(
        stored_admission("floats", resources, Some("c"), &[]),
        r#"{"refused": "no type of the catalogue takes its tasks there"}"#
    );
    // The reason of a shortfall.
    let mut cluster = TestCluster::new(&entry("fair", "m8:4", 9_000, 11_000));
    for index in [0, 1] {
        for zone in ["a", "b"] {
            let offer = (index, zone.to_owned(), false);
            cluster.refused_offers.insert(offer);
        }
    }
    cluster.round();
    let record = umbersail_wire::to_value(&cluster.records["fair"]).unwrap();
    let stored = r#""short": "the cloud refuses m8 and what could stand for it""#;
    assert!(record.to_string().contains(stored), "{record}");
    // Records with these texts are evaluated like new and changed entries, so that fewer machines
    // than before may be promised.
    for (reason, changed) in [
        ("not yet looked at", false),
        ("changed, not yet looked at", true),
    ] {
        let record = cluster.records.get_mut("fair").unwrap();
        record.admission = Admission::Rejected(reason.into());
        record.items[0].count = 9;
        cluster.notices.clear();
        cluster.round();
        assert_eq!(cluster.records["fair"].items[0].count, 4, "{reason}");
        let kind = match changed {
            true => NoticeKind::Changed(Admission::Full),
            false => NoticeKind::Admitted(Admission::Full),
        };
        assert!(cluster.has_notice("fair", |k| *k == kind), "{reason}");
    }
}
