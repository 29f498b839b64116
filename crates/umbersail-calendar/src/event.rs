//! Events of runs, for the log.

use std::fmt;
use std::rc::Rc;

use crate::openings::UnixMs;

/// Identifies a run by its entry and its opening time.
pub type RunKey = (Rc<str>, UnixMs);

/// An event of a run, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct RunEvent {
    /// The run.
    pub run: RunKey,
    /// What happened.
    pub kind: RunEventKind,
}

/// What happened to a run.
#[derive(Debug, Clone, PartialEq)]
pub enum RunEventKind {
    /// The run opened.
    Opened {
        /// Seconds after its opening time.
        late_s: f64,
    },
    /// The run was due before it could open, so it is skipped.
    Missed,
    /// The properties contain another version of the run's entry.
    Changed,
    /// The properties no longer contain the run's entry.
    Removed,
    /// A step closed: it accepts no more jobs.
    Closed {
        /// Index of the step.
        index: usize,
        /// The reason.
        reason: &'static str,
        /// Number of jobs that the step has accepted.
        accepted_jobs: u32,
    },
    /// All jobs of a step have ended.
    Finished {
        /// Index of the step.
        index: usize,
        /// Duration in seconds.
        duration_s: f64,
        /// Number of jobs that the step has accepted.
        accepted_jobs: u32,
        /// A job whose end the step did not wait for, because the job fails on every machine.
        failing_job: Option<Rc<str>>,
    },
    /// The run is expected to end after its due time.
    Late {
        /// Index of the current step.
        index: usize,
        /// Expected delay in seconds.
        delay_s: f64,
        /// The reason.
        reason: &'static str,
    },
    /// The due time passed while jobs of later steps were held; these jobs are released.
    Released {
        /// Number of released jobs.
        held_jobs: usize,
    },
    /// The run ended.
    Ended {
        /// Seconds after its due time; negative if the run ended before its due time.
        late_s: f64,
        /// Number of unfinished jobs.
        unfinished_jobs: usize,
    },
}

impl RunEvent {
    /// Whether an operator may have to act.
    pub fn is_warning(&self) -> bool {
        match &self.kind {
            RunEventKind::Missed | RunEventKind::Late { .. } | RunEventKind::Released { .. } => {
                true
            }
            RunEventKind::Finished { failing_job, .. } => failing_job.is_some(),
            RunEventKind::Ended {
                late_s,
                unfinished_jobs,
            } => *late_s > 0.0 || *unfinished_jobs > 0,
            _ => false,
        }
    }
}

impl fmt::Display for RunEventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunEventKind::Opened { late_s } => {
                write!(f, "opened {late_s:.1} s after its opening time")
            }
            RunEventKind::Missed => {
                write!(f, "missed: the due time passed before the run could open")
            }
            RunEventKind::Changed => {
                write!(
                    f,
                    "continues with its recorded steps: the entry has changed"
                )
            }
            RunEventKind::Removed => {
                write!(
                    f,
                    "continues with its recorded steps: the entry was removed"
                )
            }
            RunEventKind::Closed {
                index,
                reason,
                accepted_jobs,
            } => {
                write!(
                    f,
                    "closed step {}: {reason}; {accepted_jobs} jobs accepted",
                    index + 1
                )
            }
            RunEventKind::Finished {
                index,
                duration_s,
                accepted_jobs,
                failing_job,
            } => {
                write!(
                    f,
                    "finished step {} in {duration_s:.1} s with {accepted_jobs} jobs",
                    index + 1
                )?;
                match failing_job {
                    Some(id) => write!(f, "; not waiting for {id}, which fails on every machine"),
                    None => Ok(()),
                }
            }
            RunEventKind::Late {
                index,
                delay_s,
                reason,
            } => {
                write!(
                    f,
                    "will be late by {delay_s:.0} s: step {}: {reason}",
                    index + 1
                )
            }
            RunEventKind::Released { held_jobs } => {
                write!(f, "is due: releases {held_jobs} held jobs of later steps")
            }
            RunEventKind::Ended {
                late_s,
                unfinished_jobs: 0,
            } if *late_s <= 0.0 => {
                write!(f, "ended {:.1} s before its due time", -late_s)
            }
            RunEventKind::Ended {
                late_s,
                unfinished_jobs: 0,
            } => write!(f, "ended {late_s:.1} s after its due time"),
            RunEventKind::Ended {
                unfinished_jobs, ..
            } => write!(f, "was given up with {unfinished_jobs} unfinished jobs"),
        }
    }
}
