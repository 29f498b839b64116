//! Whole nights with real controllers: of all kinds, and one file for each meeting of
//! two troubles.

mod all_away;
mod bad_submissions;
mod cancel_now;
mod cancellations_during_elections;
mod close_looks;
mod gap;
mod hand_overs;
mod harness;
mod held_commands;
mod last_task;
mod late_writes;
mod leader_cut;
mod lost_answers;
mod many_leaders;
mod mute_machines;
mod old_reports;
mod one_task_jobs;
mod overload;
mod pairs;
mod quick_machines;
mod repeated_commands;
mod reports_for_successors;
mod small_arrays;
mod sweep;
mod teams_at_limits;
mod unreachable;
mod whole;
mod zones;
