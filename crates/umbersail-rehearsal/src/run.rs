//! Runs a scenario: sets up the simulated hosts, runs the real controllers against them, and
//! collects the history.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use thiserror::Error;
use umbersail_control::{InvalidSettings, Settings};
use umbersail_runtime::{
    EPOCH_MS, HostId, HostSpec, NetworkConfig, Simulation, WorkCounters, WorldHandle, sleep, spawn,
};
use umbersail_tuning::Tuning;

use crate::addresses::{Addresses, controller_zone, member_name};
use crate::fault::{Controller, FaultInjector};
use crate::fleet::Fleet;
use crate::history::{Event, EventKind, History};
use crate::judge::{Figures, evaluate};
use crate::kv_store_host::KvStoreHost;
use crate::runs;
use crate::scenario::{Objective, Scenario};
use crate::users::{Balancer, Users};

/// Seconds between samples of the state service's load and contents in the history.
const STATE_SAMPLE_INTERVAL_S: f64 = 10.0;
/// Processor time of one step of a controller task on a whole core, in seconds: the median
/// on an ordinary machine.
const STEP_S: f64 = 12e-6;

/// An error that prevents a run from completing.
#[derive(Debug, Error)]
pub enum RunError {
    /// A controller rejects its settings.
    #[error("invalid controller settings: {0}")]
    Settings(#[from] InvalidSettings),
    /// The settings of a controller can't be written as TOML.
    #[error("can't write the controller settings: {0}")]
    UnwritableSettings(#[from] toml::ser::Error),
    /// The operator settings of the scenario are invalid.
    #[error("controllers.properties: {0}")]
    Properties(String),
    /// The simulation or the setup of real processes failed.
    #[error("the simulation stopped: {0}")]
    World(#[from] std::io::Error),
}

/// The result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Seed of the run.
    pub seed: u64,
    /// The recorded history.
    pub events: Vec<Event>,
    /// The judge's results.
    pub figures: Figures,
    /// BLAKE3 hash of the history, in hex.
    pub hash: String,
    /// True length of the run in seconds, unaffected by simulated clock errors.
    pub length_s: f64,
    /// Packets sent.
    pub packets: u64,
    /// Steps of simulated tasks.
    pub steps: u64,
}

/// The settings file of one controller, as the hosting platform writes it.
#[derive(Serialize)]
struct SettingsFile<'a> {
    member: String,
    area: &'a str,
    front: SocketAddr,
    back: SocketAddr,
    known: Vec<Known<'a>>,
    external: BTreeMap<&'static str, SocketAddr>,
    facts: serde_json::Value,
}

#[derive(Serialize)]
struct Known<'a> {
    member: String,
    area: &'a str,
    addr: SocketAddr,
}

/// Returns the text of one controller's settings file.
pub(crate) fn settings_text(
    scenario: &Scenario,
    index: usize,
    at: Addresses,
) -> Result<String, RunError> {
    let count = scenario.controllers.count;
    let known = (0..count).filter(|n| *n != index).map(|n| Known {
        member: member_name(n),
        area: controller_zone(scenario, n),
        addr: at.peer_addr(n),
    });
    let objectives: Vec<serde_json::Value> = scenario
        .objectives
        .iter()
        .filter_map(objective_json)
        .collect();
    let teams: Vec<serde_json::Value> = scenario
        .teams
        .iter()
        .map(|t| serde_json::json!({"name": t.name, "cpus": t.cpus, "cpus_max": t.cpus_max}))
        .collect();
    let file = SettingsFile {
        member: member_name(index),
        area: controller_zone(scenario, index),
        front: at.client_addr(index),
        back: at.peer_addr(index),
        known: known.collect(),
        external: [("cloud", at.cloud_addr()), ("state", at.state_addr(index))].into(),
        facts: serde_json::json!({
            "teams": teams,
            "objectives": objectives,
            "workers": {
                "report_s": scenario.workers.report_s,
                "lease_s": scenario.workers.lease_s,
                "cancel_s": scenario.workers.cancel_s,
            },
            "state": {
                "rps": scenario.state.rps,
                "write_rps": scenario.state.write_rps,
                "value_kb": scenario.state.value_kb,
                "txn_ops": scenario.state.txn_ops,
            },
            "cloud": {"rps": scenario.cloud.rps, "list_lag_s": scenario.cloud.list_lag_s},
            "resources": {
                "cpu": scenario.controllers.core,
                "max_sockets": scenario.controllers.max_sockets,
            },
            "skew_ms": scenario.controllers.skew_ms,
        }),
    };
    Ok(toml::to_string(&file)?)
}

/// Returns the settings of one controller in a simulated run.
///
/// # Errors
/// Returns an error if a controller rejects values of the scenario.
pub fn settings(scenario: &Scenario, index: usize) -> Result<Settings, RunError> {
    let text = settings_text(scenario, index, Addresses { simulated: true })?;
    Ok(Settings::parse(&text)?)
}

/// Returns an objective in the form of the controller settings, if controllers use objectives
/// of this kind.
fn objective_json(objective: &Objective) -> Option<serde_json::Value> {
    match objective {
        Objective::Deadline {
            class,
            times,
            share,
        } => Some(serde_json::json!({
            "kind": "deadline", "class": class, "times": times, "share": share,
        })),
        Objective::Wait {
            class,
            within_s,
            share,
        } => Some(serde_json::json!({
            "kind": "wait", "class": class, "within_s": within_s, "share": share,
        })),
        _ => None,
    }
}

/// Returns the text of the properties file for a run that starts at the wall clock time
/// `epoch_ms`.
pub(crate) fn properties_text(scenario: &Scenario, epoch_ms: u64) -> String {
    let controllers = &scenario.controllers;
    let numbers = controllers.properties.iter();
    let entries = controllers.entries.iter();
    let lines: String = numbers
        .map(|(key, value)| format!("{key}={value}\n"))
        .chain(entries.map(|(key, value)| format!("{key}={value}\n")))
        .collect();
    lines + &runs::properties(scenario, epoch_ms)
}

fn tuning(scenario: &Scenario) -> Result<Tuning, RunError> {
    let text = properties_text(scenario, EPOCH_MS);
    Tuning::from_properties(text.as_bytes()).map_err(|e| RunError::Properties(e.to_string()))
}

/// Progress callback: called repeatedly during a run with the simulated seconds so far and the
/// latest end of the run.
pub type Progress<'a> = &'a mut dyn FnMut(f64, f64);

/// Runs a scenario to its end with a seed.
///
/// # Errors
/// Returns an error if the scenario's settings are invalid, or if the simulation stops.
pub fn run(scenario: &Scenario, seed: u64, progress: Progress<'_>) -> Result<Outcome, RunError> {
    let simulation = Simulation::new(seed, NetworkConfig::default());
    let world = simulation.world();
    let scenario = Rc::new(scenario.clone());
    let tuning = tuning(&scenario)?;
    let configs: Result<Vec<Settings>, RunError> = (0..scenario.controllers.count)
        .map(|n| settings(&scenario, n))
        .collect();
    let configs = configs?;
    let most = scenario.ends_s();
    let (progress_sender, progress_receiver) = std::sync::mpsc::channel::<f64>();
    let (simulated_scenario, final_world) = (scenario.clone(), world.clone());
    let result = simulation.block_on_observed(
        async move {
            let begin = |world: &WorldHandle, scenario: &Scenario| {
                start_controllers(world, scenario, seed, configs, &tuning)
            };
            execute(world, simulated_scenario, seed, begin, progress_sender).await
        },
        || {
            if let Some(at) = progress_receiver.try_iter().last() {
                progress(at, most);
            }
        },
    )?;
    Ok(Outcome::of(&scenario, seed, result, &final_world))
}

impl Outcome {
    pub(crate) fn of(
        scenario: &Scenario,
        seed: u64,
        events: Vec<Event>,
        world: &WorldHandle,
    ) -> Outcome {
        let WorkCounters { packets, steps } = world.work_counters();
        let (_, hash) = crate::history::lines(&events);
        let processor_s = world.total_cpu_s();
        let most_s = scenario.controllers.processor_most_s;
        Outcome {
            seed,
            figures: Figures {
                processor_s,
                overrun: most_s.is_some_and(|most_s| processor_s > most_s),
                ..evaluate(scenario, &events)
            },
            events,
            hash,
            length_s: world.now(),
            packets,
            steps,
        }
    }
}

/// Runs a scenario in a simulated or real world, and returns the history. `begin` starts the
/// controllers.
pub(crate) async fn execute(
    world: WorldHandle,
    scenario: Rc<Scenario>,
    seed: u64,
    begin: impl FnOnce(&WorldHandle, &Scenario) -> Vec<Controller>,
    progress: std::sync::mpsc::Sender<f64>,
) -> Vec<Event> {
    let at = Addresses {
        simulated: world.is_simulated(),
    };
    let history = History::new(world.clone());
    let host = |name: &str, b, d| world.add_host(HostSpec::new(name, at.ip(b, 0, d)));
    let regional = [
        host("state", 2, 1),
        host("cloud", 2, 2),
        host("users", 3, 1),
    ];
    let count = scenario.controllers.count;
    let fronts: Vec<SocketAddr> = (0..count).map(|n| at.client_addr(n)).collect();
    let named = (0..count)
        .map(|n| (member_name(n), at.client_addr(n)))
        .collect();
    let ledger = KvStoreHost::new(world.clone(), history.clone(), &scenario.state, count, seed);
    let fleet = Fleet::new(
        world.clone(),
        history.clone(),
        scenario.clone(),
        seed,
        named,
    );
    let users = Users::new(fleet.clone(), Balancer::new(fronts), seed);
    let doors = ledger.clone();
    world.start(regional[0], async move {
        for n in 0..count {
            spawn(doors.clone().serve_controller(n, at.state_addr(n)));
        }
        doors.expire().await;
    });
    world.start(regional[1], fleet.clone().serve_cloud(at.cloud_addr()));
    world.start(regional[2], users.clone().run());
    fleet.begin();
    let controllers = begin(&world, &scenario);
    let state = ledger.clone();
    let injector = Rc::new(FaultInjector {
        world: world.clone(),
        fleet: fleet.clone(),
        ledger,
        users: users.clone(),
        controllers,
        regional,
        rng: FaultInjector::rng(seed),
        struck: std::cell::RefCell::default(),
    });
    for failure in scenario.failures.clone() {
        spawn(injector.clone().inject(failure));
    }
    spawn(fleet.clone().charge());
    spawn(fleet.clone().watch_leases());
    if let Some(store) = &fleet.store {
        spawn(store.clone().run(world.clone(), history.clone()));
    }
    let most = scenario.ends_s();
    let mut last_state_sample_s = 0.0;
    loop {
        sleep(1.0).await;
        let now = world.now();
        record_sample(&fleet);
        if now >= last_state_sample_s + STATE_SAMPLE_INTERVAL_S {
            last_state_sample_s = now;
            history.add(state.figures.sample());
        }
        // Sending fails if the receiver of the progress was dropped, which is not an error.
        let _ = progress.send(now);
        if now >= scenario.length_s {
            users.closed.set(true);
            if users.waiting.get() == 0 || now >= most {
                break;
            }
        }
    }
    history.take()
}

fn start_controllers(
    world: &WorldHandle,
    scenario: &Scenario,
    seed: u64,
    configs: Vec<Settings>,
    tuning: &Tuning,
) -> Vec<Controller> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x6e6f_6465);
    let build = |(n, config): (usize, Settings)| {
        let at = Addresses { simulated: true };
        let mut spec = HostSpec::new(member_name(n), at.ip(0, 0, n as u8 + 1));
        spec.clock_rate = rng.random_range(1.0..=1.0005);
        spec.skew_ms = rng.random_range(-1.0..1.0) * scenario.controllers.skew_ms;
        spec.max_sockets = scenario.controllers.max_sockets;
        spec.cpu_per_step_s = STEP_S;
        spec.cpu_share = scenario.controllers.core;
        let host: HostId = world.add_host(spec);
        let ends = world.clone();
        let (world, tuning) = (world.clone(), tuning.clone());
        let start = move || {
            let (config, tuning, clock) = (config.clone(), tuning.clone(), world.clock(host));
            world.start(host, async move {
                if let Err(e) = umbersail_control::run(config, tuning, clock).await {
                    unreachable!("a simulated controller can't open its listening socket: {e}");
                }
            });
        };
        start();
        Controller {
            member: member_name(n),
            zone: controller_zone(scenario, n).to_owned(),
            host,
            start: Box::new(start),
            end: Box::new(move || ends.kill(host)),
            pause: None,
        }
    };
    configs.into_iter().enumerate().map(build).collect()
}

/// Records one sample for the charts of the report.
fn record_sample(fleet: &Fleet) {
    let up = fleet.up();
    let cpus = up.iter().map(|m| m.worker.cpus_in_use()).sum::<f64>();
    let spot = up.iter().filter(|m| m.spot).count();
    let waiting = fleet.waiting();
    fleet.history.add(EventKind::UsageSample {
        cpus: (cpus * 1000.0).round() / 1000.0,
        waiting,
        ordinary: (up.len() - spot) as u32,
        spot: spot as u32,
        spent: (fleet.spent.get() * 1e6).round() / 1e6,
    });
}

/// Runs a scenario with several seeds on up to `threads` threads, and returns the outcomes in
/// the order of `seeds`.
///
/// # Errors
/// Returns the error of the first seed in this order that failed.
pub fn run_many(
    scenario: &Scenario,
    seeds: &[u64],
    threads: usize,
) -> Result<Vec<Outcome>, RunError> {
    let next = std::sync::atomic::AtomicUsize::new(0);
    let mut found: Vec<(usize, Result<Outcome, RunError>)> = std::thread::scope(|scope| {
        let work = || {
            let mut mine = Vec::new();
            loop {
                let index = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                let Some(seed) = seeds.get(index) else {
                    return mine;
                };
                mine.push((index, run(scenario, *seed, &mut |_, _| {})));
            }
        };
        let workers: Vec<_> = (0..threads.clamp(1, seeds.len().max(1)))
            .map(|_| scope.spawn(work))
            .collect();
        let joined = workers.into_iter().flat_map(|w| match w.join() {
            Ok(mine) => mine,
            // Passes a panic of a controller, such as a failed assertion, on to the caller.
            Err(panic) => std::panic::resume_unwind(panic),
        });
        joined.collect()
    });
    found.sort_by_key(|(index, _)| *index);
    found.into_iter().map(|(_, outcome)| outcome).collect()
}
