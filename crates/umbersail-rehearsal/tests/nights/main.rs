//! Whole nights with real controllers: of all kinds, and one file for each meeting of
//! two troubles.

mod harness;
mod held_commands;
mod old_reports;
mod unreachable;
mod whole;
