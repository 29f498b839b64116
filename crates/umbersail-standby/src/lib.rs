//! Failover decisions of a controller: when to replace the leader, who succeeds the
//! leader, and which work a new leader must assume to be still running.
//!
//! This crate does no I/O and reads no clock; callers pass the time.
//!
//! ```
//! use umbersail_standby::{Evidence, DetectorTimeouts, DetectorStep, FailureDetector};
//!
//! let timeouts = DetectorTimeouts {
//!     stagger_s: 0.4,
//!     probe_timeout_s: 0.5,
//!     unresponsive_probe_timeout_s: 1.2,
//!     post_election_grace_s: 6.0,
//!     probe_slack_s: 0.4,
//!     probe_backoff_s: 5.0,
//! };
//! let mut failure_detector = FailureDetector::new(timeouts);
//! failure_detector.observe_leader(0.0, 412);
//! // The connection to the leader was closed. Either the leader's process has ended or
//! // a packet filter closed the connection, so the leader is probed first.
//! failure_detector.suspect(10.0, 412, Evidence::ConnectionClosed);
//! assert_eq!(failure_detector.next_step(10.0, 0), DetectorStep::ProbeLeader);
//! // Another process replies at the leader's address: the elected process has ended.
//! failure_detector.suspect(10.1, 412, Evidence::ProcessReplaced);
//! assert_eq!(failure_detector.next_step(10.1, 0), DetectorStep::ReplaceLeader(412));
//! ```
#![deny(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]

mod all_replica_read;
mod degraded_mode;
mod failure_detector;
mod orphaned_attempts;
mod succession;

pub use all_replica_read::{ReadOutcome, ReplicaAnswer, read_outcome};
pub use degraded_mode::{DegradedMode, DegradedModeMemory};
pub use failure_detector::{DetectorStep, DetectorTimeouts, Evidence, FailureDetector, Time};
pub use orphaned_attempts::{HeartbeatOrder, OrphanedAttempts, OrphanedJobs};
pub use succession::{Candidate, HandoverLimits, TimerLag, next_leader, should_hand_over};
