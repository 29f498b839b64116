//! Every constant of the project, in one place, with its unit and the reason
//! for its value. Operators override them in a Java-style properties file:
//!
//! ```properties
//! leader.ttl_s = 5
//! rental.idle_s = 90
//! ```
//!
//! Keys under [`PLAN_PREFIXES`] are entries of plans, handed on as they stand to the
//! packages that understand them.
#![deny(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]

use std::collections::BTreeMap;
use std::io::Read;

use thiserror::Error;

/// What keys of plans' entries begin with, each followed by the entry's name and a
/// field: `calendar.rebuild.team`. A constant may begin so, too, with one dot.
pub const PLAN_PREFIXES: [&str; 2] = ["calendar.", "reserve."];

fn is_plan_entry(key: &str) -> bool {
    PLAN_PREFIXES.iter().any(|p| key.starts_with(p)) && key.matches('.').count() >= 2
}

/// A properties file that can't be used.
#[derive(Debug, Error, PartialEq)]
pub enum TuningError {
    /// The file is not a properties file.
    #[error("{0}")]
    Syntax(String),
    /// A key is not known.
    #[error("key '{0}' is unknown")]
    UnknownKey(String),
    /// A value is out of its range.
    #[error("key '{key}': '{value}' must be a number from {least} to {most} ({unit})")]
    Range {
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// The least valid value.
        least: f64,
        /// The greatest valid value.
        most: f64,
        /// The unit of the value.
        unit: &'static str,
    },
    /// A key stands twice.
    #[error("key '{0}' stands twice")]
    Twice(String),
}

/// What an operator may want to know of one constant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Constant {
    /// Its key in the file.
    pub key: &'static str,
    /// The default value.
    pub default: f64,
    /// The least valid value.
    pub least: f64,
    /// The greatest valid value.
    pub most: f64,
    /// The unit.
    pub unit: &'static str,
    /// Why it has this default.
    pub reason: &'static str,
}

macro_rules! constants {
    ($($field:ident, $key:literal, $default:literal, $least:literal ..= $most:literal, $unit:literal, $reason:literal;)*) => {
        /// The constants in force.
        #[derive(Debug, Clone, PartialEq)]
        pub struct Tuning {
            $(#[doc = $reason] pub $field: f64,)*
            /// Operators' entries for plans, by key, not yet looked into.
            pub plan_entries: BTreeMap<String, String>,
        }

        /// All constants with their defaults, bounds, units and reasons.
        pub const CONSTANTS: &[Constant] = &[
            $(Constant { key: $key, default: $default, least: $least, most: $most, unit: $unit, reason: $reason },)*
        ];

        impl Default for Tuning {
            fn default() -> Self {
                Tuning { $($field: $default,)* plan_entries: BTreeMap::new() }
            }
        }

        impl Tuning {
            fn slot(&mut self, key: &str) -> Option<&mut f64> {
                match key {
                    $($key => Some(&mut self.$field),)*
                    _ => None,
                }
            }
        }
    };
}

constants! {
    leader_ttl_s, "leader.ttl_s", 3.5, 0.5..=60.0, "s",
        "State lease of the leader: take-over waits for it, a process short of processor time must still renew it";
    leader_renew_s, "leader.renew_s", 0.9, 0.1..=20.0, "s",
        "Renewal interval: three tries within the lease";
    leader_watch_timeout_s, "standby.attend_s", 5.0, 0.5..=50.0, "s",
        "A follower keeps a question open at the leader for this long: it ends with the leader's process, and costs a packet each way";
    leader_hello_interval_s, "standby.greet_s", 0.5, 0.1..=30.0, "s",
        "Followers greet the leader this often: a leader that stands still closes no connection";
    standby_rank_delay_s, "standby.rank_s", 0.4, 0.0..=10.0, "s",
        "Followers other than the one named by the leader hold back this long, one after the other, before they ask and replace it";
    leader_answer_timeout_s, "standby.answer_s", 0.5, 0.1..=10.0, "s",
        "A leader that closed its connections has this long to answer through the state service: two answers of it take some 20 ms, at times a few hundred";
    silent_leader_answer_timeout_s, "standby.silent_answer_s", 2.0, 0.1..=10.0, "s",
        "The same for a leader that gave no answer in time: it may only be busy";
    leader_answer_slack_s, "standby.answer_slack_s", 0.4, 0.0..=10.0, "s",
        "A question whose round takes longer than that and this proves nothing: the state service is slow, or we stood still";
    suspicion_cleared_s, "standby.cleared_s", 5.0, 0.0..=600.0, "s",
        "A leader that answered by the state service is not asked again for this long: connections between controllers are refused";
    election_settle_s, "standby.settle_s", 6.0, 0.0..=600.0, "s",
        "Silence this soon after an election is not held against a leader: a take-over is its busiest time";
    state_loss_hand_over_s, "standby.refused_s", 1.2, 0.2..=60.0, "s",
        "A leader without an answer of the state service for this long, while a peer had one, wants that peer to lead";
    degraded_mode_after_s, "outage.open_after_s", 0.5, 0.1..=60.0, "s",
        "Without an answer of the state service for this long a leader with waiting work asks its peers to agree that it starts without a record";
    degraded_mode_max_s, "outage.open_s", 20.0, 0.0..=600.0, "s",
        "A leader starts tasks without a record for this long after its last renewal at most, the design's lease of a block; 0: never";
    degraded_mode_catch_up_max_s, "outage.catch_up_s", 10.0, 0.0..=600.0, "s",
        "After an outage starts go on without a record for this long at most, until the records of what was started and has ended in it are written";
    write_share_leader, "state.write_share_leader", 0.65, 0.05..=1.0, "share",
        "Share of the state service's changes that the leader uses: a job is accepted by one change of a follower, and takes several of the leader's";
    hand_over_lag_s, "standby.hand_over_lag_s", 0.6, 0.05..=60.0, "s",
        "A leader whose timers fire this late on average hands over to a follower that computes in time";
    hand_over_after_s, "standby.hand_over_after_s", 20.0, 0.0..=3600.0, "s",
        "No hand-over this soon after an election, so that the lead comes to rest";
    clock_drift, "clock.drift", 0.001, 0.0..=0.05, "share",
        "Twice the bound of 0.05% by which steady clocks may differ, for two clocks that drift apart";
    lease_expiry_margin_s, "clock.lapse_margin_s", 0.5, 0.0..=10.0, "s",
        "Added to every reckoning by clock: timers fire in steps and a process may be starved";
    delegation_margin_s, "leader.keep_margin_s", 4.0, 0.0..=60.0, "s",
        "A holder cut off from the state service keeps tasks alive for cancel_s less lease_s less this, so that a cancellation told elsewhere is still kept";
    watch_timeout_s, "state.watch_hold_s", 10.0, 1.0..=60.0, "s",
        "A watch is opened anew this often: each opening counts as a request";
    state_timeout_s, "state.timeout_s", 1.2, 0.1..=10.0, "s",
        "Answers take under 10 ms, at times a few hundred; a user waits 2 s for a poll";
    cloud_timeout_s, "cloud.timeout_s", 5.0, 0.5..=60.0, "s",
        "The cloud answers in a few hundred milliseconds";
    state_share_leader, "state.share_leader", 0.5, 0.05..=1.0, "share",
        "Share of the state service's limits that the leader uses; followers split the rest";
    cloud_share, "cloud.share", 0.85, 0.05..=1.0, "share",
        "Share of the cloud's request limit that the leader uses; a starting node reads the catalogue with the rest";
    list_interval_s, "cloud.list_interval_s", 2.0, 0.2..=60.0, "s",
        "The list lags by seconds anyway; it is what shows failed machines";
    catalogue_interval_s, "cloud.catalogue_interval_s", 30.0, 1.0..=3600.0, "s",
        "Spot prices move slowly";
    rent_interval_s, "rental.interval_s", 1.0, 0.1..=60.0, "s",
        "How often rental is reconsidered: well below any boot time";
    cycle_interval_s, "schedule.interval_s", 0.05, 0.0..=5.0, "s",
        "Scheduling cycles are at least this far apart, so that a burst of reports costs one cycle";
    slice_s, "schedule.slice_s", 0.05, 0.001..=5.0, "s",
        "A cycle is cut short after the processor time that the controller's share gives in this long: reports, renewals and users come first, then it goes on";
    slice_pause_s, "schedule.slice_pause_s", 0.01, 0.0..=5.0, "s",
        "Between two slices of a cycle, for what came in meanwhile";
    step_ns, "schedule.step_ns", 20.0, 1.0..=10000.0, "ns",
        "What a step of a cycle takes on a whole core: about one look at one machine, measured by the bench of scheduling cycles";
    order_reuse_s, "schedule.order_keep_s", 0.2, 0.0..=5.0, "s",
        "The order of waiting jobs serves further cycles for this long unless a job begins to wait: slack shrinks for all of them alike";
    launch_wait_s, "schedule.launch_hold_s", 0.3, 0.0..=3.0, "s",
        "The reply to a report waits this long at most for a launch that is being planned or recorded: a cycle and a write take less; the worker gives up after 4 s";
    heartbeat_request_after_s, "schedule.nudge_s", 0.6, 0.1..=60.0, "s",
        "A machine with a launch ready is made to report if its next report is further off than this: a worker reports half a second after the last one at the earliest";
    usable_cpu_share, "schedule.pool_share", 0.85, 0.1..=2.0, "share",
        "Share of the machines' CPUs reckoned with when jobs are chosen that can end in time: the rest goes to image fetches, places left over and what comes meanwhile";
    starvation_wait_s, "floor.near_s", 120.0, 0.0..=3600.0, "s",
        "A job of which nothing has begun for this long goes first in its tier with one task, and a place is kept for it: users expect a start within 240 s, a place large enough may take a minute to fall free, and a machine that is lost meanwhile a lease";
    starvation_cpu_share, "floor.share", 0.3, 0.0..=1.0, "share",
        "Share of the CPUs of each machine type that may be kept free for such jobs at once, and of the machines for which those served too little go before others";
    underserved_share_below, "floor.served", 0.0, 0.0..=1.0, "share",
        "A class, a team or the largest of a class of which less than this was served in time goes first where it still can be in time. 0, never: tried at 0.6, the places kept for it cost upper tiers their starts and won the largest nothing";
    service_window_jobs, "floor.window_jobs", 40.0, 4.0..=1000.0, "jobs",
        "Jobs of a class or team by which that is judged: its largest tenth must be a few";
    service_min_jobs, "floor.least_jobs", 4.0, 1.0..=1000.0, "jobs",
        "With fewer such jobs known a share says little";
    tick_s, "schedule.tick_s", 0.5, 0.05..=10.0, "s",
        "Duties without an event of their own (lapse, notices, back-off) are looked at this often";
    task_end_write_delay_s, "records.write_delay_s", 0.8, 0.0..=5.0, "s",
        "Ends of tasks are gathered this long into one transaction; launches and ends of jobs go at once, and a result stays with its worker until its end is recorded";
    job_end_write_deadline_s, "records.end_patience_s", 1.5, 0.0..=10.0, "s",
        "Users expect `done` within 3 s of a job's end: until half of that has passed, launches are written before it";
    max_deferred_progress_removals, "records.cleared_most", 500.0, 0.0..=100000.0, "jobs",
        "Ended jobs whose progress is removed in a quiet moment; beyond these it goes with the end, so that the list stays small";
    machines_per_grant_record, "records.grant_part_machines", 64.0, 1.0..=250.0, "machines",
        "The grant's record is kept in parts of this many, about 8 KiB: below the state service's bound on a value, and little is written for one new machine";
    max_missed_heartbeats, "machines.silent_reports", 3.0, 1.0..=100.0, "reports",
        "A machine that missed this many reports gets no new tasks";
    silent_machine_delete_s, "machines.vanish_s", 90.0, 5.0..=3600.0, "s",
        "A silent machine is deleted after this long: its tasks are lapsed long before, a dead one is listed as failed after about 30 s";
    unreachable_signs, "machines.deaf_signs", 2.0, 1.0..=100.0, "signs",
        "A machine that showed so often that an answer did not reach it gets no new tasks: one reply may be lost anywhere";
    unreachable_min_gap_s, "machines.deaf_gap_s", 0.5, 0.0..=60.0, "s",
        "A report that comes sooner after our answer is no sign: workers that lose an answer wait for 1 to 5 s, and a queue that comes at once after a freeze was sent before it";
    unreachable_sign_ttl_s, "machines.deaf_fade_s", 60.0, 1.0..=3600.0, "s",
        "A sign counts for this long: two replies lost a minute apart have nothing to do with each other";
    unreachable_delete_s, "machines.deaf_delete_s", 45.0, 1.0..=3600.0, "s",
        "A machine that stays unreachable is deleted after this long: about a boot, so what replaces it is up by then, and most cuts are over";
    max_deleted_machine_names, "machines.gone_names", 16384.0, 16.0..=100000.0, "names",
        "Deleted machines whose late reports and list entries are known as such: a fleet of 4,000 machines replaced four times, 800 KiB";
    boot_timeout_factor, "machines.boot_patience", 3.0, 1.1..=20.0, "times startup_s",
        "Boots take up to 1.5 times startup_s, a few several times as long, some never end";
    boot_timeout_margin_s, "machines.boot_patience_s", 10.0, 0.0..=600.0, "s",
        "Added to the bound above, for types that start in a second or two";
    quarantine_errors, "faults.quarantine_errors", 3.0, 1.0..=100.0, "errors",
        "Errors in a row on a machine, of at least two jobs, before it is quarantined";
    quarantine_hold_s, "faults.quarantine_hold_s", 4.0, 0.0..=60.0, "s",
        "Such a machine gets no tasks for this long before it is given back: a job that fails everywhere shows itself meanwhile and takes its word back";
    job_trial_s, "faults.job_trial_s", 5.0, 0.0..=600.0, "s",
        "A job held faulty goes on in full once one task has run this much longer than any that failed";
    job_fault_machines, "faults.job_machines", 3.0, 1.0..=100.0, "machines",
        "A job that failed on this many machines without any success is held faulty itself";
    job_backoff_s, "faults.job_backoff_s", 5.0, 0.1..=600.0, "s",
        "First pause of a job whose tasks fail; doubles each time";
    job_backoff_max_s, "faults.job_backoff_most_s", 120.0, 1.0..=3600.0, "s",
        "Longest such pause";
    refusal_backoff_s, "rental.refusal_backoff_s", 10.0, 0.5..=600.0, "s",
        "First pause after the cloud refused a type, zone and kind; doubles each time";
    refusal_backoff_max_s, "rental.refusal_backoff_most_s", 40.0, 1.0..=3600.0, "s",
        "Longest such pause: capacity comes back unannounced";
    idle_s, "rental.idle_s", 90.0, 0.0..=3600.0, "s",
        "An idle machine that classes with an aim on starting may want soon is returned after this long: a rental costs at least 60 s, a boot and the images that it lost";
    cold_idle_s, "rental.cold_idle_s", 40.0, 0.0..=3600.0, "s",
        "The same beyond what such classes may want: about what a boot and the images cost, since work with a deadline alone can wait for a boot";
    warm_headroom, "rental.warm_headroom", 4.0, 0.0..=100.0, "times",
        "Idle machines kept for longer for classes with an aim on starting, over their mean use";
    quiet_idle_s, "rental.quiet_idle_s", 15.0, 0.0..=3600.0, "s",
        "The same for a type while every class that fits it has been silent for some 20 of its usual gaps between jobs: nothing seems to come";
    headroom, "rental.headroom", 1.3, 0.5..=10.0, "times",
        "Machines kept for classes with an aim on starting, over their mean use";
    load_window_s, "rental.load_window_s", 120.0, 5.0..=3600.0, "s",
        "Time constant of the mean use: several jobs of a class, yet shorter than its swings";
    queueing_slack_share, "rental.turns_share", 0.7, 0.0..=10.0, "share",
        "Share of its slack that work without an aim on starting may wait for a place on machines in use before ordinary ones are rented for it";
    ordinary_share, "rental.ordinary_share", 0.25, 0.0..=1000.0, "share",
        "Ordinary machines beside spot ones for work that may use either and can wait: they cost some 2.7 times as much, so these raise the mean price by a third";
    max_late_turns, "rental.late_turns", 2.0, 0.0..=10.0, "turns",
        "Turns of the machines in use that work waits for which would be late even on a machine rented now";
    ordinary_cost, "place.ordinary_cost", 2.0, 0.0..=1000.0, "s",
        "Cost of putting a task that may use spot machines on an ordinary one: those are to fall idle first, they cost several times as much";
    image_weight_s, "place.image_weight", 1.0, 0.0..=100.0, "per second of fetch",
        "Cost of fetching an image on placement, against the terms below";
    image_wait_s, "place.image_wait_s", 1.0, 0.0..=60.0, "s",
        "Work with an aim on starting that a fetch would make late waits for a place where its image is until this long before it is late: a launch and the start take about 1 s";
    image_places, "place.image_places", 0.3, 0.0..=1000.0, "machines per task",
        "Machines with the image that make such a wait worthwhile";
    oversize_cost, "place.oversize_cost", 5.0, 0.0..=1000.0, "s",
        "Cost of putting a task on a larger type than the smallest that takes it: large machines are kept whole for large tasks";
    max_eviction_sets, "evict.sets", 16.0, 1.0..=1000.0, "sets",
        "Candidate sets grown greedily; the paper builds all, which has no bound";
    max_evictions_per_task, "evict.loser_limit", 3.0, 1.0..=100.0, "evictions per task",
        "A job that has lost tasks this often for each of its tasks is no candidate any more: else the one that just restarted is always the cheapest";
    max_errors_of_evicting_job, "evict.errors_limit", 2.0, 0.0..=100.0, "errors",
        "A job whose tasks failed this often without success may not evict: it would do so for ever";
    evict_deadline_work, "evict.deadline_work", 0.0, 0.0..=1.0, "0 or 1",
        "1: jobs with deadlines may be evicted by upper tiers too; the design's default is not";
    reclaim_deadline_work, "evict.reclaim_deadline_work", 0.0, 0.0..=1.0, "0 or 1",
        "1: work beyond a guarantee may be stopped for another team's guarantee whatever its deadline";
    min_eviction_price_s, "evict.min_price_s", 10.0, 0.0..=600.0, "s per task",
        "Floor of a task's price: a start costs an image fetch and a report round even if no work is lost";
    peer_interval_s, "peers.interval_s", 1.0, 0.1..=30.0, "s",
        "Peers say hello this often";
    peer_timeout_s, "peers.timeout_s", 0.8, 0.1..=10.0, "s",
        "A peer's answer within this counts as fresh";
    state_probe_interval_s, "health.probe_s", 0.8, 0.1..=30.0, "s",
        "A node that asked the state service nothing for this long asks something small: three tries before it holds itself blind";
    job_progress_max_age_s, "peers.heard_fresh_s", 2.5, 0.1..=3.0, "s",
        "The counts of a poll may lag by 3 s: an older word of the leader on a job is not shown";
    max_progress_jobs, "peers.progress_most", 500.0, 0.0..=100000.0, "jobs",
        "Jobs told of in one hello; others are read when they are asked for";
    relay_timeout_s, "peers.relay_timeout_s", 2.0, 0.1..=10.0, "s",
        "A report handed on to the leader is given up after this: the worker waits 4 s";
    relay_detect_s, "peers.relay_again_s", 9.0, 0.5..=60.0, "s",
        "A worker that is back this soon after it was directed can't reach the leader: it tries for up to 4 s, then the next node 1 s later, and there may be two to try";
    relay_duration_s, "peers.relay_s", 20.0, 1.0..=600.0, "s",
        "Its reports are handed on this long, then it is directed to the leader again";
    state_lost_after_s, "health.blind_s", 2.5, 0.5..=60.0, "s",
        "Without an answer of the state service for this long a node counts itself blind";
    state_unreachable_after_s, "state.silent_s", 1.5, 0.2..=60.0, "s",
        "A state service that has not even refused anything for this long can't be reached: users are refused at once, not after its timeout";
    isolated_after_s, "peers.isolated_s", 3.0, 0.5..=60.0, "s",
        "Without a word of the state service and of any peer for this long a node counts itself isolated: by then a peer has missed three answers of ours and sends us no workers";
    balancer_contact_max_age_s, "peers.outside_s", 2.5, 0.5..=60.0, "s",
        "The balancer asks about once a second: heard of within this, our zone is not cut off, and our workers reach other nodes";
    retry_after_s, "front.retry_after_s", 1.0, 1.0..=30.0, "s",
        "Told to users whose request can't be taken now";
    front_total_share, "front.total_share", 0.82, 0.2..=0.95, "share of sockets",
        "All connections to the front door, as far as the other bounds leave them; one for each machine is kept for workers, so that none is refused for a user";
    fence_per_s, "workers.fence_per_s", 100.0, 1.0..=10000.0, "machines/s",
        "Machines that a new leader brings its token to directly; the others learn it in answers to their reports";
    fence_interval_s, "workers.fence_round_s", 0.5, 0.05..=5.0, "s",
        "Between two rounds of that";
    zone_proxy, "workers.zone_proxy", 1.0, 0.0..=1.0, "0 or 1",
        "1: workers of a zone other than the leader's report to a controller of their own zone, which hands on and, while the leader can't be reached, keeps their tasks alive";
    front_users_least_share, "front.users_least_share", 0.2, 0.05..=0.9, "share of sockets",
        "Left to users however many machines there are";
    outgoing_share, "workers.outgoing_share", 0.05, 0.01..=0.3, "share of sockets",
        "Connections to workers, idle ones included: with one kept for each of hundreds of workers the front door would run out";
    peer_connections, "peers.connections", 24.0, 2.0..=10000.0, "connections",
        "From one controller to another at the least; one for each 50 sockets where that is more: reports of a zone are handed on, each waiting for some 0.1 s";
    idle_connection_s, "front.idle_connection_s", 60.0, 1.0..=3600.0, "s",
        "Users poll every 5 s and workers report every few; a connection silent for longer is abandoned";
    receive_s, "front.receive_s", 10.0, 0.5..=120.0, "s",
        "From the first to the last byte of a request";
    max_body_bytes, "front.max_body_bytes", 65536.0, 1024.0..=65536.0, "bytes",
        "The protocol's limit";
    max_ended_jobs, "front.terminal_cache", 16384.0, 0.0..=100000.0, "jobs",
        "Ends of jobs kept in memory, some 100 bytes each: for repeated polls, and as what a controller remembers to have told while the state service is out";
    status_log_interval_s, "log.status_s", 15.0, 1.0..=3600.0, "s",
        "The leader logs one line on machines and waiting work this often";
    long_wait_log_s, "log.long_wait_s", 60.0, 1.0..=3600.0, "s",
        "A job waiting this long is logged with the reason, and again each time it doubles";
    max_classes, "learn.classes", 64.0, 1.0..=10000.0, "classes",
        "Classes whose run times and load are remembered";
    load_window_jobs, "learn.window_jobs", 20.0, 1.0..=1000.0, "jobs",
        "Jobs that a class's window of load holds: enough for a mean; a class silent for as long seems to have ended";
    load_window_min_s, "learn.window_least_s", 30.0, 1.0..=3600.0, "s",
        "No window is shorter: work runs about that long, and an outage of the state service holds jobs back";
    peer_to_peer_images, "images.hand_on", 0.0, 0.0..=1.0, "0 or 1",
        "1: launches name machines that hand the image on, for workers that can fetch from each other; others fetch from the store as ever";
    peer_to_peer_pieces, "images.pieces", 1.0, 0.0..=1.0, "0 or 1",
        "1: workers hand on pieces of what they are still fetching, so that all begin at once; 0: whole images only, so that the rollout is staged";
    image_sources_per_fetch, "images.sources", 4.0, 1.0..=32.0, "machines",
        "Holders that one fetch is told of: one that is slow or dies leaves three";
    image_uploads_per_machine, "images.load", 5.0, 1.0..=64.0, "fetches",
        "Fetches that one machine is told to give to: more than the holders of a fetch, or nobody would be left for the next; each step more costs a share of the rate";
    initial_store_fetches, "images.first", 6.0, 1.0..=1000.0, "fetches",
        "Fetches from the store at once where machines hand on, until it is known what each gives: some in every zone, and few beside a thousand";
    image_min_fetch_s, "images.least_s", 15.0, 0.0..=3600.0, "s",
        "Images that a machine fetches faster than that are left alone: the round of reports takes as long";
    slow_fetch_factor, "images.slowed", 2.5, 1.1..=100.0, "times",
        "A fetch that takes this much longer than its type's rate was slowed by others: by themselves fetches differ by a third";
    fetch_turn_timeout_s, "images.stale_s", 10.0, 1.0..=600.0, "s",
        "A machine that waits to fetch and is not heard of for this long loses its turn";
    max_tracked_images, "images.most", 64.0, 1.0..=10000.0, "images",
        "Images whose holders are remembered; one that nobody fetches goes first";
    max_plan_records, "plans.records", 256.0, 1.0..=10000.0, "records",
        "Recorded plans at most: a successor reads all of them before it starts anything";
    plan_write_deadline_s, "plans.patience_s", 2.0, 0.0..=60.0, "s",
        "A plan's record gives way to launches and ends for so long, then it takes a place in the next transaction: a rental waits for it";
    calendar_write_delay_s, "calendar.write_s", 1.0, 0.0..=600.0, "s",
        "How many jobs of a step have come is recorded this long after one came: those that come together cost one record";
    calendar_refresh_s, "calendar.look_s", 1.0, 0.1..=60.0, "s",
        "Runs are looked at this often, and as jobs come and end: a record is not waited for longer";
    calendar_failing_grace_s, "calendar.mistaken_s", 60.0, 0.0..=86400.0, "s",
        "A job that has failed wherever it ran for this long is no longer waited for by the next step: its user cancels it after a minute or two";
    calendar_retention_s, "calendar.renewal_s", 86400.0, 0.0..=2678400.0, "s",
        "A run is given up so long after its due time, and one whose entry has gone is forgotten then";
    max_calendar_runs, "calendar.runs", 4.0, 1.0..=100.0, "runs",
        "Runs of one entry that are under way at once: one more, and the oldest is given up";
    max_calendar_job_names, "calendar.names", 200.0, 0.0..=10000.0, "jobs",
        "Names of unfinished jobs in a run's record, some 2 KB: a successor counts no job twice";
    max_reservations, "reserve.entries", 32.0, 1.0..=32.0, "entries",
        "Reservations in the properties file: each has two of the 64 bits by which machines are kept";
    max_reservation_machines, "reserve.machines", 1000.0, 1.0..=1500.0, "machines",
        "Machines of one reservation: its record names them all, 15 KiB of the 32 that a value may have";
    reserve_interval_s, "reserve.interval_s", 1.0, 0.1..=60.0, "s",
        "How often reservations are reconsidered: as often as rental";
    reserve_settings_delay_s, "reserve.withdraw_s", 45.0, 0.0..=3600.0, "s",
        "Entries changed or gone in the file are heeded this long after an election: in a roll two files are about, and what one leader gives up the next would rent anew";
    reserve_lead_margin_s, "reserve.margin_s", 30.0, 0.0..=3600.0, "s",
        "Added to the time by which renting begins before a window: records, requests of 50 machines each, refusals";
    reserve_max_lead_s, "reserve.lead_most_s", 1800.0, 0.0..=86400.0, "s",
        "Renting begins this long before a window at the earliest, however slow the boots and whatever was refused";
    reserve_boot_quantile, "reserve.boot_share", 0.95, 0.5..=1.0, "share",
        "Share of boots that the lead reckons with; the rest is what a replacement is for";
    reserve_silent_after_s, "reserve.out_s", 15.0, 1.0..=600.0, "s",
        "A silent machine counts as not there after this long: a zone's cut or a hanging machine is often over sooner, and a machine costs at least 60 s";
    reserve_adopt_after_s, "reserve.adopt_idle_s", 10.0, 0.0..=600.0, "s",
        "Machines that nobody holds are taken for a reservation once they were idle for this long";
    max_reservation_requests, "reserve.requests", 8.0, 1.0..=100.0, "requests",
        "Rental requests of one reservation without an answer at once: 400 machines";
    reservation_requests_per_round, "reserve.asks", 3.0, 1.0..=20.0, "requests",
        "Rental requests of reservations sent in one round: the cloud takes some 5 a second, lists and deletions among them";
    reserve_borrow_after_s, "reserve.floor_s", 200.0, 0.0..=3600.0, "s",
        "What has waited for this long may borrow an idle reserved machine unless the entry says nobody: it is to begin within four minutes";
    reserve_guarantee_wait_s, "reserve.guarantee_wait_s", 20.0, 0.0..=3600.0, "s",
        "What is within another team's guarantee may borrow after this long, whatever the entry says: guarantees hold, and a machine rented for it is up later";
    reserve_placement_gain_s, "reserve.prefer_s", 30.0, 0.0..=600.0, "s",
        "Gain of putting own work on a reserved machine, and cost of lending one while another will do: above any fetch but the largest";
    max_boot_samples, "reserve.boots", 64.0, 1.0..=1000.0, "boots",
        "Boots remembered by type: the slowest of twenty shows";
    learn_weight, "learn.weight", 0.15, 0.01..=1.0, "share",
        "Weight of the newest run time in a class's mean ratio to the owner's estimate";
}

impl Tuning {
    /// How long a holder that lost the state service keeps answering, and a
    /// peer in its stead. With the workers' lease on top it stays under the time
    /// that a cancellation told by another node may take.
    pub fn renewal_s(&self, cancel_s: f64, lease_s: f64) -> f64 {
        (cancel_s - lease_s - self.delegation_margin_s).max(1.0)
    }

    /// Whether plans may be recorded under these settings.
    pub fn has_plans(&self) -> bool {
        !self.plan_entries.is_empty() || self.peer_to_peer_images >= 0.5
    }

    /// Reads a properties file over the defaults.
    ///
    /// # Errors
    /// If it is no properties file, or a key is unknown, stands twice or has a value out of
    /// its range.
    pub fn from_properties(input: impl Read) -> Result<Tuning, TuningError> {
        let mut pairs: BTreeMap<String, String> = BTreeMap::new();
        let mut twice = None;
        java_properties::PropertiesIter::new(input)
            .read_into(|key, value| {
                if pairs.insert(key.clone(), value).is_some() {
                    twice = Some(key);
                }
            })
            .map_err(|e| TuningError::Syntax(e.to_string()))?;
        if let Some(key) = twice {
            return Err(TuningError::Twice(key));
        }
        let mut tuning = Tuning::default();
        for (key, value) in pairs {
            if is_plan_entry(&key) {
                tuning.plan_entries.insert(key, value);
                continue;
            }
            let Some(constant) = CONSTANTS.iter().find(|c| c.key == key) else {
                return Err(TuningError::UnknownKey(key));
            };
            match (tuning.slot(&key), value.trim().parse::<f64>()) {
                (Some(slot), Ok(number)) if number >= constant.least && number <= constant.most => {
                    *slot = number;
                }
                _ => {
                    return Err(TuningError::Range {
                        key,
                        value,
                        least: constant.least,
                        most: constant.most,
                        unit: constant.unit,
                    });
                }
            }
        }
        Ok(tuning)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn properties_override_defaults_and_errors_name_the_key() {
        let ok = Tuning::from_properties("# note\nleader.ttl_s = 5\n".as_bytes()).unwrap();
        assert_eq!(ok.leader_ttl_s, 5.0);
        let unknown = Tuning::from_properties("leader.tll_s = 5\n".as_bytes());
        assert_eq!(unknown, Err(TuningError::UnknownKey("leader.tll_s".into())));
        for bad in [
            "leader.ttl_s = soon",
            "leader.ttl_s = 0",
            "leader.ttl_s = NaN",
        ] {
            let error = Tuning::from_properties(bad.as_bytes()).unwrap_err();
            assert!(error.to_string().contains("'leader.ttl_s'"), "{error}");
        }
        let twice = Tuning::from_properties("clock.drift=0\nclock.drift=0\n".as_bytes());
        assert_eq!(twice, Err(TuningError::Twice("clock.drift".into())));
        let entry = Tuning::from_properties("calendar.rebuild.team = t\n".as_bytes()).unwrap();
        assert_eq!(entry.plan_entries["calendar.rebuild.team"], "t");
        let unknown = Tuning::from_properties("calendar.rebuild = t\n".as_bytes());
        assert!(matches!(unknown, Err(TuningError::UnknownKey(_))));
    }

    #[test]
    fn every_default_lies_within_its_bounds_and_has_a_reason() {
        for c in CONSTANTS {
            assert!(c.default >= c.least && c.default <= c.most, "{}", c.key);
            assert!(c.reason.len() > 10 && !c.unit.is_empty(), "{}", c.key);
        }
    }
}
