//! Leadership: how it is won and lost, and the tasks that come with it.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

use futures::future::{Either, join3, select};
use rand::Rng;
use serde::de::IgnoredAny;
use std::pin::pin;
use tracing::{debug, info, warn};
use umbersail_runtime::{Time, charge, random, sleep, spawn};
use umbersail_wire::{
    Change, Condition, DirectCommands, KeyValue, Report, Txn, Value, WatchResult, decode, encode,
    paths,
};

use crate::cloud::Rented;
use crate::engine::{
    CloudAction, Engine, Fencing, Inheritance, InheritedJob, InheritedPart, InheritedPlan,
    TxnOutcome,
};
use crate::node::{Leading, Node, Role, TaskGroup};
use crate::records::{
    CATALOGUE_KEY, GRANT_KEY, GRANT_PARTS, GrantPart, GrantRecord, JOBS, JobRecord, LEADER_KEY,
    LeaderRecord, OVER, PLANS, RECOVERY_PENDING_KEY, RUNS, Record, RunRecord, catalogue, election,
    job_key, part_key, plan_key, run_key,
};
use crate::state::{StateError, Urgency};

/// A part of the grant's record as the list shows it.
fn inherited_part(pair: KeyValue<GrantPart>) -> Option<InheritedPart> {
    let index = pair.key[GRANT_PARTS.len().min(pair.key.len())..]
        .parse()
        .ok()?;
    Some(InheritedPart {
        index,
        version: pair.version,
        part: pair.value,
    })
}

/// A plan's record as the list shows it.
fn inherited_plan(pair: KeyValue<Value>) -> InheritedPlan {
    InheritedPlan {
        name: pair.key[PLANS.len().min(pair.key.len())..].to_owned(),
        version: pair.version,
        value: pair.value,
    }
}

/// What the election shows.
#[derive(Debug, Clone, Copy)]
struct Elected {
    /// The revision of our grant (rule 1).
    token: u64,
    /// The holder before us kept no progress of jobs that are over (rule 4).
    whole_machines: bool,
    /// A holder before us may have started tasks that no record tells of.
    predecessor_degraded: bool,
    /// Plans may be recorded.
    plans: bool,
}

/// What the predecessor left, and how far it is known.
struct Inherited {
    inheritance: Inheritance,
    /// The jobs are those of this revision, read after this time.
    revision: u64,
    jobs_read_at: Time,
}

/// Whether a process of ours that has ended since wrote this record.
fn is_former_self(record: &LeaderRecord, member: &str, incarnation: u64) -> bool {
    record.member == member && record.incarnation != incarnation
}

impl Node {
    /// Runs `f` on the engine while this node leads with this token.
    pub(crate) fn with_engine<R>(&self, token: u64, f: impl FnOnce(&mut Engine) -> R) -> Option<R> {
        match &mut *self.role.borrow_mut() {
            Role::Leading(leading) if leading.engine.revision() == token => {
                Some(f(&mut leading.engine))
            }
            _ => None,
        }
    }

    /// Waits until no leader's key exists, or only that of our former self, whose
    /// version is returned. That one is dead: we have its addresses. After an
    /// outage its lease has its full time again, for which the fleet need not
    /// wait; the key is replaced, so what it left under way fails (rule 1).
    pub(crate) async fn follow(self: Rc<Self>) -> Option<u64> {
        loop {
            let found = self
                .state
                .get::<LeaderRecord>(LEADER_KEY, Urgency::Patient)
                .await;
            match found {
                Ok(Some((record, token))) => {
                    self.degraded_mode_record.borrow_mut().read(token);
                    if is_former_self(&record, &self.settings.member, self.incarnation) {
                        info!(token, "the leader's key is of our former self: taken over");
                        return Some(token);
                    }
                    self.observe_leader(&record.member, token);
                    self.elected.set(Some((token, record.incarnation)));
                    let ended = pin!(self.wait_for_end(token));
                    match select(ended, pin!(self.campaign_requested.notified())).await {
                        Either::Left((true, _)) => return None,
                        Either::Left((false, _)) => {}
                        // Its version in the transaction of our election makes
                        // certain that nobody else has replaced it (rule 1).
                        Either::Right(_) if self.confirmed_failure.take() == Some(token) => {
                            return Some(token);
                        }
                        Either::Right(_) => {}
                    }
                }
                Ok(None) => return None,
                Err(e) => {
                    debug!(reason = %e, "leader's key not readable");
                    sleep(0.4).await;
                }
            }
        }
    }

    /// True when the watch shows that the leader's key is gone.
    async fn wait_for_end(&self, revision: u64) -> bool {
        let mut from = revision;
        loop {
            match self
                .state
                .watch::<LeaderRecord>(LEADER_KEY, from, self.tuning.watch_hold_s)
                .await
            {
                Ok(result) => {
                    from = from.max(result.revision);
                    match result.events.last() {
                        Some(event) if event.delete.is_some() => return true,
                        Some(_) => return false,
                        None => {}
                    }
                }
                Err(StateError::Gone) => return false,
                Err(_) => {
                    sleep(0.3).await;
                    return false;
                }
            }
        }
    }

    /// Tries once to become the leader; if it does, leads until that is over.
    pub(crate) async fn campaign(self: Rc<Self>, former: Option<u64>) {
        if self.types.borrow().is_empty() {
            sleep(0.3).await;
            return;
        }
        let now = self.clock.now();
        if now < self.step_down_backoff_until.get() && self.a_peer_could_lead(now) {
            sleep(0.3).await;
            return;
        }
        if former.is_none() {
            // Apart from one another, or all try at once and waste writes; the one
            // that is to lead goes first.
            let jitter = random(|rng| rng.random_range(0.0..0.05));
            sleep(self.campaign_rank() as f64 * 0.1 + jitter).await;
        }
        let asked_at = self.clock.now();
        let Ok(lease) = self.state.grant_lease(self.tuning.leader_ttl_s).await else {
            sleep(0.3).await;
            return;
        };
        self.campaigning.set(true);
        let elected = self.commit_election(lease, former).await;
        self.campaigning.set(false);
        match elected {
            Some(elected) => self.run_term(lease, asked_at, elected).await,
            None => {
                self.state.end_lease(lease).await;
                sleep(0.1).await;
            }
        }
    }

    /// One transaction makes us the leader and moves the block here; its
    /// revision is the block's token (rule 1).
    async fn commit_election(&self, lease: u64, former: Option<u64>) -> Option<Elected> {
        let found = self
            .state
            .get::<GrantRecord>(GRANT_KEY, Urgency::Vital)
            .await
            .ok()?;
        let whole_machines = found
            .as_ref()
            .is_some_and(|(g, _)| !g.keeps_orphaned_attempts);
        // Without any, nobody needs to look for some.
        let plans = self.tuning.has_plans() || found.as_ref().is_some_and(|(grant, _)| grant.plans);
        let version = found.map_or(0, |(_, version)| version);
        // Written by an election only, which the grant's version excludes.
        let recovery_pending = self
            .state
            .get::<IgnoredAny>(RECOVERY_PENDING_KEY, Urgency::Vital)
            .await
            .ok()?
            .is_some();
        let open = version > 0 && self.degraded_mode_record.borrow().may_be_open(version);
        let predecessor_degraded = open || recovery_pending;
        let leader = LeaderRecord {
            member: self.settings.member.clone(),
            incarnation: self.incarnation,
        };
        let grant = (version, plans);
        let txn = election(
            leader,
            lease,
            former.unwrap_or(0),
            grant,
            predecessor_degraded,
        );
        match self.state.txn(&txn, Urgency::Vital).await {
            TxnOutcome::Applied { revision } => Some(Elected {
                token: revision,
                predecessor_degraded,
                whole_machines,
                plans,
            }),
            _ => None,
        }
    }

    async fn run_term(self: Rc<Self>, lease: u64, asked_at: Time, elected: Elected) {
        let token = elected.token;
        self.share_limits(true);
        self.observe_leader(&self.settings.member, token);
        info!(
            token,
            predecessor_degraded = elected.predecessor_degraded,
            "takes over as leader"
        );
        let cfg = Rc::new(self.engine_config());
        let start_until = Rc::new(Cell::new(self.start_end(asked_at)));
        let renew_until = Rc::new(Cell::new(asked_at + cfg.renewal_s()));
        let gone = Rc::new(Cell::new(false));
        let mut tasks = TaskGroup::default();
        tasks.start(self.clone().keep_lease(
            lease,
            token,
            start_until.clone(),
            renew_until.clone(),
            cfg.renewal_s(),
            gone.clone(),
        ));
        if let Some(read) = self.read_predecessor(elected, &renew_until, &gone).await {
            let Inherited { inheritance, .. } = read;
            // What was cancelled since is not known yet (rule 2).
            let known_until = read.jobs_read_at + cfg.renewal_s();
            renew_until.set(renew_until.get().min(known_until));
            let now = self.clock.now();
            let engine = Engine::new(cfg, now, self.clock.unix_ms(), inheritance);
            info!(
                token,
                jobs = engine.job_count(),
                took_s = now - asked_at,
                "picture rebuilt"
            );
            *self.role.borrow_mut() = Role::Leading(Box::new(Leading {
                engine,
                start_until,
                renew_until: renew_until.clone(),
                followed: Cell::new(read.revision),
                superseded: Cell::new(false),
            }));
            tasks.start(self.clone().run_scheduler(token));
            tasks.start(self.clone().watch_jobs(token));
            tasks.start(self.clone().run_cloud(token));
            tasks.start(self.clone().run_fencing(token));
            tasks.start(self.clone().answer_suspicions(token));
            tasks.start(self.clone().run_degraded_mode(token));
            self.changed.raise();
            let reason = self.wait_for_term_end(&renew_until, &gone).await;
            warn!(token, reason, "leadership is over");
        }
        tasks.end();
        // What we know of our own starts, should we succeed ourselves.
        let open = std::mem::take(&mut *self.degraded_mode.borrow_mut()).may_be_open();
        self.degraded_mode_record
            .borrow_mut()
            .held(self.clock.now(), token, open);
        *self.role.borrow_mut() = Role::Following;
        self.set_resigning(false);
        self.changed.raise();
        self.share_limits(false);
        self.state.end_lease(lease).await;
        sleep(0.2).await;
    }

    fn start_end(&self, sent_at: Time) -> Time {
        sent_at + self.tuning.leader_ttl_s * (1.0 - self.tuning.drift) - 0.1
    }

    /// Why leadership ended, once it has.
    async fn wait_for_term_end(&self, renew_until: &Cell<Time>, gone: &Cell<bool>) -> &'static str {
        let mut unreachable_since: Option<Time> = None;
        let mut paused = false;
        let elected_at = self.clock.now();
        loop {
            let woken = pin!(self.step_down.notified());
            let _ = select(woken, pin!(sleep(0.5))).await;
            let now = self.clock.now();
            let (live, all) = match &*self.role.borrow() {
                Role::Leading(leading) => {
                    if leading.superseded.get() {
                        return "another leader was heard of";
                    }
                    if leading.engine.is_lost() {
                        return "a write was refused: the leader's key is not ours";
                    }
                    leading.engine.live_machines(now)
                }
                Role::Following => return "not leading",
            };
            if gone.get() {
                return "the lease ended, or the leader's key is not ours";
            }
            if self.is_overloaded(elected_at) {
                self.step_down_backoff_until
                    .set(now + self.tuning.hand_over_after_s);
                return "computes late: hands over";
            }
            // We can't end our lease then: peers replace the key at our word.
            self.set_resigning(self.is_isolated_from_state());
            // Past the renewal time, reports are refused but the lease is still
            // renewed: if that succeeds after an outage, nobody else can have
            // been elected, and the fleet goes on under the same token.
            if now >= renew_until.get() && !paused {
                paused = true;
                warn!("without the state service for too long: reports are refused");
            } else if paused && now < renew_until.get() {
                paused = false;
                info!("the state service is back: reports are answered");
            }
            // Workers that reach nobody else but not us would lose their
            // tasks: somebody whom they reach shall lead.
            if all >= 2 && live == 0 && self.a_peer_could_lead(now) {
                let since = *unreachable_since.get_or_insert(now);
                if now - since > self.settings.facts.workers.lease_s * 0.3 {
                    return "no worker reaches this node";
                }
            } else {
                unreachable_since = None;
            }
        }
    }

    fn a_peer_could_lead(&self, now: Time) -> bool {
        self.peers.borrow().values().any(|p| {
            p.state_reachable
                && p.heard_at
                    .is_some_and(|at| now - at < 3.0 * self.tuning.peer_interval_s)
        })
    }

    /// Keeps the state lease; counts its time from before each request. A renewal
    /// alone does not prove that the key is still ours, since a follower may
    /// replace it: a comparison does, and both must succeed. For the time to answer
    /// workers, what was cancelled up to then must have been read, too: the watch may
    /// be silent, in an outage or behind a cut, while renewals succeed (rule 2).
    async fn keep_lease(
        self: Rc<Self>,
        lease: u64,
        token: u64,
        start_until: Rc<Cell<Time>>,
        renew_until: Rc<Cell<Time>>,
        renewal_s: f64,
        gone: Rc<Cell<bool>>,
    ) {
        loop {
            let failing = self.state.failing_since().is_some();
            sleep(self.tuning.leader_renew_s * if failing { 0.4 } else { 1.0 }).await;
            let sent_at = self.clock.now();
            let ours = Txn {
                conditions: vec![Condition {
                    key: LEADER_KEY.into(),
                    version: token,
                }],
                changes: Vec::new(),
            };
            let renewed = self.state.renew_lease(lease, self.tuning.leader_renew_s);
            let ours = self.state.txn(&ours, Urgency::Vital);
            let (renewed, ours, known) = join3(renewed, ours, self.read_job_changes(token)).await;
            // Without an engine nobody is answered, and what it will know is reckoned
            // when it is there.
            let known = known || self.followed(token).is_none();
            match renewed {
                _ if matches!(ours, TxnOutcome::Conflict { .. }) => {
                    gone.set(true);
                    self.step_down.notify();
                    return;
                }
                Ok(()) if matches!(ours, TxnOutcome::Applied { .. }) => {
                    start_until.set(self.start_end(sent_at));
                    if known {
                        renew_until.set(sent_at + renewal_s);
                    }
                }
                Ok(()) => debug!("lease renewed, and not known whether the key is ours"),
                Err(StateError::Gone) => {
                    gone.set(true);
                    self.step_down.notify();
                    return;
                }
                Err(e) => debug!(reason = %e, "lease not renewed"),
            }
        }
    }

    /// Reads what the predecessor left: jobs, their progress, the catalogue.
    async fn read_predecessor(
        &self,
        elected: Elected,
        renew_until: &Cell<Time>,
        gone: &Cell<bool>,
    ) -> Option<Inherited> {
        loop {
            if gone.get() || self.clock.now() >= renew_until.get() {
                return None;
            }
            let read_at = self.clock.now();
            let jobs = self.state.list::<JobRecord>(JOBS, Urgency::Vital).await;
            let runs = self.state.list::<RunRecord>(RUNS, Urgency::Vital).await;
            let parts = self
                .state
                .list::<GrantPart>(GRANT_PARTS, Urgency::Vital)
                .await;
            let (Ok((jobs, revision)), Ok((runs, _)), Ok((parts, _))) = (jobs, runs, parts) else {
                sleep(0.2).await;
                continue;
            };
            let plans = if elected.plans {
                match self.state.list::<Value>(PLANS, Urgency::Vital).await {
                    Ok((plans, _)) => plans,
                    Err(_) => {
                        sleep(0.2).await;
                        continue;
                    }
                }
            } else {
                Vec::new()
            };
            let mut progress: BTreeMap<String, (RunRecord, u64)> = runs
                .into_iter()
                .map(|pair| {
                    (
                        pair.key[RUNS.len()..].to_owned(),
                        (pair.value, pair.version),
                    )
                })
                .collect();
            let jobs: Vec<InheritedJob> = jobs
                .into_iter()
                .map(|pair| {
                    let run = progress.remove(&pair.value.spec.id);
                    let id = &pair.value.spec.id;
                    self.polls.record_version(id, pair.version, read_at);
                    InheritedJob {
                        record: pair.value,
                        version: pair.version,
                        run,
                    }
                })
                .collect();
            let inheritance = Inheritance {
                revision: elected.token,
                leader_version: elected.token,
                parts: parts.into_iter().filter_map(inherited_part).collect(),
                jobs,
                over: (progress.into_iter())
                    .map(|(id, (run, _))| (id, run))
                    .collect(),
                whole_machines: elected.whole_machines,
                predecessor_degraded: elected.predecessor_degraded,
                types: self.types.borrow().clone(),
                plans: plans.into_iter().map(inherited_plan).collect(),
            };
            return Some(Inherited {
                inheritance,
                revision,
                jobs_read_at: read_at,
            });
        }
    }

    /// Turns what is known into placements and records.
    async fn run_scheduler(self: Rc<Self>, token: u64) {
        let mut last_cycle = f64::MIN;
        let mut last_tick = f64::MIN;
        loop {
            let now = self.clock.now();
            let tuning = self.tuning.clone();
            let (room, spare) = self.state.write_room();
            let step = self.with_engine(token, |engine| {
                if now - last_tick >= tuning.tick_s {
                    last_tick = now;
                    engine.set_wall(now, self.clock.unix_ms());
                    engine.tick(now);
                    self.keep_sockets_for(engine.machine_count());
                }
                let due = now - last_cycle >= tuning.cycle_interval_s;
                if engine.is_mid_cycle() || (engine.wants_schedule() && due) {
                    last_cycle = now;
                    engine.schedule(now);
                    charge(engine.take_steps() as f64 * tuning.step_ns * 1e-9);
                    self.progress.raise();
                }
                let next = match (engine.is_mid_cycle(), engine.wants_schedule()) {
                    (true, _) => Some(tuning.slice_pause_s),
                    (false, true) => Some(tuning.cycle_interval_s),
                    (false, false) => None,
                };
                if self.degraded_mode.borrow().is_open() && self.state.failing_since().is_some() {
                    return (None, Default::default(), Vec::new(), next);
                }
                (
                    engine.next_txn(now, room, spare),
                    engine.unknown_versions(),
                    engine.unread_plans(),
                    next,
                )
            });
            let Some((txn, (jobs, parts), plans, next)) = step else {
                return;
            };
            if self.degraded_mode.borrow().is_open() && txn.is_none() {
                // Nothing can be written, or need be: launches go without.
                self.progress.raise();
                let token_increments = self.with_engine(token, |e| e.token_increments(now));
                for increment in token_increments.into_iter().flatten() {
                    spawn(self.clone().bring_token(token, increment));
                }
                let wait = next.unwrap_or(tuning.write_delay_s.clamp(0.02, 0.1));
                let woken = pin!(self.wake.notified());
                let _ = select(woken, pin!(sleep(wait))).await;
                continue;
            }
            if !jobs.is_empty() || !parts.is_empty() {
                self.read_versions(token, jobs, parts).await;
            }
            if !plans.is_empty() {
                self.read_plans(token, plans).await;
            }
            if let Some(pending) = txn {
                let outcome = self.state.txn(&pending.txn, Urgency::Patient).await;
                if !matches!(outcome, TxnOutcome::Applied { .. }) {
                    debug!(?outcome, "transaction");
                    if outcome == TxnOutcome::NotExecuted {
                        sleep(0.2).await;
                    }
                }
                let now = self.clock.now();
                if matches!(outcome, TxnOutcome::Applied { .. }) {
                    self.remember_ends(&pending.txn);
                }
                let after = self.with_engine(token, |engine| {
                    engine.txn_done(now, pending, outcome);
                    (engine.is_lost(), engine.token_increments(now))
                });
                self.progress.raise();
                let Some((false, token_increments)) = after else {
                    self.step_down.notify();
                    return;
                };
                for increment in token_increments {
                    spawn(self.clone().bring_token(token, increment));
                }
                continue;
            }
            let wait = next.unwrap_or(tuning.write_delay_s.clamp(0.02, 0.1));
            let woken = pin!(self.wake.notified());
            if let Either::Left(_) = select(woken, pin!(sleep(wait))).await {
                // Reports come in bunches: one look serves them all.
                sleep(0.005).await;
            }
        }
    }

    /// Ends of jobs that are recorded now: their users are told without a read, also
    /// while the state service is out (rule 6).
    fn remember_ends(&self, txn: &Txn<Record>) {
        for change in &txn.changes {
            if let Change::Put { key, value, .. } = change
                && let Record::Over(over) = value
                && let Some(id) = key.strip_prefix(OVER)
            {
                self.remember_end(id, *over);
            }
        }
    }

    async fn read_versions(&self, token: u64, jobs: Vec<String>, parts: Vec<u32>) {
        for id in jobs {
            let job = self
                .state
                .get::<JobRecord>(&job_key(&id), Urgency::Patient)
                .await;
            let run = self
                .state
                .get::<RunRecord>(&run_key(&id), Urgency::Patient)
                .await;
            if let (Ok(job), Ok(run)) = (job, run) {
                let version = run.map_or(0, |(_, version)| version);
                self.with_engine(token, |e| e.version_read(&id, job.is_some(), version));
            } else {
                sleep(0.2).await;
                return;
            }
        }
        for index in parts {
            let read = self
                .state
                .get::<IgnoredAny>(&part_key(index), Urgency::Patient)
                .await;
            let Ok(found) = read else {
                sleep(0.2).await;
                return;
            };
            let version = found.map_or(0, |(_, version)| version);
            self.with_engine(token, |e| e.part_read(index, version));
        }
    }

    async fn read_plans(&self, token: u64, names: Vec<String>) {
        for name in names {
            let read = self
                .state
                .get::<Value>(&plan_key(&name), Urgency::Patient)
                .await;
            let Ok(found) = read else {
                sleep(0.2).await;
                return;
            };
            let now = self.clock.now();
            self.with_engine(token, |e| e.plan_read(now, &name, found));
        }
    }

    /// How far the engine knows what was accepted and cancelled, if we lead.
    fn followed(&self, token: u64) -> Option<u64> {
        match &*self.role.borrow() {
            Role::Leading(leading) if leading.engine.revision() == token => {
                Some(leading.followed.get())
            }
            _ => None,
        }
    }

    /// Tells the engine of jobs accepted and cancelled, in the order of revisions,
    /// whichever answer comes first. The changes must be all since a revision that
    /// the engine knew when they were asked for.
    fn apply_job_changes(&self, token: u64, result: WatchResult<JobRecord>) {
        let Some(followed) = self.followed(token) else {
            return;
        };
        let (now, unix_ms) = (self.clock.now(), self.clock.unix_ms());
        self.with_engine(token, |engine| {
            for event in result.events.into_iter().filter(|e| e.version > followed) {
                if let (Some(_), Some(record)) = (&event.put, event.value) {
                    engine.job_accepted(now, unix_ms, record, event.version);
                } else if let Some(key) = &event.delete {
                    engine.job_dropped(&key[JOBS.len().min(key.len())..]);
                }
            }
        });
        if let Role::Leading(leading) = &*self.role.borrow() {
            leading.followed.set(followed.max(result.revision));
        }
        self.wake.notify();
    }

    /// Reads what was accepted and cancelled up to now; false if that is not known.
    async fn read_job_changes(&self, token: u64) -> bool {
        let Some(from) = self.followed(token) else {
            return false;
        };
        match self.state.changes::<JobRecord>(JOBS, from).await {
            Ok(result) => {
                self.apply_job_changes(token, result);
                true
            }
            Err(e) => {
                debug!(reason = %e, "accepted and cancelled jobs not read");
                false
            }
        }
    }

    /// Hears of accepted and cancelled jobs.
    async fn watch_jobs(self: Rc<Self>, token: u64) {
        while let Some(from) = self.followed(token) {
            let hold_s = self.tuning.watch_hold_s;
            match self.state.watch::<JobRecord>(JOBS, from, hold_s).await {
                Ok(result) => self.apply_job_changes(token, result),
                Err(StateError::Gone) => self.list_jobs(token).await,
                Err(_) => sleep(0.3).await,
            }
        }
    }

    /// The changes since what we know are not to be had any more.
    async fn list_jobs(&self, token: u64) {
        let listed = self.state.list::<JobRecord>(JOBS, Urgency::Patient).await;
        let Ok((pairs, revision)) = listed else {
            return;
        };
        if self.followed(token).is_none_or(|known| known > revision) {
            return;
        }
        let (now, unix_ms) = (self.clock.now(), self.clock.unix_ms());
        let ended = |id: &str| self.cache.borrow().get(id).is_some();
        let records = pairs
            .into_iter()
            .filter(|p| !ended(&p.value.spec.id))
            .map(|p| (p.value, p.version))
            .collect();
        self.with_engine(token, |e| e.jobs_listed(now, unix_ms, records));
        if let Role::Leading(leading) = &*self.role.borrow() {
            leading.followed.set(revision);
        }
        self.wake.notify();
    }

    /// Lists, rents and returns machines.
    async fn run_cloud(self: Rc<Self>, token: u64) {
        let mut listed_at = f64::MIN;
        let mut catalogue_at = f64::MIN;
        let mut catalogue_recorded = false;
        loop {
            let now = self.clock.now();
            if now - catalogue_at >= self.tuning.catalogue_interval_s {
                catalogue_at = now;
                if let Some(types) = self.cloud.catalogue().await
                    && !types.is_empty()
                {
                    *self.types.borrow_mut() = types.clone();
                    if !catalogue_recorded {
                        catalogue_recorded = self.record_catalogue(token, types.clone()).await;
                    }
                    self.with_engine(token, |e| e.set_types(types));
                }
            }
            if now - listed_at >= self.tuning.list_interval_s {
                if let Some(list) = self.cloud.list().await {
                    let now = self.clock.now();
                    if listed_at == f64::MIN {
                        info!(machines = list.len(), "first list of the cloud");
                    }
                    listed_at = now;
                    self.with_engine(token, |e| e.listing(now, &list));
                    self.wake.notify();
                } else {
                    debug!("cloud gave no list");
                }
            }
            // Before the first list we don't know what is there already.
            let now = self.clock.now();
            let actions = if listed_at == f64::MIN {
                Some(Vec::new())
            } else {
                self.with_engine(token, |e| e.cloud_actions(now))
            };
            let Some(actions) = actions else {
                return;
            };
            for action in actions {
                self.execute(token, action).await;
            }
            sleep(self.tuning.rent_interval_s).await;
        }
    }

    async fn record_catalogue(&self, token: u64, types: Vec<umbersail_wire::MachineType>) -> bool {
        let read = self
            .state
            .get::<IgnoredAny>(CATALOGUE_KEY, Urgency::Patient)
            .await;
        let Ok(found) = read else {
            return false;
        };
        let txn = catalogue(token, found.map_or(0, |(_, version)| version), types);
        matches!(
            self.state.txn(&txn, Urgency::Patient).await,
            TxnOutcome::Applied { .. }
        )
    }

    async fn execute(&self, token: u64, action: CloudAction) {
        match action {
            CloudAction::Delete(names) => {
                let gone = self.cloud.delete(&names).await;
                self.with_engine(token, |e| {
                    if gone {
                        e.deleted(&names);
                    } else {
                        e.delete_unanswered(&names);
                    }
                });
                self.wake.notify();
            }
            CloudAction::Rent(request) => {
                let rented = self.cloud.rent(&request).await;
                let now = self.clock.now();
                self.with_engine(token, |e| match rented {
                    Rented::Machines(names) => e.rented(now, &request, &names),
                    Rented::NoCapacity => e.rent_refused(now, &request),
                    Rented::Unknown => e.rent_unanswered(request),
                });
            }
        }
    }

    /// Brings our token to the machines that the predecessor held, so that
    /// answers of the predecessor are dropped, and gets a fresh report.
    async fn run_fencing(self: Rc<Self>, token: u64) {
        loop {
            let now = self.clock.now();
            let Some(targets) = self.with_engine(token, |e| e.fence_targets(now)) else {
                return;
            };
            let round_s = self.tuning.fence_round_s;
            let most = (self.tuning.fence_per_s * round_s).ceil() as usize;
            for target in targets.into_iter().take(most) {
                spawn(self.clone().bring_token(token, target));
            }
            sleep(round_s).await;
        }
    }

    async fn bring_token(self: Rc<Self>, revision: u64, target: Fencing) {
        let body = encode(&DirectCommands {
            token: target.token,
            session: target.session.max(1),
            commands: Vec::new(),
        });
        let answer = self
            .http
            .request(target.addr, "POST", paths::WORKER_COMMANDS, &body, 2.0)
            .await;
        let machine = target.machine;
        match answer {
            Ok((200 | 409, body)) => match decode::<Report>(&body) {
                Ok(report) => {
                    let now = self.clock.now();
                    self.with_engine(revision, |e| e.direct_report(now, &report));
                    self.wake.notify();
                }
                Err(e) => warn!(machine, reason = %e, "malformed answer of a worker"),
            },
            Ok((status, _)) => debug!(machine, status, "worker refuses the token"),
            Err(e) => debug!(machine, reason = %e, "worker does not answer"),
        }
    }
}
