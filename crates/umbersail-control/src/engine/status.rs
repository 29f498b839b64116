//! The status line for the log, and counts of machines and jobs.

use std::collections::BTreeMap;

use super::{Engine, Time};

impl Engine {
    /// One line for operators: machines by type and by spot or ordinary, jobs by class.
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
        for ((name, spot), [boot, idle, busy, unavailable]) in by_kind {
            let kind = if spot { "spot" } else { "ordinary" };
            // Writing to a String cannot fail.
            let _ = write!(
                out,
                "{name}/{kind} {boot} booting {idle} idle {busy} busy {unavailable} unavailable; "
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

    /// Number of machines in any state.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// Number of unfinished jobs.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Numbers of machines that are not silent and of machines that have ever sent a heartbeat,
    /// for logs and to detect that heartbeats do not reach this leader.
    pub fn live_machine_counts(&self, now: Time) -> (usize, usize) {
        let up = self
            .machines
            .values()
            .filter(|m| m.last_heartbeat.is_some());
        let limit = self.silence_limit_s();
        let (mut live, mut total) = (0, 0);
        for m in up {
            total += 1;
            if m.silent_for(now) < limit {
                live += 1;
            }
        }
        (live, total)
    }
}
