//! The engine against scripted workers and a hand-moved clock. Each test
//! names the failure that it guards against.

mod calendar;
mod cancelled;
mod delegates;
mod evictions;
mod failures;
mod fixtures;
mod images;
mod late_transactions;
mod launches;
mod leases;
mod limits;
mod machines;
mod placement;
mod plans;
mod random_faults;
mod reports;
mod reserve;
mod scheduling_cycles;
mod starvation_guard;
mod takeovers;
mod writes;
mod zones;

use std::rc::Rc;

use umbersail_policy::TeamLimits;
use umbersail_tuning::Tuning;
use umbersail_wire::{
    Change, Command, ExitCause, Heartbeat, JobKind, JobSpec, ListedMachine, MachineState,
    MachineType, Priority, TaskReport, TaskState,
};

use super::*;
use crate::records::{
    GRANT_PARTS, GrantPart, GrantedMachine, RECOVERY_PENDING_KEY, Record, job_key, progress_key,
};
use fixtures::*;
