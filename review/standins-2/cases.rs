//! The cases.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::msgpack::{V, map};
use crate::sites;
use crate::world::{Site, World};

static WORLD: Mutex<Option<Arc<World>>> = Mutex::new(None);

/// Ends all processes of the case.
pub fn end_world() {
    let world = WORLD.lock().map(|mut w| w.take()).unwrap_or_default();
    if let Some(world) = world {
        world.finish();
    }
}

pub fn run(case: &str, program: &str, record: &str, trouble: bool) -> i32 {
    let begin = |site: Site| {
        let world = World::new(site, record, program);
        *WORLD.lock().unwrap() = Some(world.clone());
        world.log(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
        world
    };
    match case {
        "fragments" => fragments(&begin(sites::auctions()), trouble),
        "one-zone" => one_zone(&begin(sites::recipes()), trouble),
        "swarm" => swarm(&begin(sites::recipes()), trouble),
        "outage-reports" => outage_reports(&begin(sites::recipes()), trouble),
        "closed-type" => closed_type(&begin(sites::auctions()), trouble),
        _ => 2,
    }
}

/// A job as a user submits it.
struct Job {
    id: &'static str,
    crew: &'static str,
    recipe: &'static str,
    cut: &'static str,
    urgency: &'static str,
    portions: u64,
    cores: f64,
    mem_gb: f64,
    kit: &'static str,
    breed: Option<&'static str>,
    field: Option<&'static str>,
    together: bool,
    borrowed: bool,
    cook_s: f64,
    serve_s: Option<f64>,
}

impl Job {
    fn v(&self) -> V {
        map(vec![
            ("id", self.id.into()),
            ("recipe", self.recipe.into()),
            ("crew", self.crew.into()),
            ("cut", self.cut.into()),
            ("urgency", self.urgency.into()),
            ("portions", self.portions.into()),
            ("cores", self.cores.into()),
            ("gpus", 0.0.into()),
            ("mem_gb", self.mem_gb.into()),
            ("kit", self.kit.into()),
            ("size_gb", 1.2.into()),
            ("breeds", self.breed.map_or(V::Nil, |b| vec![V::from(b)].into())),
            ("field", self.field.map_or(V::Nil, V::from)),
            ("together", self.together.into()),
            ("spread", false.into()),
            ("borrowed", self.borrowed.into()),
            ("cook_s", self.cook_s.into()),
            ("stir_s", 0.0.into()),
            ("bottle_s", 0.0.into()),
            ("serve_s", self.serve_s.map_or(V::Nil, V::from)),
        ])
    }
}

/// Starts the controllers, and waits until they serve. `None`: the case can't run.
fn start(world: &Arc<World>) -> Option<()> {
    (0..3).for_each(|i| world.start_member(i));
    if !world.await_ready(20.0) {
        world.log("the controllers did not become ready");
        return None;
    }
    // Workers find the leader, and it reads the cloud's list.
    std::thread::sleep(Duration::from_secs(6));
    world.log("the controllers are ready");
    Some(())
}

/// Waits until `condition` holds, for `seconds` at most.
fn wait_until(seconds: f64, mut condition: impl FnMut() -> bool) -> bool {
    let end = std::time::Instant::now() + Duration::from_secs_f64(seconds);
    loop {
        if condition() {
            return true;
        }
        if std::time::Instant::now() >= end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}

fn running(world: &World, id: &str) -> usize {
    world.starts_of(id).iter().filter(|s| s.ended_s.is_none()).count()
}

fn verdict(world: &World, broken: bool, text: &str) -> i32 {
    if let Some(ended) = world.ended_by_itself() {
        world.log(&format!("a controller ended by itself: {ended}"));
    }
    world.log(&format!("largest memory of a controller: {:.0} MB", world.peak_memory_mb()));
    let line = format!("{}: {text}", if broken { "BROKEN" } else { "held" });
    world.log(&line);
    println!("{line}");
    i32::from(broken)
}

/// A user's polls about every 5 s, until the job is done or the time is over.
fn await_done(world: &World, id: &str, seconds: f64) -> bool {
    let end = world.record.now() + seconds;
    loop {
        let stage = world.poll(id);
        world.log(&format!("user: poll of {id}: {stage:?}"));
        if stage.is_some_and(|(_, stage, ..)| stage == "done") {
            return true;
        }
        let left = end - world.record.now();
        if left <= 0.0 {
            return false;
        }
        std::thread::sleep(Duration::from_secs_f64(left.min(5.0)));
    }
}

/// A short job leaves the replicas of two services on different machines. A job of another team,
/// within that team's guarantee, needs a whole machine.
fn fragments(world: &Arc<World>, trouble: bool) -> i32 {
    world.rent("tractor", "steading", false, 1, true);
    world.rent("tractor", "byre", false, 1, true);
    if start(world).is_none() {
        return 2;
    }
    let first = Job {
        id: "req-000001",
        crew: "listings",
        recipe: "listing-pages",
        cut: "standing",
        urgency: "normal",
        portions: 1,
        cores: 10.0,
        mem_gb: 8.0,
        kit: "img-01",
        breed: None,
        field: None,
        together: false,
        borrowed: false,
        cook_s: 0.0,
        serve_s: None,
    };
    if world.submit(first.v(), 0.0) >= 300 || !wait_until(15.0, || running(world, "req-000001") == 1) {
        world.log("the first service does not run");
        return 2;
    }
    let burst = Job {
        id: "req-000002",
        recipe: "photo-crop",
        cut: "array",
        cores: 6.0,
        cook_s: 8.0,
        serve_s: Some(34.0),
        ..first
    };
    if trouble
        && (world.submit(burst.v(), 8.0) >= 300
            || !wait_until(10.0, || running(world, "req-000002") == 1))
    {
        world.log("the short job does not run");
        return 2;
    }
    let second = Job { id: "req-000003", cores: 6.0, ..first };
    if world.submit(second.v(), 0.0) >= 300 || !wait_until(15.0, || running(world, "req-000003") == 1) {
        world.log("the second service does not run");
        return 2;
    }
    if trouble && !wait_until(15.0, || running(world, "req-000002") == 0) {
        return 2;
    }
    let large = Job {
        id: "req-000004",
        crew: "ledger",
        recipe: "photo-crop",
        cut: "array",
        cores: 16.0,
        mem_gb: 24.0,
        cook_s: 4.0,
        serve_s: Some(22.0),
        ..first
    };
    if world.submit(large.v(), 4.0) >= 300 {
        return 2;
    }
    let done = await_done(world, "req-000004", 86.0);
    let starts = world.starts_of("req-000004").len();
    let rented = world.machines.lock().unwrap().len() - 2;
    let text = format!(
        "the job of one task was started {starts} times and is {}; {rented} machines were rented",
        if done { "done" } else { "not done after 86 s" },
    );
    verdict(world, !done, &text)
}

/// A service that is bound to one zone loses one of its two machines.
fn one_zone(world: &Arc<World>, trouble: bool) -> i32 {
    world.rent("pot", "north-shed", false, 2, true);
    world.rent("pot", "south-shed", false, 1, true);
    if start(world).is_none() {
        return 2;
    }
    let other = Job {
        id: "req-000001",
        crew: "test-kitchen",
        recipe: "kitchen-clock",
        cut: "standing",
        urgency: "normal",
        portions: 1,
        cores: 2.0,
        mem_gb: 4.0,
        kit: "img-01",
        breed: Some("pot"),
        field: Some("south-shed"),
        together: false,
        borrowed: false,
        cook_s: 0.0,
        serve_s: None,
    };
    let service = Job {
        id: "req-000002",
        recipe: "recipe-pages",
        portions: 2,
        cores: 5.0,
        mem_gb: 8.0,
        field: None,
        together: true,
        ..other
    };
    if world.submit(other.v(), 0.0) >= 300
        || !wait_until(15.0, || running(world, "req-000001") == 1)
        || world.submit(service.v(), 0.0) >= 300
        || !wait_until(15.0, || running(world, "req-000002") == 2)
    {
        world.log("the services do not run");
        return 2;
    }
    let hobs: Vec<String> = world.starts_of("req-000002").iter().map(|s| s.hob.clone()).collect();
    let zones: Vec<String> = hobs.iter().map(|h| world.machine(h).field.clone()).collect();
    if zones.iter().any(|z| z != "north-shed") {
        world.log(&format!("the service runs in {zones:?}"));
        return 2;
    }
    if trouble {
        world.kill_machine(&hobs[1]);
    } else {
        std::thread::sleep(Duration::from_secs(10));
    }
    let whole = wait_until(if trouble { 92.0 } else { 5.0 }, || running(world, "req-000002") == 2);
    world.log(&format!("user: poll of req-000002: {:?}", world.poll("req-000002")));
    let text = format!(
        "{} of 2 replicas run {} s after the loss of a machine",
        running(world, "req-000002"),
        if trouble { "92" } else { "(without) 10" }
    );
    verdict(world, !whole, &text)
}

/// Arrays of small tasks come four times as often as usual, while a task of another job runs on the
/// same machine.
fn swarm(world: &Arc<World>, trouble: bool) -> i32 {
    let hob = world.rent("cauldron", "north-shed", false, 1, true)[0].clone();
    if start(world).is_none() {
        return 2;
    }
    let other = Job {
        id: "req-000001",
        crew: "test-kitchen",
        recipe: "photo-resize",
        cut: "array",
        urgency: "normal",
        portions: 1,
        cores: 8.0,
        mem_gb: 24.0,
        kit: "img-01",
        breed: Some("cauldron"),
        field: Some("north-shed"),
        together: false,
        borrowed: false,
        cook_s: 80.0,
        serve_s: Some(200.0),
    };
    if world.submit(other.v(), 80.0) >= 300 || !wait_until(20.0, || running(world, "req-000001") == 1) {
        world.log("the first job does not run");
        return 2;
    }
    let small = Job {
        crew: "carnival-bakers",
        recipe: "sprinkles",
        portions: 325,
        cores: 0.04,
        mem_gb: 0.1,
        kit: "img-02",
        cook_s: 4.0,
        serve_s: Some(60.0),
        ..other
    };
    let all = ["req-000002", "req-000003", "req-000004", "req-000005"];
    let ids: &[&'static str] = if trouble { &all } else { &all[..1] };
    for id in ids {
        if world.submit(Job { id, ..small }.v(), 4.0) >= 300 {
            return 2;
        }
    }
    let end = world.record.now() + 92.0;
    let done = ids
        .iter()
        .filter(|id| await_done(world, id, (end - world.record.now()).max(0.5)))
        .count();
    let completed: usize = (ids.iter())
        .map(|id| world.starts_of(id).iter().filter(|s| s.end == "done").count())
        .sum();
    let lost = world.starts_of("req-000001").iter().filter(|s| s.end == "lease expired").count();
    let text = format!(
        "{completed} of {} small tasks completed, {done} of {} arrays are done; the other job's task was \
         lost {lost} times by an expired lease of {hob}; reports refused with 413: {}; largest answer {} \
         bytes, largest report {} bytes in JSON",
        325 * ids.len(),
        ids.len(),
        world.refused.load(Ordering::SeqCst),
        world.largest_reply.load(Ordering::SeqCst),
        world.largest_report.load(Ordering::SeqCst),
    );
    verdict(world, done < ids.len() || lost > 0, &text)
}

/// A burst of large jobs fills their team's limit, and one of their tasks waits for that. A small job
/// of another team, within that team's guarantee, comes while a whole large machine is free.
fn closed_type(world: &Arc<World>, trouble: bool) -> i32 {
    for zone in ["steading", "byre", "hired-shed"] {
        world.rent("combine", zone, false, 1, true);
    }
    world.rent("combine", "steading", true, 1, true);
    if start(world).is_none() {
        return 2;
    }
    let crop = Job {
        id: "req-000001",
        crew: "listings",
        recipe: "photo-crop",
        cut: "array",
        urgency: "normal",
        portions: if trouble { 9 } else { 8 },
        cores: 16.0,
        mem_gb: 27.0,
        kit: "img-01",
        breed: None,
        field: None,
        together: false,
        borrowed: true,
        cook_s: 200.0,
        serve_s: Some(610.0),
    };
    // With the burst 13 tasks of 16 CPUs, one more than the limit of 192 CPUs allows at once.
    let large = || running(world, "req-000001") + running(world, "req-000002");
    if world.submit(crop.v(), 200.0) >= 300
        || world.submit(Job { id: "req-000002", portions: 4, ..crop }.v(), 200.0) >= 300
        || !wait_until(30.0, || large() == 12)
    {
        world.log("the large jobs do not run");
        return 2;
    }
    let small = Job {
        id: "req-000003",
        crew: "bidding",
        recipe: "bid-sheets",
        portions: 8,
        cores: 1.0,
        mem_gb: 1.0,
        kit: "img-02",
        cook_s: 5.0,
        serve_s: Some(60.0),
        ..crop
    };
    if world.submit(small.v(), 5.0) >= 300 {
        return 2;
    }
    let accepted = world.record.now();
    let done = await_done(world, "req-000003", 91.0);
    // Machines on which nothing has run at all since the start.
    let used: std::collections::BTreeSet<String> =
        world.starts.lock().unwrap().iter().map(|s| s.hob.clone()).collect();
    let machines = world.machines.lock().unwrap();
    let empty: Vec<String> = (machines.values())
        .filter(|m| !used.contains(&m.hob) && !m.off.load(Ordering::SeqCst))
        .map(|m| format!("{} ({})", m.hob, m.breed.name))
        .collect();
    drop(machines);
    let starts = world.starts_of("req-000003");
    let text = format!(
        "{} of 8 small tasks started in {:.0} s, the job is {}; large tasks running: {}; machines that \
         were empty in all that time: {}",
        starts.len(),
        world.record.now() - accepted,
        if done { "done" } else { "not done" },
        large(),
        if empty.is_empty() { "none".into() } else { empty.join(" ") },
    );
    verdict(world, !done, &text)
}

/// The state service is down while a guest's array of short tasks runs on a machine, and a task of
/// another job beside it.
fn outage_reports(world: &Arc<World>, trouble: bool) -> i32 {
    let hob = world.rent("cauldron", "north-shed", false, 1, true)[0].clone();
    if start(world).is_none() {
        return 2;
    }
    let array = Job {
        id: "req-000001",
        crew: "carnival-bakers",
        recipe: "bread-index",
        cut: "array",
        urgency: "low",
        portions: 25_000,
        cores: 0.25,
        mem_gb: 0.45,
        kit: "img-01",
        breed: Some("cauldron"),
        field: Some("north-shed"),
        together: false,
        borrowed: false,
        cook_s: 4.0,
        serve_s: None,
    };
    let other = Job {
        id: "req-000002",
        crew: "test-kitchen",
        recipe: "page-rebuild",
        urgency: "high",
        portions: 1,
        cores: 2.0,
        mem_gb: 7.0,
        kit: "img-02",
        cook_s: 50.0,
        serve_s: Some(90.0),
        ..array
    };
    if world.submit(other.v(), 50.0) >= 300 || world.submit(array.v(), 4.0) >= 300 {
        return 2;
    }
    let both = || running(world, "req-000002") == 1 && running(world, "req-000001") > 100;
    if !wait_until(20.0, both) {
        world.log("the jobs do not run");
        return 2;
    }
    if trouble {
        world.log("the state service is down");
        world.state.set_outage(true);
        std::thread::sleep(Duration::from_secs(25));
        world.state.set_outage(false);
        world.log("the state service is back");
    }
    let done = await_done(world, "req-000002", if trouble { 50.0 } else { 62.0 });
    let lost = world.starts_of("req-000002").iter().filter(|s| s.end == "lease expired").count();
    let text = format!(
        "the other job's task was lost {lost} times by an expired lease of {hob}, the job is {}; reports \
         refused with 413: {}; largest report {} bytes in JSON",
        if done { "done" } else { "not done" },
        world.refused.load(Ordering::SeqCst),
        world.largest_report.load(Ordering::SeqCst),
    );
    verdict(world, lost > 0, &text)
}
