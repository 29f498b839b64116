use std::collections::BTreeMap;

/// What was seen of one class of jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassStats {
    /// Mean of run time over the owners' estimate.
    pub run_time_ratio: f64,
    /// Mean number of tasks that must run at once to keep up with what comes.
    pub load: f64,
    /// Mean seconds between two jobs.
    pub interarrival_s: f64,
    window: LoadWindow,
    /// When the newest one came.
    pub last_arrival: Option<f64>,
    /// Mean number of tasks of a job.
    pub tasks_per_job: f64,
    /// Last time it was of use; the longest unused class is forgotten.
    pub last_used: f64,
}

/// Bounds of the window over which load is counted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadWindow {
    /// Jobs that it holds.
    pub jobs: f64,
    /// The shortest window in seconds.
    pub min_s: f64,
}

impl ClassStats {
    /// Whether no job has come for so long that the class seems to have ended
    /// for now: nothing is kept ready for it.
    pub fn is_inactive(&self, now: f64) -> bool {
        let least = self.window_s(f64::INFINITY);
        self.last_arrival.is_some_and(|at| now - at > least)
    }

    /// The window over which load is counted: as short as the class's rate of
    /// jobs allows, so that it follows swings, and `most_s` at most.
    fn window_s(&self, most_s: f64) -> f64 {
        (self.interarrival_s * self.window.jobs)
            .clamp(self.window.min_s.min(most_s), most_s)
            .max(1.0)
    }
}

/// Run times and load by class, in bounded memory.
#[derive(Debug)]
pub struct Learner {
    classes: BTreeMap<String, ClassStats>,
    max_classes: usize,
    weight: f64,
    window: LoadWindow,
}

impl Learner {
    /// Statistics of at most `most` classes; `weight` is that of the newest sample.
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
            let oldest = self
                .classes
                .iter()
                .min_by(|a, b| a.1.last_used.total_cmp(&b.1.last_used))
                .map(|(k, _)| k.clone());
            if let Some(oldest) = oldest {
                self.classes.remove(&oldest);
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

    /// A task ran for `run_s` where its owner had said `estimate_s`.
    pub fn record_run(&mut self, class: &str, now: f64, estimate_s: f64, run_s: f64) {
        let weight = self.weight;
        if estimate_s > 0.0 && run_s > 0.0 {
            let seen = (run_s / estimate_s).clamp(0.1, 10.0);
            let stats = self.entry(class, now);
            stats.run_time_ratio += (seen - stats.run_time_ratio) * weight;
        }
    }

    /// A job of this class came with so many tasks.
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

    /// A job brought so many seconds of work. The load is Little's law over a
    /// window: a backlog, however long, does not add to it.
    pub fn record_work(&mut self, class: &str, now: f64, work_s: f64, window_s: f64) {
        let stats = self.entry(class, now);
        stats.load += work_s / stats.window_s(window_s);
    }

    /// The window moves on.
    pub fn decay_load(&mut self, dt: f64, window_s: f64) {
        for stats in self.classes.values_mut() {
            stats.load *= (-dt / stats.window_s(window_s)).exp();
        }
    }

    /// Expected run time in seconds, given the owner's estimate.
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
        // One job of 4 tasks of 10 s each 8 s: 5 tasks run at a time.
        for i in 0..100 {
            learner.record_work("a", f64::from(i) * 8.0, 40.0, 120.0);
            learner.decay_load(8.0, 120.0);
        }
        let load = learner.get("a").map_or(0.0, |s| s.load);
        assert!((load - 5.0).abs() < 0.5, "{load}");
        learner.record_arrival("b", 830.0, 4);
        learner.record_arrival("c", 831.0, 4);
        assert!(learner.get("a").is_none());
        // Silence is judged by the class's own rate, and not from one job.
        for i in 0..10 {
            learner.record_arrival("b", 840.0 + f64::from(i) * 4.0, 4);
        }
        let silent = |class, now| learner.get(class).is_some_and(|s| s.is_inactive(now));
        assert!(!silent("b", 930.0) && silent("b", 980.0));
        assert!(!silent("c", 5000.0));
        assert_eq!(learner.iter().count(), 2);
    }
}
