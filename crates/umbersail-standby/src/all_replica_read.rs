//! All-replica reads: the status of a job, computed from the answers of all controllers
//! while the state service is unavailable.

use crate::failure_detector::Time;

/// One controller's answer about a job. Times are on the clock of the controller that asked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaAnswer<E> {
    /// The job's final result, if this controller has read or recorded the result.
    pub ended: Option<E>,
    /// The state service showed the job unfinished at this time or later.
    pub unfinished_at: Option<Time>,
    /// This controller remembers every final result that it has reported to anyone since
    /// this time. A new process has reported nothing, and does not know what the previous
    /// process of the same controller reported.
    pub complete_since: Time,
}

/// What may be reported about the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadOutcome<E> {
    /// The job has ended.
    Ended(E),
    /// The job has not ended.
    Unfinished,
    /// No controller has seen the job, or a controller may have reported the job's final
    /// result and forgotten that.
    Unknown,
}

/// Combines the answers of **all** controllers, including this one. Each answer must have
/// been given after the read began.
///
/// Only a controller that has read or recorded a job's final result reports that result,
/// and a job cannot have ended before the time at which it was last seen unfinished. So if
/// every controller remembers all results that it has reported since that time, and none
/// remembers a result of this job, then no controller has reported one (rule 6 of
/// `docs/design.md`). This holds whether or not some controllers can still reach the state
/// service.
pub fn read_outcome<E: Copy>(answers: &[ReplicaAnswer<E>]) -> ReadOutcome<E> {
    if let Some(result) = answers.iter().find_map(|answer| answer.ended) {
        return ReadOutcome::Ended(result);
    }
    let unfinished_times = answers.iter().filter_map(|answer| answer.unfinished_at);
    let Some(last_unfinished_at) = unfinished_times.reduce(f64::max) else {
        return ReadOutcome::Unknown;
    };
    let is_complete = |answer: &ReplicaAnswer<E>| answer.complete_since < last_unfinished_at;
    if answers.iter().all(is_complete) {
        ReadOutcome::Unfinished
    } else {
        ReadOutcome::Unknown
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_job_is_unfinished_only_if_every_controller_remembers_long_enough_and_no_result() {
        // Guards against reporting a job as unfinished after another controller has
        // reported its final result. That controller may have restarted since, may have
        // dropped the result from its memory, or may still know the result.
        let replica_answer = |ended, unfinished_at, complete_since| ReplicaAnswer {
            ended,
            unfinished_at,
            complete_since,
        };
        let own_answer = replica_answer(None, Some(50.0), 0.0);
        assert_eq!(read_outcome::<u8>(&[own_answer]), ReadOutcome::Unfinished);
        let restarted = replica_answer(None, None, 60.0);
        assert_eq!(read_outcome(&[own_answer, restarted]), ReadOutcome::Unknown);
        // The restarted controller has read the job itself since its restart.
        let restarted = replica_answer(None, Some(61.0), 60.0);
        assert_eq!(
            read_outcome(&[own_answer, restarted]),
            ReadOutcome::Unfinished
        );
        let knows_result = replica_answer(Some(7), None, 60.0);
        assert_eq!(
            read_outcome(&[own_answer, knows_result]),
            ReadOutcome::Ended(7)
        );
        let never_seen = [
            replica_answer(None, None, 0.0),
            replica_answer(None, None, 0.0),
        ];
        assert_eq!(read_outcome(&never_seen), ReadOutcome::Unknown);
    }
}
