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
    /// It opened.
    Opened {
        /// Seconds after its opening time.
        late_s: f64,
    },
    /// It was due before it could open; it is skipped.
    Missed,
    /// The file has another version of its entry.
    Changed,
    /// The file no longer has its entry.
    Removed,
    /// A step takes no more jobs.
    Closed {
        /// Index of the step.
        index: usize,
        /// The reason.
        reason: &'static str,
        /// Jobs that it has taken.
        accepted_jobs: u32,
    },
    /// All jobs of a step have ended.
    Finished {
        /// Index of the step.
        index: usize,
        /// Duration in seconds.
        duration_s: f64,
        /// Jobs that it has taken.
        accepted_jobs: u32,
        /// A job that was not waited for, since it fails on every machine.
        failing_job: Option<Rc<str>>,
    },
    /// It is expected to end late.
    Late {
        /// Index of the current step.
        index: usize,
        /// Expected delay in seconds.
        delay_s: f64,
        /// The reason.
        reason: &'static str,
    },
    /// It is due while jobs of later steps were held back; they are released.
    Released {
        /// Jobs that were held back.
        held_jobs: usize,
    },
    /// It ended.
    Ended {
        /// Seconds after its due time; negative if it was in time.
        late_s: f64,
        /// Unfinished jobs.
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
            RunEventKind::Opened { late_s } => write!(f, "opened {late_s:.1} s after its time"),
            RunEventKind::Missed => write!(f, "missed: its due time passed before it could open"),
            RunEventKind::Changed => {
                write!(f, "goes on with its recorded steps: the entry has changed")
            }
            RunEventKind::Removed => {
                write!(f, "goes on with its recorded steps: the entry is gone")
            }
            RunEventKind::Closed {
                index,
                reason,
                accepted_jobs,
            } => {
                write!(
                    f,
                    "step {} takes no more jobs: {reason}; {accepted_jobs} came",
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
                    "step {} finished in {duration_s:.1} s, {accepted_jobs} jobs",
                    index + 1
                )?;
                match failing_job {
                    Some(id) => write!(f, "; not waiting for {id}, which fails wherever it runs"),
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
                write!(f, "is due: lets go {held_jobs} jobs of later steps")
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
            } => write!(f, "ended {late_s:.1} s late"),
            RunEventKind::Ended {
                unfinished_jobs, ..
            } => write!(f, "given up with {unfinished_jobs} jobs unfinished"),
        }
    }
}
