//! Reservations in the engine. This module keeps reserved machines for the work that they are
//! reserved for, sends the rental requests that are recorded, and stops borrowers when the
//! machines are needed. Which machines are reserved, rented and lent is decided in
//! `umbersail-reserve`.

use std::collections::{BTreeMap, BTreeSet};

use tracing::{debug, error, info, warn};
use umbersail_policy::{Shape, Usage};
use umbersail_reserve::{
    Availability, BootTimeStats, Borrower, ClusterView, EntryLimits, Notice, NoticeKind,
    ReservableMachine, ReservationRecord, Reservations, Settings, VERSION, may_borrow, plan,
};
use umbersail_tuning::Tuning;
use umbersail_wire::RentRequest;

use super::super::rental::MAX_MACHINES_PER_RENTAL;
use super::super::{
    BlockedReason, Engine, EngineConfig, Job, JobId, Machine, MachineId, PendingStop, Time, epoch,
};

/// Kind of the reservation records: the prefix of their names, followed by the entry's name.
const KIND: &str = "reserve";
/// Maximum number of entries that have machines at once: each entry uses two bits of a
/// machine's `reservations`, one for its own work and one for borrowers.
pub(crate) const MAX_RESERVATIONS: usize = 32;
/// The bits of the entries' own work.
const OWN_BITS: u64 = (1 << MAX_RESERVATIONS) - 1;
/// Maximum number of rented machines whose first heartbeat is awaited in order to learn their
/// boot times; the boot times of further machines are not learned. The value is twice a fleet
/// of 4,000 machines that is rented at once.
const MAX_AWAITED_BOOTS: usize = 8192;

/// Free capacity of reserved machines.
type FreeCapacity<'a> = BTreeMap<&'a MachineId, Shape>;
/// Tasks that borrow reserved machines, each with its job.
type Borrowers<'a> = BTreeMap<&'a MachineId, Vec<(&'a JobId, u32, &'a Job)>>;

/// The leader's state of all reservations.
pub(in crate::engine) struct ReservationState {
    entries: Reservations,
    settings: Settings,
    records: BTreeMap<String, ReservationRecord>,
    /// For each entry that has machines, the bit of its own work.
    bits: BTreeMap<String, u64>,
    /// Boot times learned for each machine type.
    boots: BootTimeStats,
    /// Rented machines that have sent no heartbeat yet, with the time of the rental.
    booting: BTreeMap<MachineId, Time>,
    /// Names of the rental requests that were sent and not answered. They are sent again under
    /// the same names.
    sent: BTreeSet<String>,
    next_round: Time,
    /// For each entry whose record cannot be written, the reason that was logged last.
    write_errors: BTreeMap<String, String>,
}

/// The teams and limits that an operator's entries are validated against.
pub(crate) fn reservation_limits<'a>(
    teams: &'a [umbersail_policy::TeamLimits],
    tuning: &Tuning,
) -> EntryLimits<'a> {
    EntryLimits {
        teams,
        max_entries: (tuning.max_reservations as usize).min(MAX_RESERVATIONS),
        max_machines: tuning.max_reservation_machines as u32,
    }
}

impl ReservationState {
    pub fn new(cfg: &EngineConfig) -> ReservationState {
        let tuning = &cfg.tuning;
        // The entries were validated when the process started, so parsing does not fail here.
        let entries = Reservations::parse(
            &tuning.plan_entries,
            &reservation_limits(&cfg.teams, tuning),
        );
        let entries = entries.unwrap_or_else(|e| {
            error!(
                key = e.key,
                reason = e.reason,
                "ignoring all reservations: an entry is invalid"
            );
            Reservations::default()
        });
        ReservationState {
            entries,
            settings: Settings {
                settings_delay_s: tuning.reserve_settings_delay_s,
                lead_margin_s: tuning.reserve_lead_margin_s,
                max_lead_s: tuning.reserve_max_lead_s,
                boot_quantile: tuning.reserve_boot_quantile,
                boot_timeout_factor: tuning.boot_timeout_factor,
                boot_timeout_margin_s: tuning.boot_timeout_margin_s,
                max_machines_per_request: MAX_MACHINES_PER_RENTAL,
                max_pending_requests: tuning.max_reservation_requests as usize,
                max_machines: tuning.max_reservation_machines as u32,
                borrow_after_s: tuning.reserve_borrow_after_s,
                guarantee_wait_s: tuning.reserve_guarantee_wait_s,
            },
            records: BTreeMap::new(),
            bits: BTreeMap::new(),
            boots: BootTimeStats::new(
                tuning.max_boot_samples as usize,
                tuning.max_classes as usize,
            ),
            booting: BTreeMap::new(),
            sent: BTreeSet::new(),
            next_round: 0.0,
            write_errors: BTreeMap::new(),
        }
    }

    fn is_idle(&self) -> bool {
        self.entries.is_empty() && self.records.is_empty()
    }

    /// The bits of the entries that reserve machines for the job's work.
    fn own_bits(&self, job: &Job) -> u64 {
        let spec = &job.spec;
        let covers = |name: &String| {
            let record = self.records.get(name);
            record.is_some_and(|r| r.terms.covers(&spec.team, &spec.class, spec.priority))
        };
        let bits = self.bits.iter().filter(|(name, _)| covers(name));
        bits.fold(0, |all, (_, bit)| all | bit)
    }
}

/// The bit for borrowers that belongs to the bit of an entry's own work.
fn borrower_bit(own: u64) -> u64 {
    own << MAX_RESERVATIONS
}

/// Free capacity of reserved machines, as used by the rental of further machines.
pub(in crate::engine) struct ReservedCapacity<'a> {
    capacity: Vec<(&'a Machine, usize, Shape)>,
}

impl ReservedCapacity<'_> {
    /// Assigns a job's waiting tasks to reserved machines. Returns how many of the `tasks`
    /// (running and waiting) run on reserved machines or were assigned to them.
    pub fn assign(&mut self, engine: &Engine, job: &Job, tasks: u32) -> u32 {
        let on_reserved = |p: &&super::super::Placement| {
            let machine = engine.machines.get(&p.machine);
            machine.is_some_and(|m| m.reservations != 0)
        };
        let running = job.placements.values().filter(on_reserved).count() as u32;
        let own = engine.plans.reserve.own_bits(job);
        let mut waiting = tasks
            .saturating_sub(job.occupied_tasks() as u32)
            .min(job.startable());
        let mut assigned = 0;
        if own != 0 {
            let (only_zone, mut in_zones) = engine.zones_of(job);
            let max_per_zone = job.spec.max_per_zone().unwrap_or(u32::MAX);
            for (machine, _, free) in &mut self.capacity {
                if waiting == 0 {
                    break;
                }
                if machine.reservations & own == 0
                    || only_zone.as_ref().is_some_and(|z| *z != machine.zone)
                    || !engine.can_host(job, machine)
                {
                    continue;
                }
                let in_zone = in_zones.entry(machine.zone.clone()).or_default();
                let slots = job.shape.slots_in(free).min(waiting);
                let slots = slots.min(max_per_zone.saturating_sub(*in_zone));
                *in_zone += slots;
                free.add(&job.shape, -f64::from(slots));
                waiting -= slots;
                assigned += slots;
            }
        }
        (running + assigned).min(tasks)
    }

    /// How many tasks of a shape fit on the machines that are reserved for a class, in addition
    /// to the tasks that were assigned.
    pub fn free_slots(&self, engine: &Engine, class: &str, shape: &Shape) -> u32 {
        let reserve = &engine.plans.reserve;
        let named = |name: &String| {
            let record = reserve.records.get(name);
            record.is_some_and(|r| r.terms.classes.iter().any(|c| c == class))
        };
        let bits = reserve.bits.iter().filter(|(name, _)| named(name));
        let bits = bits.fold(0, |all, (_, bit)| all | bit);
        let capacity = self
            .capacity
            .iter()
            .filter(|(m, _, _)| m.reservations & bits != 0);
        capacity.map(|(_, _, free)| shape.slots_in(free)).sum()
    }
}

impl Engine {
    /// Restores the reservations that previous leaders recorded. Their machines are known from
    /// now on, even if the cloud's list does not contain them yet.
    pub(in crate::engine) fn inherit_reservations(&mut self, now: Time) {
        for key in self.plans.store.names(KIND) {
            let name = key[KIND.len() + 1..].to_owned();
            match self.plans.store.read::<ReservationRecord>(&key, VERSION) {
                Ok(Some(record)) => {
                    self.plans.reserve.records.insert(name, record);
                }
                Ok(None) => {}
                Err(e) => {
                    let reason = e.to_string();
                    warn!(
                        plan = key,
                        reason, "ignoring an unusable recorded reservation"
                    );
                    self.plans.store.ignore(&key);
                }
            }
        }
        let mut held = Vec::new();
        for batch in self.plans.reserve.records.values().flat_map(|r| &r.batches) {
            for name in batch.machines.iter().flatten() {
                held.push((name.clone(), batch.clone()));
            }
        }
        for (name, batch) in held {
            let index = self.type_index(&batch.machine_type);
            let name: MachineId = name.as_str().into();
            self.machines
                .entry(name.clone())
                .or_insert_with(|| Machine::new(name, index, batch.zone.clone(), batch.spot, now));
        }
        self.mark_reserved(now);
    }

    /// Called when a job was accepted: allows the job to use the machines that are reserved for
    /// its work at once, without waiting for the next round.
    pub(in crate::engine) fn set_job_reservations(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get(id) {
            let own = self.plans.reserve.own_bits(job);
            if let Some(job) = self.jobs.get_mut(id) {
                job.reservations = own;
            }
        }
    }

    /// Runs one round of reservations when it is due: see [`umbersail_reserve::plan`].
    pub(in crate::engine) fn tick_reservations(&mut self, now: Time) {
        if self.plans.reserve.is_idle() || now < self.plans.reserve.next_round {
            return;
        }
        self.plans.reserve.next_round = now + self.cfg.tuning.reserve_interval_s;
        let known = &self.machines;
        (self.plans.reserve.booting).retain(|name, _| known.contains_key(name));
        let mut records = std::mem::take(&mut self.plans.reserve.records);
        let mut requests = self.request_counter;
        let notices = self.plan_reservations(now, &mut records, &mut requests);
        self.request_counter = requests;
        self.plans.reserve.records = records;
        for Notice { entry, kind } in notices {
            match kind {
                NoticeKind::Shortfall(_) => warn!(entry, "reservation: {kind}"),
                _ => info!(entry, "reservation: {kind}"),
            }
        }
        self.record_reservations(now);
        self.mark_reserved(now);
        self.reclaim_lent_machines(now);
    }

    fn plan_reservations(
        &self,
        now: Time,
        records: &mut BTreeMap<String, ReservationRecord>,
        requests: &mut u64,
    ) -> Vec<Notice> {
        let reserve = &self.plans.reserve;
        let usage = self.guaranteed_usage();
        let mut machines = BTreeMap::new();
        for record in records.values() {
            for name in record.machines() {
                let found = self.machines.get_key_value(name);
                if let Some((name, machine)) = found
                    && machine.delete_reason.is_none()
                    && let Some(type_index) = machine.type_index
                {
                    let held = ReservableMachine {
                        type_index,
                        zone: &machine.zone,
                        spot: machine.spot,
                        availability: self.availability(now, record, machine, &usage),
                        idle: is_empty(machine),
                    };
                    machines.insert(&**name, held);
                }
            }
        }
        let silent_after = self.silence_limit_s();
        let idle_s = self.cfg.tuning.reserve_adopt_after_s;
        let mut free = BTreeMap::new();
        for (name, machine) in &self.machines {
            if machine.reservations == 0
                && !machines.contains_key(&**name)
                && is_empty(machine)
                && now - machine.idle_since >= idle_s
                && machine.accepts_tasks(now, silent_after)
                && let Some(type_index) = machine.type_index
            {
                let idle = ReservableMachine {
                    type_index,
                    zone: &machine.zone,
                    spot: machine.spot,
                    availability: Availability::Available,
                    idle: true,
                };
                free.insert(&**name, idle);
            }
        }
        let largest = reserve.entries.iter().filter_map(|entry| {
            let of_entry = entry
                .terms
                .classes
                .iter()
                .filter_map(|c| self.class_samples.get(c));
            let largest = of_entry
                .map(|s| s.task_shape)
                .reduce(|a, b| a.elementwise_max(&b))?;
            Some((entry.name.clone(), largest))
        });
        let view = ClusterView {
            now_ms: self.plans.unix_ms(now),
            leader_for_s: now - self.elected_at,
            types: &self.machine_types,
            teams: &self.cfg.teams,
            machines: &machines,
            idle_machines: &free,
            is_refused: &|index, zone, spot| self.is_rental_backed_off(now, index, zone, spot),
            largest_tasks: &largest.collect(),
            boot_times: &reserve.boots,
            settings: &reserve.settings,
        };
        // The fencing token differs for every leader, so no request name is used twice.
        let mut new_request = || {
            *requests += 1;
            format!("{}-{}-{requests}", self.cfg.member, epoch(self.token))
        };
        plan(&reserve.entries, records, &view, &mut new_request)
    }

    /// State of a reserved machine: booting, available, lent to borrowers that stay, or not
    /// available.
    fn availability(
        &self,
        now: Time,
        record: &ReservationRecord,
        machine: &Machine,
        usage: &[Usage],
    ) -> Availability {
        let Some(last_heartbeat) = machine.last_heartbeat else {
            return Availability::Booting;
        };
        let silent = now - last_heartbeat > self.cfg.tuning.reserve_silent_after_s;
        let out =
            silent || (machine.reachability.is_unreachable() && !self.is_mostly_unreachable());
        if out || machine.quarantined || machine.reclaim_at.is_some() {
            return Availability::Unavailable;
        }
        let stays = |(id, _): &(JobId, u32)| {
            let Some(job) = self.jobs.get(id) else {
                return false;
            };
            let terms = &record.terms;
            let named = terms.borrow.classes.contains(&job.spec.class);
            !terms.covers(&job.spec.team, &job.spec.class, job.spec.priority)
                && !named
                && !self.borrower(now, job, usage).is_preemptible_for(terms)
        };
        match machine.tasks.iter().any(stays) {
            true => Availability::Borrowed,
            false => Availability::Available,
        }
    }

    /// The resources that each team uses; empty if no team has a guarantee.
    fn guaranteed_usage(&self) -> Vec<Usage> {
        match self.cfg.teams.iter().any(|t| t.has_guarantee()) {
            true => self.team_usage(&Shape::default()),
            false => Vec::new(),
        }
    }

    fn borrower<'a>(&self, now: Time, job: &'a Job, usage: &[Usage]) -> Borrower<'a> {
        Borrower {
            class: &job.spec.class,
            tier: job.spec.priority,
            checkpoint_s: (job.spec.checkpoint_s() > 0.0).then_some(job.spec.save_s()),
            waited_s: now - job.submitted_at,
            guaranteed: !usage.is_empty() && self.is_guaranteed(job, usage),
        }
    }

    /// Whether a task of the job could run on the machine if the machine were empty.
    fn can_host(&self, job: &Job, machine: &Machine) -> bool {
        machine.type_index.is_some_and(|index| {
            let t = &self.machine_types[index];
            job.shape.fits_in(&Shape::of_type(t))
                && umbersail_policy::allows_type(&job.spec, &t.name)
                && job.spec.zone.as_ref().is_none_or(|z| *z == machine.zone)
                && (job.spec.spot() || !machine.spot)
        })
    }

    /// Puts the records of all reservations into the plan store, for the next leader.
    fn record_reservations(&mut self, now: Time) {
        let plans = &mut self.plans;
        for key in plans.store.names(KIND) {
            if !plans.reserve.records.contains_key(&key[KIND.len() + 1..]) {
                plans.store.remove(now, &key);
            }
        }
        for (name, record) in &plans.reserve.records {
            let put = plans
                .store
                .put(now, &format!("{KIND}/{name}"), VERSION, record);
            let write_errors = &mut plans.reserve.write_errors;
            match put {
                Ok(()) => {
                    write_errors.remove(name);
                }
                Err(e) => {
                    let reason = e.to_string();
                    if write_errors.get(name) != Some(&reason) {
                        warn!(entry = name, reason, "cannot record a reservation");
                        write_errors.insert(name.clone(), reason);
                    }
                }
            }
        }
    }

    /// Sets which entries reserve each machine, and for each job the entries whose machines it
    /// may use.
    fn mark_reserved(&mut self, now: Time) {
        let reserve = &self.plans.reserve;
        let with_machines = reserve
            .records
            .iter()
            .filter(|(_, r)| r.machines().next().is_some());
        let bits: BTreeMap<String, u64> = with_machines
            .take(MAX_RESERVATIONS)
            .enumerate()
            .map(|(index, (name, _))| (name.clone(), 1 << index))
            .collect();
        if bits.is_empty() && reserve.bits.is_empty() {
            return;
        }
        let mut reserved: BTreeMap<&str, u64> = BTreeMap::new();
        for (name, bit) in &bits {
            for machine in reserve.records[name].machines() {
                *reserved.entry(machine).or_default() |= bit | borrower_bit(*bit);
            }
        }
        let mut changed = false;
        for (name, machine) in &mut self.machines {
            let reservations = reserved.get(&**name).copied().unwrap_or(0);
            changed |= std::mem::replace(&mut machine.reservations, reservations) != reservations;
        }
        self.plans.reserve.bits = bits;
        let reservations = self.usable_reservations(now);
        for (job, reservations) in self.jobs.values_mut().zip(reservations) {
            changed |= std::mem::replace(&mut job.reservations, reservations) != reservations;
        }
        if changed {
            self.mark_jobs_waiting();
        }
    }

    /// For each job, in order, the bits of the entries whose machines the job may use.
    fn usable_reservations(&self, now: Time) -> Vec<u64> {
        let reserve = &self.plans.reserve;
        let usage = self.guaranteed_usage();
        let own: Vec<u64> = self.jobs.values().map(|j| reserve.own_bits(j)).collect();
        // The entries whose own work waits for free capacity on their machines.
        let mut waiting = 0;
        for (job, own) in self.jobs.values().zip(&own) {
            if *own & !waiting != 0 && waits_for_machines(job) {
                let suits = |m: &&Machine| m.reservations & own != 0 && self.can_host(job, m);
                for machine in self.machines.values().filter(suits) {
                    waiting |= machine.reservations & own;
                }
            }
        }
        let mut reservations = Vec::with_capacity(own.len());
        for (job, own) in self.jobs.values().zip(own) {
            let mut all = own;
            if job.startable() > 0 {
                let borrower = self.borrower(now, job, &usage);
                for (name, bit) in &reserve.bits {
                    let terms = &reserve.records[name].terms;
                    let of_other = borrower.guaranteed && job.spec.team != terms.team;
                    let borrower = Borrower {
                        guaranteed: of_other,
                        ..borrower
                    };
                    if own & bit == 0
                        && may_borrow(terms, &borrower, waiting & bit != 0, &reserve.settings)
                    {
                        all |= borrower_bit(*bit);
                    }
                }
            }
            reservations.push(all);
        }
        reservations
    }

    /// Stops borrowers on machines whose own work waits and has too little free capacity there.
    /// A stopped task counts as running until a heartbeat shows that it has exited, and starts
    /// elsewhere only then (rules 3 and 4 of `docs/design.md`).
    fn reclaim_lent_machines(&mut self, now: Time) {
        if self.plans.reserve.bits.is_empty() {
            return;
        }
        let (capacity, lent) = self.reclaimable_capacity(now);
        if lent.is_empty() {
            return;
        }
        let stops = self.borrowers_to_stop(capacity, lent);
        let tasks = stops.len();
        for (id, task) in stops {
            self.reclaim_from_task(&id, task);
        }
        if tasks > 0 {
            info!(
                tasks,
                "stopping borrowers: reserved machines are needed for their own work"
            );
        }
    }

    /// Free capacity of reserved machines, and the borrowers there that can be stopped.
    fn reclaimable_capacity(&self, now: Time) -> (FreeCapacity<'_>, Borrowers<'_>) {
        let (mut capacity, mut lent) = (FreeCapacity::new(), Borrowers::new());
        let silent_after = self.silence_limit_s();
        for (name, machine) in &self.machines {
            let Some(index) = machine.type_index else {
                continue;
            };
            if machine.reservations == 0 || !machine.accepts_tasks(now, silent_after) {
                continue;
            }
            let mut free = machine.free(&self.machine_types[index]);
            for (id, task) in &machine.tasks {
                let Some(job) = self.jobs.get(id) else {
                    continue;
                };
                let Some(placement) = job.placements.get(task) else {
                    continue;
                };
                if placement.pending_stop.is_some() {
                    free.add(&job.shape, 1.0);
                } else if self.is_reclaimable(now, job, machine) {
                    lent.entry(name).or_default().push((id, *task, job));
                }
            }
            capacity.insert(name, free);
        }
        (capacity, lent)
    }

    /// Whether a job's tasks on a reserved machine are borrowers that can be stopped.
    fn is_reclaimable(&self, now: Time, job: &Job, machine: &Machine) -> bool {
        let reserve = &self.plans.reserve;
        job.reservations & machine.reservations & OWN_BITS == 0
            && reserve.records.iter().any(|(entry, record)| {
                let bit = reserve.bits.get(entry).copied().unwrap_or(0);
                machine.reservations & bit != 0
                    && !record.terms.borrow.classes.contains(&job.spec.class)
                    && self
                        .borrower(now, job, &[])
                        .is_preemptible_for(&record.terms)
            })
    }

    /// The borrowers that must stop so that waiting work of the reservations can start. Free
    /// capacity is used first.
    fn borrowers_to_stop(
        &self,
        mut capacity: FreeCapacity<'_>,
        mut lent: Borrowers<'_>,
    ) -> Vec<(JobId, u32)> {
        let mut stops: Vec<(JobId, u32)> = Vec::new();
        let mut own: Vec<&Job> = self
            .jobs
            .values()
            .filter(|j| j.reservations & OWN_BITS != 0 && waits_for_machines(j))
            .collect();
        own.sort_by(|a, b| {
            let tiers = b.spec.priority.cmp(&a.spec.priority);
            tiers.then(a.submitted_at.total_cmp(&b.submitted_at))
        });
        for job in own {
            let mut wanted = job.startable();
            let may_use = |name: &MachineId| {
                let machine = &self.machines[name];
                machine.reservations & job.reservations & OWN_BITS != 0
                    && self.can_host(job, machine)
            };
            for with_borrowers in [false, true] {
                for (name, free) in &mut capacity {
                    if wanted == 0 {
                        break;
                    }
                    if !may_use(name) {
                        continue;
                    }
                    if with_borrowers && let Some(tasks) = lent.get_mut(*name) {
                        while job.shape.slots_in(free) < wanted
                            && let Some((id, task, borrower)) = tasks.pop()
                        {
                            free.add(&borrower.shape, 1.0);
                            stops.push((id.clone(), task));
                        }
                    }
                    let slots = job.shape.slots_in(free).min(wanted);
                    free.add(&job.shape, -f64::from(slots));
                    wanted -= slots;
                }
            }
        }
        stops
    }

    /// Stops a borrower, with time to save a checkpoint. A task whose launch was not sent yet
    /// returns to the waiting tasks instead.
    fn reclaim_from_task(&mut self, id: &JobId, task: u32) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let grace_s = job.spec.save_s() + 1.0;
        let Some(placement) = job.placements.get_mut(&task) else {
            return;
        };
        if !placement.may_be_known_to_worker() {
            // The launch was not sent to the worker, so the task can be placed elsewhere at
            // once.
            self.requeue_task(id, task);
            return;
        }
        debug!(
            job = &**id,
            task,
            machine = &*placement.machine,
            "stopping a task of a job that borrowed a reserved machine"
        );
        placement.pending_stop = Some(PendingStop {
            grace_s,
            required_eviction_count: 0,
        });
    }

    /// Free capacity of reserved machines; `None` if no machine is reserved.
    pub(in crate::engine) fn reserved_capacity(&self) -> Option<ReservedCapacity<'_>> {
        if self.plans.reserve.bits.is_empty() {
            return None;
        }
        let reserved = self.machines.values().filter(|m| m.reservations != 0);
        let capacity = reserved.filter_map(|machine| {
            let index = machine.type_index?;
            let leaving = machine.delete_reason.is_some() || machine.reclaim_at.is_some();
            let free = machine.free(&self.machine_types[index]);
            (!leaving).then_some((machine, index, free))
        });
        Some(ReservedCapacity {
            capacity: capacity.collect(),
        })
    }

    /// Placement cost that reservations add, from the `reservations` of the machine and of the
    /// job. A reservation's own work prefers reserved machines; other jobs use them only if no
    /// other machine is suitable.
    pub(in crate::engine) fn reservation_cost(&self, machine: u64, job: u64) -> f64 {
        let gain_s = self.cfg.tuning.reserve_placement_gain_s;
        match (machine != 0, machine & job & OWN_BITS != 0) {
            (false, _) => 0.0,
            (true, true) => -gain_s,
            (true, false) => gain_s,
        }
    }

    /// The rental requests to be sent now. A request is sent only after its record is written,
    /// so that the next leader knows its name. While a sent request has no answer, only that
    /// request is sent again.
    pub(in crate::engine) fn reservation_requests(&mut self) -> Vec<RentRequest> {
        let plans = &mut self.plans;
        let mut due: Vec<(&str, RentRequest)> = Vec::new();
        for (entry, record) in &plans.reserve.records {
            if !plans.store.is_recorded(&format!("{KIND}/{entry}")) {
                continue;
            }
            for batch in record.pending_requests() {
                if let Some(request) = &batch.request {
                    let request = RentRequest {
                        request: request.clone(),
                        machine_type: batch.machine_type.clone(),
                        zone: batch.zone.clone(),
                        spot: batch.spot,
                        count: batch.count,
                    };
                    due.push((entry, request));
                }
            }
        }
        let sent = &mut plans.reserve.sent;
        sent.retain(|name| due.iter().any(|(_, r)| r.request == *name));
        let unanswered = sent.first().cloned();
        due.retain(|(_, r)| unanswered.as_ref().is_none_or(|name| r.request == *name));
        due.truncate(self.cfg.tuning.reservation_requests_per_round as usize);
        for (entry, request) in &due {
            info!(
                entry,
                request = request.request,
                machine_type = request.machine_type,
                zone = request.zone,
                spot = request.spot,
                count = request.count,
                "renting machines for a reservation"
            );
            sent.insert(request.request.clone());
        }
        due.into_iter().map(|(_, request)| request).collect()
    }

    /// Takes the cloud's answer to a rental request: the machines' names, or `None` if the
    /// request was refused. Returns false if the request does not belong to a reservation.
    pub(in crate::engine) fn reservation_request_answered(
        &mut self,
        now: Time,
        request: &str,
        machines: Option<&[String]>,
    ) -> bool {
        if !self.plans.reserve.sent.remove(request) {
            return false;
        }
        for record in self.plans.reserve.records.values_mut() {
            match machines {
                Some(names) => record.record_answer(request, names),
                None => record.record_refusal(request),
            }
        }
        self.record_reservations(now);
        self.mark_reserved(now);
        true
    }

    /// Whether an unanswered request belongs to a reservation. Such a request is sent again
    /// because the reservation's record names it.
    pub(in crate::engine) fn is_reservation_request(&self, request: &str) -> bool {
        self.plans.reserve.sent.contains(request)
    }

    /// Called when machines were rented, in order to learn their boot times.
    pub(in crate::engine) fn note_boots_started(&mut self, now: Time, names: &[String]) {
        let reserve = &mut self.plans.reserve;
        if reserve.entries.is_empty() || reserve.booting.len() >= MAX_AWAITED_BOOTS {
            return;
        }
        for name in names {
            reserve.booting.insert(name.as_str().into(), now);
        }
    }

    /// Called when a machine has booted or its boot was given up.
    pub(in crate::engine) fn note_boot_ended(&mut self, now: Time, name: &MachineId) {
        let reserve = &mut self.plans.reserve;
        let machine = self.machines.get(name).and_then(|m| m.type_index);
        if let Some(at) = reserve.booting.remove(name)
            && let Some(index) = machine
        {
            let t = &self.machine_types[index];
            reserve.boots.observe(&t.name, t.boot_s, now - at);
        }
    }
}

/// Whether the machine certainly runs no task.
fn is_empty(machine: &Machine) -> bool {
    machine.last_heartbeat.is_some()
        && machine.fenced
        && machine.tasks.is_empty()
        && !machine.has_orphaned_tasks
        && !machine.inherited
}

/// Whether the job waits for machines rather than for its team's limit.
fn waits_for_machines(job: &Job) -> bool {
    job.startable() > 0 && job.blocked_reason != BlockedReason::TeamLimit
}
