//! Distribution of large images that many machines need: what the engine reports to the cache
//! view of `umbersail-images`, and what it asks the cache view before it sends a launch.
//!
//! Only a launch that has not been sent to its worker waits for its turn to fetch. A launch
//! that was sent is decided by heartbeats as usual (rules 3 and 5 of `docs/design.md`).

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use tracing::{debug, info, warn};
use umbersail_cycle::ImageKey;
use umbersail_images::{CacheView, Decision, FetchPriority, FetchRequest, ImageRecord, Settings};
use umbersail_policy::allows_type;
use umbersail_tuning::Tuning;
use umbersail_wire::{Heartbeat, JobSpec, MachineType, Priority, TaskState};

use super::{Engine, Job, JobId, MachineId, Plans, Time};
use crate::engine::Machine;
use crate::engine::heartbeats::split_task;

/// Kind of the image records: the prefix of their names.
const KIND: &str = "images";
/// Version of the format of the image records.
const VERSION: u32 = 1;
/// How long a new leader keeps the records of its predecessor, in seconds: by then every live
/// machine has shown in its heartbeats what it fetches.
const INHERITED_RECORD_S: f64 = 30.0;
/// Longest image name, in bytes, that is used in the name of a record.
const MAX_NAME_BYTES: usize = 120;

/// State of the images that are being distributed.
pub(in crate::engine) struct Images {
    cache_view: CacheView<MachineId, ImageKey>,
    peer_to_peer: bool,
    /// Names of the tracked images, by key.
    names: BTreeMap<ImageKey, Rc<str>>,
    max_names: usize,
    inherited_at: Time,
    logged_at: Option<Time>,
}

impl Images {
    pub fn new(now: Time, tuning: &Tuning) -> Images {
        let settings = Settings::from_tuning(tuning);
        Images {
            peer_to_peer: settings.peer_to_peer,
            max_names: settings.max_tracked_images,
            cache_view: CacheView::new(settings),
            names: BTreeMap::new(),
            inherited_at: now,
            logged_at: None,
        }
    }

    /// Whether the machine has the only copy of an image in its zone while other machines fetch
    /// that image or wait for it. Such a machine is not returned.
    pub fn is_last_holder(&self, machine: &MachineId) -> bool {
        self.cache_view.is_last_holder(machine)
    }

    /// Whether a launch on the machine waits for its turn to fetch the image.
    pub fn is_queued(&self, image: ImageKey, machine: &MachineId) -> bool {
        self.cache_view.is_queued(&image, machine)
    }

    /// Cancels the machine's fetch of an image that no task on the machine uses any more.
    pub fn cancel_fetch(&mut self, image: ImageKey, machine: &MachineId) {
        self.cache_view.cancel_fetch(&image, machine);
    }

    /// Forgets a machine that no longer exists, with its cache.
    pub fn remove_machine(&mut self, machine: &MachineId) {
        self.cache_view.remove_machine(machine);
    }

    /// Restricts a job to machine types whose caches are large enough for its image, if
    /// peer-to-peer transfer is enabled.
    pub fn restrict_types(&self, spec: &mut JobSpec, types: &[MachineType]) {
        if !self.peer_to_peer {
            return;
        }
        let allowed = types.iter().filter(|t| allows_type(spec, &t.name));
        let (fit, small): (Vec<_>, Vec<_>) = allowed.partition(|t| image_fits_cache(t, spec));
        // A job whose image fits no cache was accepted under other settings. It keeps its
        // types and waits.
        if !small.is_empty() && !fit.is_empty() {
            spec.types = Some(fit.into_iter().map(|t| t.name.clone()).collect());
        }
    }

    /// Remembers the name of a tracked image.
    fn track_name(&mut self, image: ImageKey, name: &str) {
        if self.names.contains_key(&image) {
            return;
        }
        if self.names.len() >= self.max_names {
            let cache_view = &self.cache_view;
            self.names
                .retain(|image, _| !cache_view.counts(image).is_empty());
        }
        if self.names.len() < 2 * self.max_names {
            self.names.insert(image, name.into());
        }
    }
}

/// Whether the cache of a machine type is large enough for the job's image.
pub(crate) fn image_fits_cache(machine_type: &MachineType, spec: &JobSpec) -> bool {
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
    let short = image.len() <= MAX_NAME_BYTES && image.chars().all(plain);
    match short {
        true => format!("{KIND}/{image}"),
        // The state service allows only short keys without spaces.
        false => format!("{KIND}/#{:?}", ImageKey::of(image)),
    }
}

/// The request to fetch a job's image on a machine; `None` if the machine's type is unknown.
fn request_of<'a>(
    types: &[MachineType],
    job: &'a Job,
    machine: &'a Machine,
    attempt: u64,
    concurrent: usize,
) -> Option<FetchRequest<'a, MachineId, ImageKey>> {
    Some(FetchRequest {
        image: &job.image,
        size_gb: job.spec.image_gb,
        rate_gb_s: types.get(machine.type_index?)?.fetch_gb_per_s,
        machine: &machine.name,
        zone: &machine.zone,
        // A cycle places the most urgent tasks first and numbers the attempts in that order.
        priority: FetchPriority {
            tier: tier(job.spec.priority),
            order: attempt,
        },
        concurrent_fetches: concurrent,
    })
}

impl Engine {
    /// The tasks of a machine in the order in which their images should be fetched: concurrent
    /// fetches share the machine's bandwidth.
    pub(in crate::engine) fn tasks_by_priority(&self, machine: &MachineId) -> Vec<(JobId, u32)> {
        let tasks = self.machines[machine].tasks.iter();
        let mut tasks: Vec<(JobId, u32)> = tasks.cloned().collect();
        if self.plans.images.peer_to_peer {
            tasks.sort_by_key(|(id, task)| {
                let job = self.jobs.get(id);
                let attempt = job.and_then(|j| Some(j.placements.get(task)?.attempt));
                (job.map(|j| tier(j.spec.priority)), attempt)
            });
        }
        tasks
    }

    /// Requests a fetch for a launch that is about to be sent. Returns the addresses of the
    /// workers that the image can be fetched from; the list is empty if the image comes from
    /// the image store or is already cached. Returns `None` if the fetch would only slow down
    /// fetches of higher priority: the launch is then sent with a later reply, and until then
    /// no task has started (rule 5).
    pub(in crate::engine) fn request_fetch(
        &mut self,
        now: Time,
        machine: &MachineId,
        id: &JobId,
        task: u32,
    ) -> Option<Vec<String>> {
        let no_sources = Some(Vec::new());
        let silent_after = self.silence_limit_s();
        let (Some(job), Some(known)) = (self.jobs.get(id), self.machines.get(machine)) else {
            return no_sources;
        };
        let Some(attempt) = job.placements.get(&task).map(|p| p.attempt) else {
            return no_sources;
        };
        if known.images.contains(&job.image) {
            return no_sources;
        }
        let concurrent = known.image_uses.len();
        let Some(request) = request_of(&self.machine_types, job, known, attempt, concurrent) else {
            return no_sources;
        };
        let machines = &self.machines;
        // A usable source is reachable, has no reclaim notice, and its lease is not about to
        // expire.
        let usable = |m: &MachineId| {
            let holder = machines.get(m);
            holder.is_some_and(|m| m.addr.is_some() && m.accepts_tasks(now, silent_after))
        };
        let images = &mut self.plans.images;
        match images.cache_view.request_fetch(now, &request, usable) {
            Decision::Wait => {
                debug!(
                    job = &**id,
                    task,
                    machine = &**machine,
                    "launch waits for its turn to fetch the image"
                );
                None
            }
            Decision::Start { sources } => {
                if images.peer_to_peer
                    && images
                        .cache_view
                        .is_large(request.size_gb, request.rate_gb_s)
                {
                    images.track_name(job.image, &job.spec.image);
                }
                let address = |m: &MachineId| Some(machines.get(m)?.addr?.to_string());
                Some(sources.iter().filter_map(address).collect())
            }
        }
    }

    /// Reports to the cache view which images a machine fetches according to its newest
    /// heartbeat.
    pub(in crate::engine) fn observe_fetches(
        &mut self,
        now: Time,
        name: &MachineId,
        heartbeat: &Heartbeat,
    ) {
        if self.plans.images.peer_to_peer {
            self.plans.images.cache_view.observe_heartbeat(name);
        }
        let fetching = |state| state == TaskState::Fetching;
        if !heartbeat.tasks.iter().any(|t| fetching(t.state)) {
            return;
        }
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let mut fetches: Vec<(ImageKey, u64, &Job)> = Vec::new();
        for entry in heartbeat.tasks.iter().filter(|t| fetching(t.state)) {
            let job = split_task(&entry.task).and_then(|(id, _)| self.jobs.get(id));
            if let Some(job) = job
                && !fetches.iter().any(|(image, ..)| *image == job.image)
            {
                fetches.push((job.image, entry.attempt, job));
            }
        }
        let concurrent = fetches.len();
        let images = &mut self.plans.images;
        for (image, attempt, job) in fetches {
            if let Some(request) =
                request_of(&self.machine_types, job, machine, attempt, concurrent)
            {
                images.cache_view.observe_fetching(now, &request);
                if images.peer_to_peer
                    && images
                        .cache_view
                        .is_large(request.size_gb, request.rate_gb_s)
                {
                    images.track_name(image, &job.spec.image);
                }
            }
        }
    }

    /// Called when a task runs: the machine has the task's image, and may have evicted other
    /// images from its cache for it.
    pub(in crate::engine) fn observe_cached_image(
        &mut self,
        now: Time,
        name: &MachineId,
        id: &JobId,
        evicted: &[ImageKey],
    ) {
        let (Some(job), Some(machine)) = (self.jobs.get(id), self.machines.get(name)) else {
            return;
        };
        let images = &mut self.plans.images;
        for image in evicted {
            images.cache_view.remove_image(image, name);
        }
        if let Some(request) = request_of(&self.machine_types, job, machine, 0, 1) {
            images.cache_view.observe_cached(now, &request);
        }
    }

    /// Restores what previous leaders recorded: transfer rates, and the machines that fetch
    /// from the image store. Everything else is in heartbeats; no fetch is restarted.
    pub(super) fn inherit_images(&mut self, now: Time) {
        for name in self.plans.store.names(KIND) {
            let found = self.plans.store.read::<ImageRecord>(&name, VERSION);
            let reason = match found {
                Ok(Some(record)) => match record.validate() {
                    Ok(()) => {
                        let image = ImageKey::of(&record.image);
                        let images = &mut self.plans.images;
                        images.track_name(image, &record.image);
                        images.cache_view.restore(now, image, &record, |m| m.into());
                        info!(
                            image = record.image,
                            from_store = record.from_store.len(),
                            "took over the distribution of an image"
                        );
                        continue;
                    }
                    Err(reason) => reason.to_string(),
                },
                Ok(None) => continue,
                Err(e) => e.to_string(),
            };
            warn!(plan = name, reason, "ignoring an unusable recorded plan");
            self.plans.store.ignore(&name);
        }
    }

    /// Updates the records of images that are being distributed and logs their status
    /// periodically.
    pub(super) fn tick_images(&mut self, now: Time) {
        let Plans { images, store, .. } = &mut self.plans;
        let names = &images.names;
        let name = |image: &ImageKey| names.get(image).map_or(String::new(), |n| n.to_string());
        let machine = |m: &MachineId| m.to_string();
        let records = images.cache_view.records(name, machine);
        let mut current = BTreeSet::new();
        for (image, record) in records.iter().filter(|(image, _)| !image.is_empty()) {
            let plan = plan_name(image);
            if let Err(e) = store.put(now, &plan, VERSION, record) {
                debug!(image, reason = %e, "cannot record the distribution of an image");
            }
            current.insert(plan);
        }
        if now - images.inherited_at > INHERITED_RECORD_S {
            for plan in store.names(KIND) {
                if !current.contains(&plan) {
                    store.remove(now, &plan);
                }
            }
        }
        let status_s = self.cfg.tuning.status_log_interval_s;
        if images.logged_at.is_some_and(|at| now - at < status_s) {
            return;
        }
        images.logged_at = Some(now);
        for (image, name) in &images.names {
            let counts = images.cache_view.counts(image);
            if counts.fetching + counts.waiting > 0 {
                let rates = images.cache_view.rates();
                info!(
                    image = &**name,
                    fetching = counts.fetching,
                    waiting = counts.waiting,
                    cached = counts.cached,
                    store_gb_s = rates.store_gb_s(),
                    peer_gb_s = rates.peer_gb_s(),
                    "status of image distribution"
                );
            }
        }
    }
}
