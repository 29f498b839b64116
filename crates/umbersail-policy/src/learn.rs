//! Learned run times and load of job classes.

use std::collections::BTreeMap;

/// Statistics of one class of jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassStats {
    /// Mean ratio of actual run time to the estimate given with the job.
    pub run_time_ratio: f64,
    /// Mean number of tasks that must run at the same time to keep up with arriving work.
    pub load: f64,
    /// Mean seconds between two arriving jobs.
    pub interarrival_s: f64,
    window: LoadWindow,
    /// When the newest job arrived.
    pub last_arrival: Option<f64>,
    /// Mean number of tasks per job.
    pub tasks_per_job: f64,
    /// When the statistics were last updated. The class unused for the longest time is
    /// dropped first.
    pub last_used: f64,
}

/// Bounds of the window over which load is measured.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadWindow {
    /// Number of jobs that the window should cover.
    pub jobs: f64,
    /// Shortest window in seconds.
    pub min_s: f64,
}

impl ClassStats {
    /// Whether no job has arrived for so long that the class seems to have stopped
    /// submitting. No spare capacity is kept for an inactive class.
    pub fn is_inactive(&self, now: f64) -> bool {
        let timeout_s = self.window_s(f64::INFINITY);
        self.last_arrival.is_some_and(|at| now - at > timeout_s)
    }

    /// The window over which load is measured, at most `max_s` seconds: as short as the
    /// class's arrival rate allows, so that the measured load follows changes quickly.
    fn window_s(&self, max_s: f64) -> f64 {
        (self.interarrival_s * self.window.jobs)
            .clamp(self.window.min_s.min(max_s), max_s)
            .max(1.0)
    }
}

/// Learned run times and load by class, in bounded memory.
#[derive(Debug)]
pub struct Learner {
    classes: BTreeMap<String, ClassStats>,
    max_classes: usize,
    weight: f64,
    window: LoadWindow,
}

impl Learner {
    /// Keeps statistics of at most `max_classes` classes. `weight` is the weight of the
    /// newest sample.
    pub fn new(max_classes: usize, weight: f64, window: LoadWindow) -> Learner {
        Learner {
            classes: BTreeMap::new(),
            max_classes: max_classes.max(1),
            weight,
            window,
        }
    }

    /// Statistics of a class.
    pub fn get(&self, class: &str) -> Option<&ClassStats> {
        self.classes.get(class)
    }

    /// All classes with their statistics.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &ClassStats)> {
        self.classes.iter().map(|(k, v)| (k.as_str(), v))
    }

    fn entry(&mut self, class: &str, now: f64) -> &mut ClassStats {
        if !self.classes.contains_key(class) && self.classes.len() >= self.max_classes {
            let least_recent = self
                .classes
                .iter()
                .min_by(|a, b| a.1.last_used.total_cmp(&b.1.last_used))
                .map(|(k, _)| k.clone());
            if let Some(least_recent) = least_recent {
                self.classes.remove(&least_recent);
            }
        }
        let window = self.window;
        let stats = self
            .classes
            .entry(class.to_owned())
            .or_insert_with(|| ClassStats {
                run_time_ratio: 1.0,
                load: 0.0,
                interarrival_s: f64::INFINITY,
                window,
                last_arrival: None,
                tasks_per_job: 1.0,
                last_used: now,
            });
        stats.last_used = now;
        stats
    }

    /// Records that a task ran for `run_s` seconds where the job's estimate was
    /// `estimate_s`.
    pub fn record_run(&mut self, class: &str, now: f64, estimate_s: f64, run_s: f64) {
        let weight = self.weight;
        if estimate_s > 0.0 && run_s > 0.0 {
            let seen = (run_s / estimate_s).clamp(0.1, 10.0);
            let stats = self.entry(class, now);
            stats.run_time_ratio += (seen - stats.run_time_ratio) * weight;
        }
    }

    /// Records that a job of this class arrived with this number of tasks.
    pub fn record_arrival(&mut self, class: &str, now: f64, tasks: u32) {
        let weight = self.weight;
        let stats = self.entry(class, now);
        if let Some(last) = stats.last_arrival.replace(now) {
            let gap = (now - last).max(0.0);
            if stats.interarrival_s.is_finite() {
                stats.interarrival_s += (gap - stats.interarrival_s) * weight;
            } else {
                stats.interarrival_s = gap;
            }
        }
        stats.tasks_per_job += (f64::from(tasks) - stats.tasks_per_job) * weight;
    }

    /// Records the work that a job brought, in seconds. The load follows from Little's law
    /// over the window, so a backlog does not add to it however long it is.
    pub fn record_work(&mut self, class: &str, now: f64, work_s: f64, window_s: f64) {
        let stats = self.entry(class, now);
        stats.load += work_s / stats.window_s(window_s);
    }

    /// Decays the load after `dt` seconds, as the window moves on.
    pub fn decay_load(&mut self, dt: f64, window_s: f64) {
        for stats in self.classes.values_mut() {
            stats.load *= (-dt / stats.window_s(window_s)).exp();
        }
    }

    /// Expected run time in seconds, given the job's estimate.
    pub fn expected_run_s(&self, class: &str, estimate_s: f64) -> f64 {
        estimate_s * self.get(class).map_or(1.0, |s| s.run_time_ratio)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn estimates_are_corrected_and_memory_is_bounded() {
        let mut learner = Learner::new(
            2,
            0.5,
            LoadWindow {
                jobs: 20.0,
                min_s: 30.0,
            },
        );
        for i in 0..20 {
            learner.record_run("a", f64::from(i), 10.0, 20.0);
        }
        assert!((learner.expected_run_s("a", 100.0) - 200.0).abs() < 1.0);
        // A job of 4 tasks of 10 s every 8 s keeps 5 tasks running on average.
        for i in 0..100 {
            learner.record_work("a", f64::from(i) * 8.0, 40.0, 120.0);
            learner.decay_load(8.0, 120.0);
        }
        let load = learner.get("a").map_or(0.0, |s| s.load);
        assert!((load - 5.0).abs() < 0.5, "{load}");
        learner.record_arrival("b", 830.0, 4);
        learner.record_arrival("c", 831.0, 4);
        assert!(learner.get("a").is_none());
        // Inactivity is measured by the class's own arrival rate, which a single job does
        // not give.
        for i in 0..10 {
            learner.record_arrival("b", 840.0 + f64::from(i) * 4.0, 4);
        }
        let silent = |class, now| learner.get(class).is_some_and(|s| s.is_inactive(now));
        assert!(!silent("b", 930.0) && silent("b", 980.0));
        assert!(!silent("c", 5000.0));
        assert_eq!(learner.iter().count(), 2);
    }
}
