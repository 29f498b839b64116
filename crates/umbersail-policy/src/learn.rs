use std::collections::HashMap;

/// What was seen of one class of jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassStats {
    /// Mean of run time over the owners' estimate.
    pub ratio: f64,
    /// Mean number of tasks that run or wait.
    pub load: f64,
    /// Mean number of tasks of a job.
    pub tasks_per_job: f64,
    /// Last time it was of use; the longest unused class is forgotten.
    pub used_at: f64,
}

/// Run times and load by class, in bounded memory.
#[derive(Debug)]
pub struct Learner {
    classes: HashMap<String, ClassStats>,
    most: usize,
    weight: f64,
}

impl Learner {
    pub fn new(most: usize, weight: f64) -> Learner {
        Learner {
            classes: HashMap::new(),
            most: most.max(1),
            weight,
        }
    }

    pub fn get(&self, class: &str) -> Option<&ClassStats> {
        self.classes.get(class)
    }

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
        let stats = self
            .classes
            .entry(class.to_owned())
            .or_insert_with(|| ClassStats {
                ratio: 1.0,
                load: 0.0,
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
        stats.tasks_per_job += (f64::from(tasks) - stats.tasks_per_job) * weight;
    }

    /// So many tasks ran or waited for the last `dt` seconds.
    pub fn loaded(&mut self, class: &str, now: f64, tasks: f64, dt: f64, window_s: f64) {
        let share = (dt / window_s).clamp(0.0, 1.0);
        let stats = self.entry(class, now);
        stats.load += (tasks - stats.load) * share;
    }

    /// Classes not mentioned by the caller had no task in the last `dt`.
    pub fn fade(&mut self, dt: f64, window_s: f64, busy: impl Fn(&str) -> bool) {
        let share = (dt / window_s).clamp(0.0, 1.0);
        for (class, stats) in &mut self.classes {
            if !busy(class) {
                stats.load -= stats.load * share;
            }
        }
    }

    pub fn run_s(&self, class: &str, estimate_s: f64) -> f64 {
        estimate_s * self.get(class).map_or(1.0, |s| s.ratio)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn estimates_are_corrected_and_memory_is_bounded() {
        let mut learner = Learner::new(2, 0.5);
        for i in 0..20 {
            learner.ran("a", f64::from(i), 10.0, 20.0);
        }
        assert!((learner.run_s("a", 100.0) - 200.0).abs() < 1.0);
        learner.arrived("b", 30.0, 4);
        learner.arrived("c", 31.0, 4);
        assert!(learner.get("a").is_none());
        assert_eq!(learner.iter().count(), 2);
    }
}
