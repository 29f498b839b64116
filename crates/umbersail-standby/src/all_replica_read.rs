//! All-replica reads of a job while the state service can't be asked.

use crate::failure_detector::Time;

/// One replica's answer on a job, by the asker's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaAnswer<E> {
    /// How it has ended, if this controller has read or recorded that.
    pub ended: Option<E>,
    /// The state service showed it unfinished at this moment or later.
    pub unfinished_at: Option<Time>,
    /// Each end that this controller has told anybody since then is one that it
    /// remembers. A process that starts has told nothing, and knows nothing of what
    /// the one before it told.
    pub complete_since: Time,
}

/// What may be told of the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadOutcome<E> {
    /// The job has ended.
    Ended(E),
    /// The job has not ended.
    Unfinished,
    /// Nobody has seen it, or somebody may have told its end and forgotten it.
    Unknown,
}

/// The outcome of the answers of **all** controllers, our own among them, each given
/// after the question was put.
///
/// A job's end is told only by a controller that has read or recorded it, and no
/// end comes before the moment at which the job was last seen unfinished. So if each
/// remembers all that it has told since that moment, and none remembers this end,
/// nobody has told it (rule 6). That holds whether or not the state service answers
/// some of them.
pub fn read_outcome<E: Copy>(answers: &[ReplicaAnswer<E>]) -> ReadOutcome<E> {
    if let Some(end) = answers.iter().find_map(|w| w.ended) {
        return ReadOutcome::Ended(end);
    }
    let seen = answers.iter().filter_map(|w| w.unfinished_at);
    let Some(seen) = seen.reduce(f64::max) else {
        return ReadOutcome::Unknown;
    };
    if answers.iter().all(|w| w.complete_since < seen) {
        ReadOutcome::Unfinished
    } else {
        ReadOutcome::Unknown
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_job_is_unfinished_only_if_everybody_remembers_enough_and_no_end() {
        // Guards against an older answer than another node has given: by one that was
        // restarted since, one that has forgotten, or one that has told the end.
        let replica_answer = |ended, unfinished_at, complete_since| ReplicaAnswer {
            ended,
            unfinished_at,
            complete_since,
        };
        let ours = replica_answer(None, Some(50.0), 0.0);
        assert_eq!(read_outcome::<u8>(&[ours]), ReadOutcome::Unfinished);
        let restarted = replica_answer(None, None, 60.0);
        assert_eq!(read_outcome(&[ours, restarted]), ReadOutcome::Unknown);
        // It has read the job itself since.
        let restarted = replica_answer(None, Some(61.0), 60.0);
        assert_eq!(read_outcome(&[ours, restarted]), ReadOutcome::Unfinished);
        let knows = replica_answer(Some(7), None, 60.0);
        assert_eq!(read_outcome(&[ours, knows]), ReadOutcome::Ended(7));
        let strangers = [
            replica_answer(None, None, 0.0),
            replica_answer(None, None, 0.0),
        ];
        assert_eq!(read_outcome(&strangers), ReadOutcome::Unknown);
    }
}
