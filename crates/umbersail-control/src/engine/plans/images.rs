//! Large images that many machines want: what the engine reports to the cache
//! view of `umbersail-images`, and what it asks before a launch is told.
//!
//! Only launches wait for a fetch's turn, and only ones that no worker was told of: what
//! was told is settled by reports as ever (rules 3 and 5).

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use tracing::{debug, info, warn};
use umbersail_cycle::ImageKey;
use umbersail_images::{CacheView, Decision, FetchPriority, FetchRequest, ImageRecord, Settings};
use umbersail_policy::allows_type;
use umbersail_tuning::Tuning;
use umbersail_wire::{JobSpec, MachineType, Priority, Report, TaskState};

use super::{Engine, Job, JobId, MachineId, Plans, Time};
use crate::engine::Machine;
use crate::engine::report::split_task;

/// The kind of these plans' records.
const KIND: &str = "images";
const VERSION: u32 = 1;
/// A record that a successor found stands for so many seconds, until every machine that
/// lives has shown what it fetches.
const FOUND_S: f64 = 30.0;
/// A plan's name has room for so long a name of an image.
const NAME_BYTES: usize = 120;

/// Images under way.
pub(in crate::engine) struct Images {
    cache_view: CacheView<MachineId, ImageKey>,
    hand_on: bool,
    /// Names of images that count, by key: as many as the cache view tracks.
    names: BTreeMap<ImageKey, Rc<str>>,
    most: usize,
    found_at: Time,
    told_at: Option<Time>,
}

impl Images {
    pub fn new(now: Time, tuning: &Tuning) -> Images {
        let settings = Settings::from_tuning(tuning);
        Images {
            hand_on: settings.peer_to_peer,
            most: settings.max_images,
            cache_view: CacheView::new(settings),
            names: BTreeMap::new(),
            found_at: now,
            told_at: None,
        }
    }

    /// Whether the machine is kept for others that want an image of its.
    pub fn keeps(&self, machine: &MachineId) -> bool {
        self.cache_view.is_last_holder(machine)
    }

    /// Whether its launch waits for its fetch's turn.
    pub fn waits(&self, image: ImageKey, machine: &MachineId) -> bool {
        self.cache_view.is_queued(&image, machine)
    }

    /// No task on the machine uses the image any more.
    pub fn unused(&mut self, image: ImageKey, machine: &MachineId) {
        self.cache_view.cancel_fetch(&image, machine);
    }

    pub fn gone(&mut self, machine: &MachineId) {
        self.cache_view.remove_machine(machine);
    }

    /// Types whose caches hold the image, where workers hand on; without, whatever
    /// the job allows.
    pub fn narrow(&self, spec: &mut JobSpec, types: &[MachineType]) {
        if !self.hand_on {
            return;
        }
        let allowed = types.iter().filter(|t| allows_type(spec, &t.name));
        let (fit, small): (Vec<_>, Vec<_>) = allowed.partition(|t| holds(t, spec));
        // One that fits none was accepted under other settings, and waits.
        if !small.is_empty() && !fit.is_empty() {
            spec.types = Some(fit.into_iter().map(|t| t.name.clone()).collect());
        }
    }

    fn remember(&mut self, image: ImageKey, name: &str) {
        if self.names.contains_key(&image) {
            return;
        }
        if self.names.len() >= self.most {
            let cache_view = &self.cache_view;
            self.names
                .retain(|image, _| !cache_view.counts(image).is_empty());
        }
        if self.names.len() < 2 * self.most {
            self.names.insert(image, name.into());
        }
    }
}

/// Whether the type's cache holds the job's image.
pub(crate) fn holds(machine_type: &MachineType, spec: &JobSpec) -> bool {
    machine_type.cache_gb + 1e-6 >= spec.image_gb
}

fn tier(priority: Priority) -> u8 {
    match priority {
        Priority::Production => 0,
        Priority::High => 1,
        Priority::Normal => 2,
        Priority::Low => 3,
    }
}

fn plan_name(image: &str) -> String {
    let plain = |c: char| c.is_ascii_graphic();
    let short = image.len() <= NAME_BYTES && image.chars().all(plain);
    match short {
        true => format!("{KIND}/{image}"),
        // A key has no spaces and is short.
        false => format!("{KIND}/#{:?}", ImageKey::of(image)),
    }
}

/// The request for a job's image on a machine.
fn request_of<'a>(
    types: &[MachineType],
    job: &'a Job,
    machine: &'a Machine,
    attempt: u64,
    shared: usize,
) -> Option<FetchRequest<'a, MachineId, ImageKey>> {
    Some(FetchRequest {
        image: &job.image,
        size_gb: job.spec.image_gb,
        rate_gb_s: types.get(machine.type_index?)?.fetch_gb_per_s,
        machine: &machine.name,
        zone: &machine.zone,
        // Cycles place the most urgent first, and number attempts as they do.
        priority: FetchPriority {
            tier: tier(job.spec.priority),
            order: attempt,
        },
        concurrent_fetches: shared,
    })
}

impl Engine {
    /// What a machine holds, in the order in which fetches should begin: they share
    /// its rate.
    pub(in crate::engine) fn held_by_urgency(&self, machine: &MachineId) -> Vec<(JobId, u32)> {
        let held = self.machines[machine].tasks.iter();
        let mut held: Vec<(JobId, u32)> = held.cloned().collect();
        if self.plans.images.hand_on {
            held.sort_by_key(|(id, task)| {
                let job = self.jobs.get(id);
                let attempt = job.and_then(|j| Some(j.live.get(task)?.attempt));
                (job.map(|j| tier(j.spec.priority)), attempt)
            });
        }
        held
    }

    /// Whether a launch may be told now, and whom its worker may fetch from; `None` if
    /// the fetch would only slow others that go first: the launch goes with a later reply,
    /// and until then nothing has started (rule 5).
    pub(in crate::engine) fn may_fetch(
        &mut self,
        now: Time,
        machine: &MachineId,
        id: &JobId,
        task: u32,
    ) -> Option<Vec<String>> {
        let at_once = Some(Vec::new());
        let silent_after = self.silent_after();
        let (Some(job), Some(known)) = (self.jobs.get(id), self.machines.get(machine)) else {
            return at_once;
        };
        let Some(attempt) = job.live.get(&task).map(|p| p.attempt) else {
            return at_once;
        };
        if known.images.contains(&job.image) {
            return at_once;
        }
        let shared = known.image_uses.len();
        let Some(request) = request_of(&self.types, job, known, attempt, shared) else {
            return at_once;
        };
        let machines = &self.machines;
        // Neither unreachable nor noticed nor about to lapse.
        let usable = |m: &MachineId| {
            let holder = machines.get(m);
            holder.is_some_and(|m| m.addr.is_some() && m.takes_tasks(now, silent_after))
        };
        let images = &mut self.plans.images;
        match images.cache_view.request(now, &request, usable) {
            Decision::Wait => {
                debug!(job = &**id, task, machine = &**machine, "waits to fetch");
                None
            }
            Decision::Start { sources } => {
                if images.hand_on
                    && images
                        .cache_view
                        .is_large(request.size_gb, request.rate_gb_s)
                {
                    images.remember(job.image, &job.spec.image);
                }
                let address = |m: &MachineId| Some(machines.get(m)?.addr?.to_string());
                Some(sources.iter().filter_map(address).collect())
            }
        }
    }

    /// What a machine's newest report shows of its fetches.
    pub(in crate::engine) fn observe_fetches(
        &mut self,
        now: Time,
        name: &MachineId,
        report: &Report,
    ) {
        if self.plans.images.hand_on {
            self.plans.images.cache_view.observe_report(name);
        }
        let fetching = |state| state == TaskState::Fetching;
        if !report.tasks.iter().any(|t| fetching(t.state)) {
            return;
        }
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let mut seen: Vec<(ImageKey, u64, &Job)> = Vec::new();
        for entry in report.tasks.iter().filter(|t| fetching(t.state)) {
            let job = split_task(&entry.task).and_then(|(id, _)| self.jobs.get(id));
            if let Some(job) = job
                && !seen.iter().any(|(image, ..)| *image == job.image)
            {
                seen.push((job.image, entry.attempt, job));
            }
        }
        let shared = seen.len();
        let images = &mut self.plans.images;
        for (image, attempt, job) in seen {
            if let Some(request) = request_of(&self.types, job, machine, attempt, shared) {
                images.cache_view.observe_fetching(now, &request);
                if images.hand_on
                    && images
                        .cache_view
                        .is_large(request.size_gb, request.rate_gb_s)
                {
                    images.remember(image, &job.spec.image);
                }
            }
        }
    }

    /// A task runs: its machine has the image, and may have lost others for it.
    pub(in crate::engine) fn observe_image(
        &mut self,
        now: Time,
        name: &MachineId,
        id: &JobId,
        pushed_out: &[ImageKey],
    ) {
        let (Some(job), Some(machine)) = (self.jobs.get(id), self.machines.get(name)) else {
            return;
        };
        let images = &mut self.plans.images;
        for image in pushed_out {
            images.cache_view.remove(image, name);
        }
        if let Some(request) = request_of(&self.types, job, machine, 0, 1) {
            images.cache_view.observe_cached(now, &request);
        }
    }

    /// What a holder before us recorded: rates, and who fetches from the store. The rest
    /// is in reports; no fetch is begun anew.
    pub(super) fn inherit_images(&mut self, now: Time) {
        for name in self.plans.store.names(KIND) {
            let found = self.plans.store.read::<ImageRecord>(&name, VERSION);
            let reason = match found {
                Ok(Some(record)) => match record.check() {
                    Ok(()) => {
                        let image = ImageKey::of(&record.image);
                        let images = &mut self.plans.images;
                        images.remember(image, &record.image);
                        images.cache_view.restore(now, image, &record, |m| m.into());
                        info!(
                            image = record.image,
                            from_store = record.from_store.len(),
                            "image under way taken over"
                        );
                        continue;
                    }
                    Err(reason) => reason.to_string(),
                },
                Ok(None) => continue,
                Err(e) => e.to_string(),
            };
            warn!(plan = name, reason, "recorded plan set aside");
            self.plans.store.set_aside(&name);
        }
    }

    /// Keeps the records of images under way, and tells of them now and then.
    pub(super) fn tick_images(&mut self, now: Time) {
        let Plans { images, store, .. } = &mut self.plans;
        let names = &images.names;
        let name = |image: &ImageKey| names.get(image).map_or(String::new(), |n| n.to_string());
        let machine = |m: &MachineId| m.to_string();
        let records = images.cache_view.records(name, machine);
        let mut stand = BTreeSet::new();
        for (image, record) in records.iter().filter(|(image, _)| !image.is_empty()) {
            let plan = plan_name(image);
            if let Err(e) = store.put(now, &plan, VERSION, record) {
                debug!(image, reason = %e, "image under way not recorded");
            }
            stand.insert(plan);
        }
        if now - images.found_at > FOUND_S {
            for plan in store.names(KIND) {
                if !stand.contains(&plan) {
                    store.remove(now, &plan);
                }
            }
        }
        let status_s = self.cfg.tuning.status_s;
        if images.told_at.is_some_and(|at| now - at < status_s) {
            return;
        }
        images.told_at = Some(now);
        for (image, name) in &images.names {
            let counts = images.cache_view.counts(image);
            if counts.fetching + counts.waiting > 0 {
                let rates = images.cache_view.rates();
                info!(
                    image = &**name,
                    fetching = counts.fetching,
                    waiting = counts.waiting,
                    have = counts.cached,
                    store_gb_s = rates.store_gb_s(),
                    handed_gb_s = rates.peer_gb_s(),
                    "image under way"
                );
            }
        }
    }
}
