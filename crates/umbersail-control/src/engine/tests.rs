//! Tests of the engine with simulated workers and a clock that the test sets. Each test
//! states the failure that it guards against. Names in backquotes such as `ran_twice` are the
//! rule breaches that the rehearsal reports.

mod body_limits;
mod calendar;
mod cancellations;
mod delegates;
mod evictions;
mod failovers;
mod fixtures;
mod heartbeats;
mod images;
mod late_copies;
mod late_transactions;
mod launches;
mod leases;
mod machines;
mod placement;
mod plans;
mod quotas;
mod random_faults;
mod rentals;
mod reservations;
mod scheduling_cycles;
mod starvation_guard;
mod task_failures;
mod transactions;
mod zone_constraints;

use std::rc::Rc;

use umbersail_policy::TeamLimits;
use umbersail_tuning::Tuning;
use umbersail_wire::{
    Change, Command, ExitCause, Heartbeat, JobKind, JobSpec, ListedMachine, MachineState,
    MachineType, Priority, TaskCounts, TaskReport, TaskState,
};

use super::*;
use crate::records::{
    GRANT_PARTS, GrantPart, GrantedMachine, RECOVERY_PENDING_KEY, Record, job_key, progress_key,
};
use fixtures::*;
