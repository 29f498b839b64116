use std::collections::BTreeMap;

/// What was seen of one class of jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassStats {
    /// Mean of run time over the owners' estimate.
    pub ratio: f64,
    /// Mean number of tasks that must run at once to keep up with what comes.
    pub load: f64,
    /// Mean seconds between two jobs.
    pub gap_s: f64,
    window: Window,
    /// When the newest one came.
    pub arrived_at: Option<f64>,
    /// Mean number of tasks of a job.
    pub tasks_per_job: f64,
    /// Last time it was of use; the longest unused class is forgotten.
    pub used_at: f64,
}

/// Bounds of the window over which load is counted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Window {
    /// Jobs that it holds.
    pub jobs: f64,
    /// The shortest window in seconds.
    pub least_s: f64,
}

impl ClassStats {
    /// Whether no job has come for so long that the class seems to have ended
    /// for now: nothing is kept ready for it.
    pub fn is_silent(&self, now: f64) -> bool {
        let least = self.window_s(f64::INFINITY);
        self.arrived_at.is_some_and(|at| now - at > least)
    }

    /// The window over which load is counted: as short as the class's rate of
    /// jobs allows, so that it follows swings, and `most_s` at most.
    fn window_s(&self, most_s: f64) -> f64 {
        (self.gap_s * self.window.jobs)
            .clamp(self.window.least_s.min(most_s), most_s)
            .max(1.0)
    }
}

/// Run times and load by class, in bounded memory.
#[derive(Debug)]
pub struct Learner {
    classes: BTreeMap<String, ClassStats>,
    most: usize,
    weight: f64,
    window: Window,
}

impl Learner {
    /// Statistics of at most `most` classes; `weight` is that of the newest sample.
    pub fn new(most: usize, weight: f64, window: Window) -> Learner {
        Learner {
            classes: BTreeMap::new(),
            most: most.max(1),
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
        if !self.classes.contains_key(class) && self.classes.len() >= self.most {
            let oldest = self
                .classes
                .iter()
                .min_by(|a, b| a.1.used_at.total_cmp(&b.1.used_at))
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
                ratio: 1.0,
                load: 0.0,
                gap_s: f64::INFINITY,
                window,
                arrived_at: None,
                tasks_per_job: 1.0,
                used_at: now,
            });
        stats.used_at = now;
        stats
    }

    /// A task ran for `run_s` where its owner had said `estimate_s`.
    pub fn ran(&mut self, class: &str, now: f64, estimate_s: f64, run_s: f64) {
        let weight = self.weight;
        if estimate_s > 0.0 && run_s > 0.0 {
            let seen = (run_s / estimate_s).clamp(0.1, 10.0);
            let stats = self.entry(class, now);
            stats.ratio += (seen - stats.ratio) * weight;
        }
    }

    /// A job of this class came with so many tasks.
    pub fn arrived(&mut self, class: &str, now: f64, tasks: u32) {
        let weight = self.weight;
        let stats = self.entry(class, now);
        if let Some(last) = stats.arrived_at.replace(now) {
            let gap = (now - last).max(0.0);
            if stats.gap_s.is_finite() {
                stats.gap_s += (gap - stats.gap_s) * weight;
            } else {
                stats.gap_s = gap;
            }
        }
        stats.tasks_per_job += (f64::from(tasks) - stats.tasks_per_job) * weight;
    }

    /// A job brought so many seconds of work. The load is Little's law over a
    /// window: a backlog, however long, does not add to it.
    pub fn brought(&mut self, class: &str, now: f64, work_s: f64, window_s: f64) {
        let stats = self.entry(class, now);
        stats.load += work_s / stats.window_s(window_s);
    }

    /// The window moves on.
    pub fn fade(&mut self, dt: f64, window_s: f64) {
        for stats in self.classes.values_mut() {
            stats.load *= (-dt / stats.window_s(window_s)).exp();
        }
    }

    /// Expected run time in seconds, given the owner's estimate.
    pub fn run_s(&self, class: &str, estimate_s: f64) -> f64 {
        estimate_s * self.get(class).map_or(1.0, |s| s.ratio)
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
            Window {
                jobs: 20.0,
                least_s: 30.0,
            },
        );
        for i in 0..20 {
            learner.ran("a", f64::from(i), 10.0, 20.0);
        }
        assert!((learner.run_s("a", 100.0) - 200.0).abs() < 1.0);
        // One job of 4 tasks of 10 s each 8 s: 5 tasks run at a time.
        for i in 0..100 {
            learner.brought("a", f64::from(i) * 8.0, 40.0, 120.0);
            learner.fade(8.0, 120.0);
        }
        let load = learner.get("a").map_or(0.0, |s| s.load);
        assert!((load - 5.0).abs() < 0.5, "{load}");
        learner.arrived("b", 830.0, 4);
        learner.arrived("c", 831.0, 4);
        assert!(learner.get("a").is_none());
        // Silence is judged by the class's own rate, and not from one job.
        for i in 0..10 {
            learner.arrived("b", 840.0 + f64::from(i) * 4.0, 4);
        }
        let silent = |class, now| learner.get(class).is_some_and(|s| s.is_silent(now));
        assert!(!silent("b", 930.0) && silent("b", 980.0));
        assert!(!silent("c", 5000.0));
        assert_eq!(learner.iter().count(), 2);
    }
}
