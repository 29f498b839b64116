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
        let lenient = std::env::var("LENIENT").is_ok();
        let world = World::new(site, record, program, lenient);
        *WORLD.lock().unwrap() = Some(world.clone());
        world.log(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
        world
    };
    match case {
        "huge-array" => huge_array(&begin(sites::recipes()), trouble),
        "fragments" => fragments(&begin(sites::recipes()), trouble),
        "one-zone" => one_zone(&begin(sites::recipes()), trouble),
        "faulty-machine" => faulty_machine(&begin(sites::recipes()), trouble),
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

/// An array of many small tasks comes while a task of another job runs on the machine.
fn huge_array(world: &Arc<World>, trouble: bool) -> i32 {
    let hob = world.rent("cauldron", "north-shed", false, 1, true)[0].clone();
    if start(world).is_none() {
        return 2;
    }
    let long = Job {
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
        cook_s: 70.0,
        serve_s: Some(160.0),
    };
    if world.submit(long.v(), 70.0) >= 300 || !wait_until(20.0, || running(world, "req-000001") == 1) {
        world.log("the first job does not run");
        return 2;
    }
    let many = Job {
        id: "req-000002",
        recipe: "bread-index",
        portions: if trouble { 1300 } else { 100 },
        cores: 0.04,
        mem_gb: 0.15,
        kit: "img-02",
        cook_s: 4.0,
        serve_s: Some(60.0),
        ..long
    };
    if world.submit(many.v(), 4.0) >= 300 {
        return 2;
    }
    let done = await_done(world, "req-000002", 92.0);
    let lost: Vec<f64> = (world.starts_of("req-000001").iter())
        .filter(|s| s.end == "lease expired")
        .filter_map(|s| s.ended_s)
        .collect();
    let starts = world.starts_of("req-000002").len();
    let text = format!(
        "{starts} tasks of the array started, the array is {}; the other job's task was lost {} times; \
         {} answers to {hob} above 64 KiB, largest answer {} bytes, largest report {} bytes in JSON",
        if done { "done" } else { "not done after 92 s" },
        lost.len(),
        world.oversized.load(Ordering::SeqCst),
        world.largest_reply.load(Ordering::SeqCst),
        world.largest_report.load(Ordering::SeqCst),
    );
    verdict(world, !done || !lost.is_empty(), &text)
}

/// A burst of small jobs leaves two replicas on different machines.
fn fragments(world: &Arc<World>, trouble: bool) -> i32 {
    world.rent("pot", "north-shed", false, 1, true);
    world.rent("pot", "south-shed", false, 1, true);
    if start(world).is_none() {
        return 2;
    }
    let first = Job {
        id: "req-000001",
        crew: "test-kitchen",
        recipe: "recipe-pages",
        cut: "standing",
        urgency: "normal",
        portions: 1,
        cores: 5.0,
        mem_gb: 8.0,
        kit: "img-01",
        breed: Some("pot"),
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
        recipe: "page-rebuild",
        cut: "array",
        cores: 3.0,
        cook_s: 8.0,
        serve_s: Some(60.0),
        ..first
    };
    if trouble {
        if world.submit(burst.v(), 8.0) >= 300
            || !wait_until(10.0, || running(world, "req-000002") == 1)
        {
            world.log("the burst does not run");
            return 2;
        }
    }
    let second = Job { id: "req-000003", cores: 3.0, ..first };
    if world.submit(second.v(), 0.0) >= 300 || !wait_until(15.0, || running(world, "req-000003") == 1) {
        world.log("the second service does not run");
        return 2;
    }
    if trouble && !wait_until(15.0, || running(world, "req-000002") == 0) {
        return 2;
    }
    let large = Job {
        id: "req-000004",
        recipe: "photo-resize",
        cut: "array",
        cores: 8.0,
        cook_s: 3.0,
        serve_s: Some(30.0),
        ..first
    };
    if world.submit(large.v(), 3.0) >= 300 {
        return 2;
    }
    let done = await_done(world, "req-000004", 88.0);
    let starts = world.starts_of("req-000004").len();
    let text = format!(
        "the job of one task was started {starts} times and is {} although the cloud has machines for it",
        if done { "done" } else { "not done after 88 s" },
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

/// The only machine fails every task that it starts.
fn faulty_machine(world: &Arc<World>, trouble: bool) -> i32 {
    let hob = world.rent("pot", "north-shed", false, 1, true)[0].clone();
    world.machine(&hob).faulty.store(trouble, Ordering::SeqCst);
    if start(world).is_none() {
        return 2;
    }
    let job = Job {
        id: "req-000001",
        crew: "test-kitchen",
        recipe: "photo-resize",
        cut: "array",
        urgency: "normal",
        portions: 2,
        cores: 3.0,
        mem_gb: 8.0,
        kit: "img-01",
        breed: Some("pot"),
        field: None,
        together: false,
        borrowed: true,
        cook_s: 5.0,
        serve_s: Some(30.0),
    };
    if world.submit(job.v(), 5.0) >= 300 {
        return 2;
    }
    let done = await_done(world, "req-000001", 95.0);
    let starts = world.starts_of("req-000001");
    let elsewhere = starts.iter().filter(|s| s.hob != hob).count();
    let text = format!(
        "{} starts, {elsewhere} of them on another machine than the faulty one; the job is {}",
        starts.len(),
        if done { "done" } else { "not done after 95 s" },
    );
    verdict(world, !done, &text)
}

/// A large job waits for a machine that the cloud can't give in its zone. A small job of another
/// team, within that team's guarantee, comes while a whole large machine is free in another zone.
fn closed_type(world: &Arc<World>, trouble: bool) -> i32 {
    let hob = world.rent("combine", "steading", false, 1, true)[0].clone();
    if trouble {
        *world.short_zone.lock().unwrap() = Some("byre");
    } else {
        // The large job finds its machine.
        world.rent("tractor", "byre", false, 1, true);
    }
    if start(world).is_none() {
        return 2;
    }
    let large = Job {
        id: "req-000001",
        crew: "listings",
        recipe: "photo-crop",
        cut: "array",
        urgency: "normal",
        portions: 1,
        cores: 16.0,
        mem_gb: 27.0,
        kit: "img-01",
        breed: None,
        field: Some("byre"),
        together: false,
        borrowed: false,
        cook_s: 60.0,
        serve_s: Some(190.0),
    };
    if world.submit(large.v(), 60.0) >= 300 {
        return 2;
    }
    let small = Job {
        id: "req-000002",
        crew: "bidding",
        recipe: "bid-sheets",
        portions: 8,
        cores: 1.0,
        mem_gb: 1.0,
        kit: "img-02",
        field: None,
        cook_s: 5.0,
        serve_s: Some(60.0),
        ..large
    };
    std::thread::sleep(Duration::from_secs(2));
    if world.submit(small.v(), 5.0) >= 300 {
        return 2;
    }
    let accepted = world.record.now();
    let done = await_done(world, "req-000002", 92.0);
    let starts = world.starts_of("req-000002");
    let on_free = world.starts.lock().unwrap().iter().filter(|s| s.hob == hob).count();
    let text = format!(
        "{} of 8 small tasks started in {:.0} s, the job is {}; tasks that ran on {hob} in all that time: {on_free}",
        starts.len(),
        world.record.now() - accepted,
        if done { "done" } else { "not done" },
    );
    verdict(world, !done, &text)
}
