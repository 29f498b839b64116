//! Reservations in the engine: machines that are held are kept for their work, requests
//! that stand recorded are sent, and borrowers give back. What is held, rented and
//! lent is decided in `umbersail-reserve`.

use std::collections::{BTreeMap, BTreeSet};

use tracing::{debug, error, info, warn};
use umbersail_policy::{Shape, Usage};
use umbersail_reserve::{
    Boots, Borrower, Facts, HeldMachine, Notice, Reservations, ReserveRecord, Rules, Standing,
    VERSION, View, What, lends, plan,
};
use umbersail_tuning::Tuning;
use umbersail_wire::RentRequest;

use super::super::rental::MAX_MACHINES_PER_RENTAL;
use super::super::{
    BlockedReason, Engine, EngineConfig, Job, JobId, Machine, MachineId, Stop, Time, epoch,
};

/// Names of records: this and the entry's name.
const KIND: &str = "reserve";
/// Entries that hold machines at once: each has one bit for its own work and one for
/// borrowers among a machine's reservations.
pub(crate) const HOLDERS_MOST: usize = 32;
const OWN: u64 = (1 << HOLDERS_MOST) - 1;
/// Upper bound on rentals whose first report is awaited; the boot times of further ones
/// are not learned from. Twice a fleet of 4,000 machines that is rented at once.
const MAX_BOOTING: usize = 8192;

/// Room on reserved machines.
type Rooms<'a> = BTreeMap<&'a MachineId, Shape>;
/// Tasks that borrow reserved machines, each with its job.
type Borrowers<'a> = BTreeMap<&'a MachineId, Vec<(&'a JobId, u32, &'a Job)>>;

/// Reservations as this leader has them.
pub(in crate::engine) struct Reserving {
    entries: Reservations,
    rules: Rules,
    records: BTreeMap<String, ReserveRecord>,
    /// By entry with machines: its own bit.
    bits: BTreeMap<String, u64>,
    boots: Boots,
    /// When we rented machines that have not reported yet.
    booting: BTreeMap<MachineId, Time>,
    /// Requests that were sent and not answered: by their names again.
    sent: BTreeSet<String>,
    next_round: Time,
    /// Why a record can't be written, as last logged.
    unwritten: BTreeMap<String, String>,
}

/// What an operator's entries are checked against.
pub(crate) fn facts<'a>(teams: &'a [umbersail_policy::TeamLimits], tuning: &Tuning) -> Facts<'a> {
    Facts {
        teams,
        entries_most: (tuning.reserve_entries as usize).min(HOLDERS_MOST),
        machines_most: tuning.reserve_machines as u32,
    }
}

impl Reserving {
    pub fn new(cfg: &EngineConfig) -> Reserving {
        let tuning = &cfg.tuning;
        // Checked before this process served anything.
        let entries = Reservations::parse(&tuning.plan_entries, &facts(&cfg.teams, tuning));
        let entries = entries.unwrap_or_else(|e| {
            error!(key = e.key, reason = e.reason, "reservations are left out");
            Reservations::default()
        });
        Reserving {
            entries,
            rules: Rules {
                withdraw_s: tuning.reserve_withdraw_s,
                margin_s: tuning.reserve_margin_s,
                lead_most_s: tuning.reserve_lead_most_s,
                boot_share: tuning.reserve_boot_share,
                boot_patience: tuning.boot_patience,
                boot_patience_s: tuning.boot_patience_s,
                request_machines: MAX_MACHINES_PER_RENTAL,
                requests_most: tuning.reserve_requests as usize,
                machines_most: tuning.reserve_machines as u32,
                floor_s: tuning.reserve_floor_s,
                guarantee_wait_s: tuning.reserve_guarantee_wait_s,
            },
            records: BTreeMap::new(),
            bits: BTreeMap::new(),
            boots: Boots::new(tuning.reserve_boots as usize, tuning.class_limit as usize),
            booting: BTreeMap::new(),
            sent: BTreeSet::new(),
            next_round: 0.0,
            unwritten: BTreeMap::new(),
        }
    }

    fn is_idle(&self) -> bool {
        self.entries.is_empty() && self.records.is_empty()
    }

    /// The bits of entries whose machines are held for such work.
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

/// The bit of those that borrow from the holder of this one.
fn borrowers(own: u64) -> u64 {
    own << HOLDERS_MOST
}

/// Room on kept machines, as rental reckons with it.
pub(in crate::engine) struct KeptRoom<'a> {
    rooms: Vec<(&'a Machine, usize, Shape)>,
}

impl KeptRoom<'_> {
    /// Of a job's tasks that run or wait, those that kept machines have or will take.
    pub fn serve(&mut self, engine: &Engine, job: &Job, tasks: u32) -> u32 {
        let kept = |p: &&super::super::Placement| {
            let machine = engine.machines.get(&p.machine);
            machine.is_some_and(|m| m.reservations != 0)
        };
        let there = job.live.values().filter(kept).count() as u32;
        let own = engine.plans.reserve.own_bits(job);
        let mut waiting = tasks
            .saturating_sub(job.occupied() as u32)
            .min(job.startable());
        let mut taken = 0;
        if own != 0 {
            for (machine, _, room) in &mut self.rooms {
                if waiting == 0 {
                    break;
                }
                if machine.reservations & own == 0 || !engine.takes(job, machine) {
                    continue;
                }
                let slots = job.shape.slots_in(room).min(waiting);
                room.add(&job.shape, -f64::from(slots));
                waiting -= slots;
                taken += slots;
            }
        }
        (there + taken).min(tasks)
    }

    /// Tasks of such a shape that machines kept for this class have room for beside
    /// what was served.
    pub fn ready(&self, engine: &Engine, class: &str, shape: &Shape) -> u32 {
        let reserve = &engine.plans.reserve;
        let named = |name: &String| {
            let record = reserve.records.get(name);
            record.is_some_and(|r| r.terms.classes.iter().any(|c| c == class))
        };
        let bits = reserve.bits.iter().filter(|(name, _)| named(name));
        let bits = bits.fold(0, |all, (_, bit)| all | bit);
        let rooms = self
            .rooms
            .iter()
            .filter(|(m, _, _)| m.reservations & bits != 0);
        rooms.map(|(_, _, room)| shape.slots_in(room)).sum()
    }
}

impl Engine {
    /// Takes in what holders before us recorded of reservations. Machines that they
    /// hold are known from here on, listed yet or not.
    pub(in crate::engine) fn inherit_reservations(&mut self, now: Time) {
        for key in self.plans.store.names(KIND) {
            let name = key[KIND.len() + 1..].to_owned();
            match self.plans.store.read::<ReserveRecord>(&key, VERSION) {
                Ok(Some(record)) => {
                    self.plans.reserve.records.insert(name, record);
                }
                Ok(None) => {}
                Err(e) => {
                    let reason = e.to_string();
                    warn!(plan = key, reason, "recorded reservation set aside");
                    self.plans.store.set_aside(&key);
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
        self.mark_kept(now);
    }

    /// A job has come: its own kept machines are open to it at once.
    pub(in crate::engine) fn reserve_for_job(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get(id) {
            let own = self.plans.reserve.own_bits(job);
            if let Some(job) = self.jobs.get_mut(id) {
                job.reservations = own;
            }
        }
    }

    /// One round, at its time: see [`umbersail_reserve::plan`].
    pub(in crate::engine) fn tick_reservations(&mut self, now: Time) {
        if self.plans.reserve.is_idle() || now < self.plans.reserve.next_round {
            return;
        }
        self.plans.reserve.next_round = now + self.cfg.tuning.reserve_interval_s;
        let known = &self.machines;
        (self.plans.reserve.booting).retain(|name, _| known.contains_key(name));
        let mut records = std::mem::take(&mut self.plans.reserve.records);
        let mut requests = self.requests;
        let notices = self.plan_reservations(now, &mut records, &mut requests);
        self.requests = requests;
        self.plans.reserve.records = records;
        for Notice { entry, what } in notices {
            match what {
                What::Short(_) => warn!(entry, "reservation: {what}"),
                _ => info!(entry, "reservation: {what}"),
            }
        }
        self.record_reservations(now);
        self.mark_kept(now);
        self.call_back(now);
    }

    fn plan_reservations(
        &self,
        now: Time,
        records: &mut BTreeMap<String, ReserveRecord>,
        requests: &mut u64,
    ) -> Vec<Notice> {
        let reserve = &self.plans.reserve;
        let usage = self.guarantees_in_use();
        let mut machines = BTreeMap::new();
        for record in records.values() {
            for name in record.machines() {
                let found = self.machines.get_key_value(name);
                if let Some((name, machine)) = found
                    && machine.delete_reason.is_none()
                    && let Some(type_index) = machine.type_index
                {
                    let held = HeldMachine {
                        type_index,
                        zone: &machine.zone,
                        spot: machine.spot,
                        standing: self.standing(now, record, machine, &usage),
                        idle: is_empty(machine),
                    };
                    machines.insert(&**name, held);
                }
            }
        }
        let silent_after = self.silent_after();
        let idle_s = self.cfg.tuning.reserve_adopt_idle_s;
        let mut free = BTreeMap::new();
        for (name, machine) in &self.machines {
            if machine.reservations == 0
                && !machines.contains_key(&**name)
                && is_empty(machine)
                && now - machine.idle_since >= idle_s
                && machine.takes_tasks(now, silent_after)
                && let Some(type_index) = machine.type_index
            {
                let idle = HeldMachine {
                    type_index,
                    zone: &machine.zone,
                    spot: machine.spot,
                    standing: Standing::Up,
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
                .filter_map(|c| self.samples.get(c));
            let largest = of_entry.map(|s| s.shape).reduce(|a, b| Shape {
                cpus: a.cpus.max(b.cpus),
                gpus: a.gpus.max(b.gpus),
                memory_gb: a.memory_gb.max(b.memory_gb),
            })?;
            Some((entry.name.clone(), largest))
        });
        let view = View {
            now_ms: self.plans.unix_ms(now),
            elected_s: now - self.elected_at,
            types: &self.types,
            teams: &self.cfg.teams,
            machines: &machines,
            free: &free,
            refused: &|index, zone, spot| self.is_refused(now, index, zone, spot),
            largest: &largest.collect(),
            boots: &reserve.boots,
            rules: &reserve.rules,
        };
        // The token differs for every holder, so no name is used twice.
        let mut new_request = || {
            *requests += 1;
            format!("{}-{}-{requests}", self.cfg.member, epoch(self.token))
        };
        plan(&reserve.entries, records, &view, &mut new_request)
    }

    fn standing(
        &self,
        now: Time,
        record: &ReserveRecord,
        machine: &Machine,
        usage: &[Usage],
    ) -> Standing {
        let Some(report) = machine.last_report else {
            return Standing::Coming;
        };
        let silent = now - report > self.cfg.tuning.reserve_out_s;
        let out =
            silent || (machine.reachability.is_unreachable() && !self.is_mostly_unreachable());
        if out || machine.quarantined || machine.notice_until.is_some() {
            return Standing::Out;
        }
        let stays = |(id, _): &(JobId, u32)| {
            let Some(job) = self.jobs.get(id) else {
                return false;
            };
            let terms = &record.terms;
            let named = terms.borrow.classes.contains(&job.spec.class);
            !terms.covers(&job.spec.team, &job.spec.class, job.spec.priority)
                && !named
                && !self.borrower(now, job, usage).gives_back(terms)
        };
        match machine.tasks.iter().any(stays) {
            true => Standing::Lent,
            false => Standing::Up,
        }
    }

    /// What teams use, if any has a guarantee.
    fn guarantees_in_use(&self) -> Vec<Usage> {
        match self.cfg.teams.iter().any(|t| t.has_guarantee()) {
            true => self.team_usage(&Shape::default()),
            false => Vec::new(),
        }
    }

    fn borrower<'a>(&self, now: Time, job: &'a Job, usage: &[Usage]) -> Borrower<'a> {
        Borrower {
            class: &job.spec.class,
            tier: job.spec.priority,
            save_s: (job.spec.checkpoint_s() > 0.0).then_some(job.spec.save_s()),
            waited_s: now - job.submitted,
            guaranteed: !usage.is_empty() && self.is_guaranteed(job, usage),
        }
    }

    /// Whether the machine could have a task of the job if it were empty.
    fn takes(&self, job: &Job, machine: &Machine) -> bool {
        machine.type_index.is_some_and(|index| {
            let t = &self.types[index];
            job.shape.fits_in(&Shape::of_type(t))
                && umbersail_policy::allows_type(&job.spec, &t.name)
                && job.spec.zone.as_ref().is_none_or(|z| *z == machine.zone)
                && (job.spec.spot() || !machine.spot)
        })
    }

    /// Puts records where a successor finds them.
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
            let unwritten = &mut plans.reserve.unwritten;
            match put {
                Ok(()) => {
                    unwritten.remove(name);
                }
                Err(e) => {
                    let reason = e.to_string();
                    if unwritten.get(name) != Some(&reason) {
                        warn!(entry = name, reason, "reservation can't be recorded");
                        unwritten.insert(name.clone(), reason);
                    }
                }
            }
        }
    }

    /// Keeps held machines from others, and says for each waiting job whose it may use.
    fn mark_kept(&mut self, now: Time) {
        let reserve = &self.plans.reserve;
        let holders = reserve
            .records
            .iter()
            .filter(|(_, r)| r.machines().next().is_some());
        let bits: BTreeMap<String, u64> = holders
            .take(HOLDERS_MOST)
            .enumerate()
            .map(|(index, (name, _))| (name.clone(), 1 << index))
            .collect();
        if bits.is_empty() && reserve.bits.is_empty() {
            return;
        }
        let mut kept: BTreeMap<&str, u64> = BTreeMap::new();
        for (name, bit) in &bits {
            for machine in reserve.records[name].machines() {
                *kept.entry(machine).or_default() |= bit | borrowers(*bit);
            }
        }
        let mut changed = false;
        for (name, machine) in &mut self.machines {
            let reservations = kept.get(&**name).copied().unwrap_or(0);
            changed |= std::mem::replace(&mut machine.reservations, reservations) != reservations;
        }
        self.plans.reserve.bits = bits;
        let reservations = self.pledges_of_jobs(now);
        for (job, reservations) in self.jobs.values_mut().zip(reservations) {
            changed |= std::mem::replace(&mut job.reservations, reservations) != reservations;
        }
        if changed {
            self.note_waiting();
        }
    }

    /// For each job, in order, the kept machines that it may use.
    fn pledges_of_jobs(&self, now: Time) -> Vec<u64> {
        let reserve = &self.plans.reserve;
        let usage = self.guarantees_in_use();
        let own: Vec<u64> = self.jobs.values().map(|j| reserve.own_bits(j)).collect();
        // Of each holder: whether its own work waits for a place on its machines.
        let mut wait = 0;
        for (job, own) in self.jobs.values().zip(&own) {
            if *own & !wait != 0 && waits_for_room(job) {
                let takes = |m: &&Machine| m.reservations & own != 0 && self.takes(job, m);
                for machine in self.machines.values().filter(takes) {
                    wait |= machine.reservations & own;
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
                    if own & bit == 0 && lends(terms, &borrower, wait & bit != 0, &reserve.rules) {
                        all |= borrowers(*bit);
                    }
                }
            }
            reservations.push(all);
        }
        reservations
    }

    /// Stops borrowers where the work that a machine is held for waits and finds no room
    /// beside them. They count until a report shows them gone, and start elsewhere only
    /// then (rules 3 and 4).
    fn call_back(&mut self, now: Time) {
        if self.plans.reserve.bits.is_empty() {
            return;
        }
        let (rooms, lent) = self.reserved_rooms(now);
        if lent.is_empty() {
            return;
        }
        let stops = self.borrowers_to_stop(rooms, lent);
        let tasks = stops.len();
        for (id, task) in stops {
            self.call_back_task(&id, task);
        }
        if tasks > 0 {
            info!(tasks, "reserved machines are given back");
        }
    }

    /// Room on reserved machines, and the borrowers there that give back.
    fn reserved_rooms(&self, now: Time) -> (Rooms<'_>, Borrowers<'_>) {
        let (mut rooms, mut lent) = (Rooms::new(), Borrowers::new());
        let silent_after = self.silent_after();
        for (name, machine) in &self.machines {
            let Some(index) = machine.type_index else {
                continue;
            };
            if machine.reservations == 0 || !machine.takes_tasks(now, silent_after) {
                continue;
            }
            let mut room = Shape::of_type(&self.types[index]).plus(&machine.used, -1.0);
            for (id, task) in &machine.tasks {
                let Some(job) = self.jobs.get(id) else {
                    continue;
                };
                let Some(placement) = job.live.get(task) else {
                    continue;
                };
                if placement.stop.is_some() {
                    room.add(&job.shape, 1.0);
                } else if self.gives_back(now, job, machine) {
                    lent.entry(name).or_default().push((id, *task, job));
                }
            }
            rooms.insert(name, room);
        }
        (rooms, lent)
    }

    /// Whether a job's tasks on a reserved machine are borrowers that can be called back.
    fn gives_back(&self, now: Time, job: &Job, machine: &Machine) -> bool {
        let reserve = &self.plans.reserve;
        job.reservations & machine.reservations & OWN == 0
            && reserve.records.iter().any(|(entry, record)| {
                let bit = reserve.bits.get(entry).copied().unwrap_or(0);
                machine.reservations & bit != 0
                    && !record.terms.borrow.classes.contains(&job.spec.class)
                    && self.borrower(now, job, &[]).gives_back(&record.terms)
            })
    }

    /// Whom waiting work of the reservations' own needs stopped: free room is filled first.
    fn borrowers_to_stop(
        &self,
        mut rooms: Rooms<'_>,
        mut lent: Borrowers<'_>,
    ) -> Vec<(JobId, u32)> {
        let mut stops: Vec<(JobId, u32)> = Vec::new();
        let mut own: Vec<&Job> = self
            .jobs
            .values()
            .filter(|j| j.reservations & OWN != 0 && waits_for_room(j))
            .collect();
        own.sort_by(|a, b| {
            let tiers = b.spec.priority.cmp(&a.spec.priority);
            tiers.then(a.submitted.total_cmp(&b.submitted))
        });
        for job in own {
            let mut wanted = job.startable();
            let may = |name: &MachineId| {
                let machine = &self.machines[name];
                machine.reservations & job.reservations & OWN != 0 && self.takes(job, machine)
            };
            for with_borrowers in [false, true] {
                for (name, room) in &mut rooms {
                    if wanted == 0 {
                        break;
                    }
                    if !may(name) {
                        continue;
                    }
                    if with_borrowers && let Some(tasks) = lent.get_mut(*name) {
                        while job.shape.slots_in(room) < wanted
                            && let Some((id, task, borrower)) = tasks.pop()
                        {
                            room.add(&borrower.shape, 1.0);
                            stops.push((id.clone(), task));
                        }
                    }
                    let slots = job.shape.slots_in(room).min(wanted);
                    room.add(&job.shape, -f64::from(slots));
                    wanted -= slots;
                }
            }
        }
        stops
    }

    fn call_back_task(&mut self, id: &JobId, task: u32) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let grace_s = job.spec.save_s() + 1.0;
        let Some(placement) = job.live.get_mut(&task) else {
            return;
        };
        if !placement.told() {
            // Told to nobody: it can wait elsewhere at once.
            self.return_task(id, task);
            return;
        }
        debug!(
            job = &**id,
            task,
            machine = &*placement.machine,
            "gives a reserved machine back"
        );
        placement.stop = Some(Stop {
            grace_s,
            evictions: 0,
        });
    }

    /// Room on kept machines; none if none is kept.
    pub(in crate::engine) fn kept_room(&self) -> Option<KeptRoom<'_>> {
        if self.plans.reserve.bits.is_empty() {
            return None;
        }
        let kept = self.machines.values().filter(|m| m.reservations != 0);
        let rooms = kept.filter_map(|machine| {
            let index = machine.type_index?;
            let gone = machine.delete_reason.is_some() || machine.notice_until.is_some();
            let room = Shape::of_type(&self.types[index]).plus(&machine.used, -1.0);
            (!gone).then_some((machine, index, room))
        });
        Some(KeptRoom {
            rooms: rooms.collect(),
        })
    }

    /// What it costs to put work there: kept machines are for their own work first, and
    /// others go there only if they find nothing else.
    pub(in crate::engine) fn kept_cost(&self, place: u64, job: u64) -> f64 {
        let prefer_s = self.cfg.tuning.reserve_prefer_s;
        match (place != 0, place & job & OWN != 0) {
            (false, _) => 0.0,
            (true, true) => -prefer_s,
            (true, false) => prefer_s,
        }
    }

    /// Requests to be sent now: those whose record stands, so that a successor knows
    /// their names. After one without an answer only that is asked again.
    pub(in crate::engine) fn reserve_requests(&mut self) -> Vec<RentRequest> {
        let plans = &mut self.plans;
        let mut named: Vec<(&str, RentRequest)> = Vec::new();
        for (entry, record) in &plans.reserve.records {
            if !plans.store.is_recorded(&format!("{KIND}/{entry}")) {
                continue;
            }
            for batch in record.unanswered() {
                if let Some(request) = &batch.request {
                    let request = RentRequest {
                        request: request.clone(),
                        machine_type: batch.machine_type.clone(),
                        zone: batch.zone.clone(),
                        spot: batch.spot,
                        count: batch.count,
                    };
                    named.push((entry, request));
                }
            }
        }
        let sent = &mut plans.reserve.sent;
        sent.retain(|name| named.iter().any(|(_, r)| r.request == *name));
        let again = sent.first().cloned();
        named.retain(|(_, r)| again.as_ref().is_none_or(|name| r.request == *name));
        named.truncate(self.cfg.tuning.reserve_asks as usize);
        for (entry, request) in &named {
            info!(
                entry,
                request = request.request,
                machine_type = request.machine_type,
                zone = request.zone,
                spot = request.spot,
                count = request.count,
                "rents for a reservation"
            );
            sent.insert(request.request.clone());
        }
        named.into_iter().map(|(_, request)| request).collect()
    }

    /// The cloud's answer to a request of ours: the machines, or none. False if it is
    /// no reservation's.
    pub(in crate::engine) fn reserve_answered(
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
                Some(names) => record.answered(request, names),
                None => record.refused(request),
            }
        }
        self.record_reservations(now);
        self.mark_kept(now);
        true
    }

    /// Whether a request without an answer is a reservation's: then its record brings it
    /// up again.
    pub(in crate::engine) fn is_reserving(&self, request: &str) -> bool {
        self.plans.reserve.sent.contains(request)
    }

    /// We rented these: how long they take to come up is learned.
    pub(in crate::engine) fn boots_begin(&mut self, now: Time, names: &[String]) {
        let reserve = &mut self.plans.reserve;
        if reserve.entries.is_empty() || reserve.booting.len() >= MAX_BOOTING {
            return;
        }
        for name in names {
            reserve.booting.insert(name.as_str().into(), now);
        }
    }

    /// One of them came up, or was given up.
    pub(in crate::engine) fn boot_ended(&mut self, now: Time, name: &MachineId) {
        let reserve = &mut self.plans.reserve;
        let machine = self.machines.get(name).and_then(|m| m.type_index);
        if let Some(at) = reserve.booting.remove(name)
            && let Some(index) = machine
        {
            let t = &self.types[index];
            reserve.boots.observe(&t.name, t.boot_s, now - at);
        }
    }
}

fn is_empty(machine: &Machine) -> bool {
    machine.last_report.is_some()
        && machine.fenced
        && machine.tasks.is_empty()
        && !machine.orphaned_tasks
        && !machine.inherited
}

/// Whether it waits for machines rather than for its team's limit.
fn waits_for_room(job: &Job) -> bool {
    job.startable() > 0 && job.blocked != BlockedReason::TeamLimit
}
