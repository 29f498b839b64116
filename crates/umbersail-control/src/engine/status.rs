//! One line on machines and jobs for the log, and counts of machines.

use std::collections::BTreeMap;

use super::{Engine, Time};

impl Engine {
    /// One line on the whole block, for the on-call person.
    pub fn status(&self, now: Time) -> String {
        let mut by_kind: BTreeMap<(String, bool), [usize; 4]> = BTreeMap::new();
        for m in self.machines.values() {
            let name = m
                .type_index
                .map_or("unknown", |i| &self.machine_types[i].name);
            let counts = by_kind.entry((name.to_owned(), m.spot)).or_default();
            let index = match () {
                () if m.last_heartbeat.is_none() => 0,
                () if !m.accepts_tasks(now, self.silence_limit_s()) => 3,
                () if m.tasks.is_empty() => 1,
                () => 2,
            };
            counts[index] += 1;
        }
        let mut by_class: BTreeMap<&str, [u32; 3]> = BTreeMap::new();
        for job in self.jobs.values() {
            let counts = by_class.entry(&job.spec.class).or_default();
            counts[0] += 1;
            counts[1] += job.pending();
            counts[2] += job.occupied_tasks() as u32;
        }
        use std::fmt::Write;
        let mut out = String::new();
        for ((name, spot), [boot, idle, busy, out_of_use]) in by_kind {
            let kind = if spot { "spot" } else { "ordinary" };
            // Writing to a String cannot fail.
            let _ = write!(
                out,
                "{name}/{kind} {boot} booting {idle} idle {busy} busy {out_of_use} out; "
            );
        }
        for (class, [jobs, waiting, placed]) in by_class {
            let _ = write!(
                out,
                "{class} {jobs} jobs {waiting} waiting {placed} placed; "
            );
        }
        out
    }

    /// Number of machines, in whatever state.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// Number of unfinished jobs.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Machines up, for logs and for judging whether workers reach us.
    pub fn live_machine_counts(&self, now: Time) -> (usize, usize) {
        let up = self
            .machines
            .values()
            .filter(|m| m.last_heartbeat.is_some());
        let limit = self.silence_limit_s();
        let (mut live, mut all) = (0, 0);
        for m in up {
            all += 1;
            if m.silent_for(now) < limit {
                live += 1;
            }
        }
        (live, all)
    }
}
