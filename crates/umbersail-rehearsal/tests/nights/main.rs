//! Whole nights with real controllers: of all kinds, and one file for each meeting of
//! two troubles.

mod gap;
mod hand_overs;
mod harness;
mod held_commands;
mod late_writes;
mod leader_cut;
mod old_reports;
mod one_task_jobs;
mod overload;
mod pairs;
mod quick_machines;
mod small_arrays;
mod unreachable;
mod whole;
