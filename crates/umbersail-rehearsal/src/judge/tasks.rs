//! Checks where tasks run: each task on one machine at a time, within the quota of its team,
//! on machines that its job allows, and not after its cancellation.

use umbersail_wire::JobSpec;

use super::{Checker, MIN_START_S, Rule};
use crate::history::EndReason;

impl Checker<'_> {
    /// Checks and records a task start.
    pub(super) fn started(
        &mut self,
        index: usize,
        t: f64,
        machine: &str,
        id: &str,
        task: u32,
        attempt: u64,
    ) {
        self.figures.starts += 1;
        let cancel_s = self.night.workers.cancel_s;
        let job = self.job(id);
        let Some(spec) = job.spec.clone() else {
            return;
        };
        job.started.entry(task).or_insert(t);
        let cancelled = job
            .cancel_acknowledged_at
            .is_some_and(|at| t > at + cancel_s);
        if cancelled {
            let detail = format!("{id}/{task} starts on {machine} although it is cancelled");
            self.breach(Rule::RanCancelled, t, index, detail);
        }
        let key = (id.to_owned(), task);
        if let Some((other, _, since)) = self.placements.get(&key).and_then(|p| p.first()).cloned()
        {
            let detail =
                format!("{id}/{task} is on {other} since {since:.3} s and starts on {machine}");
            self.breach(Rule::RanTwice, t, index, detail);
        }
        self.check_place(index, t, machine, &spec, task);
        let place = (machine.to_owned(), attempt, t);
        self.placements.entry(key).or_default().push(place);
        let used = self.team_cpus.entry(spec.team.clone()).or_default();
        *used += spec.cpus;
        let (used, team) = (*used, self.night.teams.iter().find(|x| x.name == spec.team));
        let quota = team.map_or(0.0, |x| x.cpus_max);
        if quota > 0.0 && used > quota + 1e-6 {
            let detail = format!("{} uses {used} CPUs of {quota}", spec.team);
            self.breach(Rule::Quota, t, index, detail);
        }
    }

    /// Checks that the job allows the machine and its zone.
    fn check_place(&mut self, index: usize, t: f64, machine: &str, spec: &JobSpec, task: u32) {
        let Some(machine_state) = self.machines.get(machine) else {
            return;
        };
        let kind = &self.night.machines[machine_state.kind].name;
        let mut wrong = None;
        if spec
            .types
            .as_ref()
            .is_some_and(|types| !types.contains(kind))
        {
            wrong = Some("its type is not allowed");
        }
        if spec
            .zone
            .as_ref()
            .is_some_and(|zone| *zone != machine_state.zone)
        {
            wrong = Some("its zone is not allowed");
        }
        if machine_state.spot && !spec.spot() {
            wrong = Some("it is a spot machine");
        }
        if spec.one_zone() || spec.spread() {
            let range = (spec.id.clone(), 0)..=(spec.id.clone(), u32::MAX);
            let zones: Vec<&str> = self
                .placements
                .range(range)
                .flat_map(|(_, places)| places)
                .filter_map(|(m, ..)| self.machines.get(m).map(|s| s.zone.as_str()))
                .collect();
            let same = zones.iter().filter(|z| **z == machine_state.zone).count();
            if spec.one_zone() && same < zones.len() {
                wrong = Some("the job's tasks are in another zone");
            }
            if spec.spread() && same + 1 > (spec.tasks as usize).div_ceil(2) {
                wrong = Some("more than half of the tasks are in its zone");
            }
        }
        if let Some(why) = wrong {
            let detail = format!("{}/{task} starts on {machine}: {why}", spec.id);
            self.breach(Rule::WrongPlace, t, index, detail);
        }
    }

    /// Records the end of an attempt, with its share of useful work and its cost.
    pub(super) fn ended(
        &mut self,
        t: f64,
        machine: &str,
        id: &str,
        task: u32,
        how: EndReason,
        useful_s: f64,
    ) {
        let job = self.job(id);
        let Some(spec) = job.spec.clone() else {
            return;
        };
        if how == EndReason::Done
            && job.done_tasks.insert(task)
            && job.done_tasks.len() == spec.tasks as usize
        {
            job.completed_at = Some(t);
        }
        if let Some(cancelled_at) = job.cancel_acknowledged_at {
            let longest = &mut self.figures.cancelled_gone_s;
            *longest = longest.max(t - cancelled_at);
        }
        let job = self.job(id);
        if how == EndReason::Stopped
            && job
                .started
                .get(&task)
                .is_some_and(|at| t - at < MIN_START_S)
        {
            job.started.remove(&task);
        }
        *self.team_cpus.entry(spec.team).or_default() -= spec.cpus;
        let useful_s = useful_s.min(t - self.night.warm_up_s).max(0.0);
        self.useful_cpu_s += useful_s * spec.cpus;
        if let Some(machine_state) = self.machines.get(machine) {
            let kind = &self.night.machines[machine_state.kind];
            let share = (spec.cpus / kind.cpus).max(spec.memory_gb / kind.memory_gb);
            let hourly = if machine_state.spot {
                kind.spot_price.unwrap_or(kind.price)
            } else {
                kind.price
            };
            self.useful_money += useful_s * share * hourly / 3600.0;
        }
        match how {
            EndReason::Lapsed => self.figures.lapsed += 1,
            EndReason::Gone => self.figures.lost += 1,
            _ => {}
        }
    }

    /// Reports tasks that still run after the time allowed for cancellations. Called with each
    /// usage sample, that is once a second, so each cancellation is checked once or twice.
    pub(super) fn check_cancelled_tasks(&mut self, index: usize, t: f64) {
        let is_due = |at: f64| {
            t > at + self.night.workers.cancel_s + 0.5
                && t <= at + self.night.workers.cancel_s + 1.6
        };
        let jobs = self
            .jobs
            .iter()
            .filter(|(_, j)| j.cancel_acknowledged_at.is_some_and(is_due));
        let ids: Vec<String> = jobs.map(|(id, _)| id.clone()).collect();
        for id in ids {
            let range = (id.clone(), 0)..=(id.clone(), u32::MAX);
            let running = self
                .placements
                .range(range)
                .next()
                .map(|(k, p)| (k.1, p[0].0.clone()));
            if let Some((task, machine)) = running {
                let detail = format!("{id}/{task} is on {machine} long after its cancellation");
                self.breach(Rule::RanCancelled, t, index, detail);
            }
        }
    }
}
