//! Every tunable constant of the project, with its default, bounds, unit and the reason for
//! its default. Operators override constants in a Java-style properties file:
//!
//! ```properties
//! leader.ttl_s = 5
//! rental.idle_s = 90
//! ```
//!
//! Keys under [`PLAN_PREFIXES`] are entries of plans. This package passes them unparsed to
//! the packages that implement the plans.
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

/// Prefixes of the keys of plan entries. The entry's name and a field follow, as in
/// `calendar.rebuild.team`. The key of a constant may have the same prefix but contains only
/// one dot.
pub const PLAN_PREFIXES: [&str; 2] = ["calendar.", "reserve."];

fn is_plan_entry(key: &str) -> bool {
    PLAN_PREFIXES.iter().any(|p| key.starts_with(p)) && key.matches('.').count() >= 2
}

/// Why a properties file was rejected.
#[derive(Debug, Error, PartialEq)]
pub enum TuningError {
    /// The file is not a properties file.
    #[error("the properties file cannot be read: {0}")]
    Syntax(String),
    /// No constant has this key.
    #[error("key '{0}' is unknown")]
    UnknownKey(String),
    /// A value is out of its range.
    #[error("key '{key}': '{value}' must be a number from {min} to {max} ({unit})")]
    Range {
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// The smallest valid value.
        min: f64,
        /// The largest valid value.
        max: f64,
        /// The unit of the value.
        unit: &'static str,
    },
    /// A key occurs more than once.
    #[error("key '{0}' occurs more than once")]
    DuplicateKey(String),
}

/// One constant as an operator sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Constant {
    /// The constant's key in the properties file.
    pub key: &'static str,
    /// The default value.
    pub default: f64,
    /// The smallest valid value.
    pub min: f64,
    /// The largest valid value.
    pub max: f64,
    /// The unit of the value.
    pub unit: &'static str,
    /// What the constant sets, and the reason for its default.
    pub reason: &'static str,
}

macro_rules! constants {
    ($($field:ident, $key:literal, $default:literal, $min:literal ..= $max:literal, $unit:literal, $reason:literal;)*) => {
        /// The values of all constants, as configured.
        #[derive(Debug, Clone, PartialEq)]
        pub struct Tuning {
            $(#[doc = $reason] pub $field: f64,)*
            /// The operator's entries for plans by key, not parsed yet.
            pub plan_entries: BTreeMap<String, String>,
        }

        /// All constants with defaults, bounds, units and reasons.
        pub const CONSTANTS: &[Constant] = &[
            $(Constant { key: $key, default: $default, min: $min, max: $max, unit: $unit, reason: $reason },)*
        ];

        impl Default for Tuning {
            fn default() -> Self {
                Tuning { $($field: $default,)* plan_entries: BTreeMap::new() }
            }
        }

        impl Tuning {
            fn value_mut(&mut self, key: &str) -> Option<&mut f64> {
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
        "Duration of the leader's lease in the state service: a failover waits for its expiry, yet a process that is short of processor time must still be able to renew the lease";
    leader_renew_s, "leader.renew_s", 0.9, 0.1..=20.0, "s",
        "Interval at which the leader renews its lease: allows three attempts within the duration of the lease";
    leader_watch_timeout_s, "standby.attend_s", 5.0, 0.5..=50.0, "s",
        "How long a follower keeps a request open at the leader: the connection ends together with the leader's process, and each request costs one packet in each direction";
    leader_hello_interval_s, "standby.greet_s", 0.5, 0.1..=30.0, "s",
        "Interval of the followers' hello messages to the leader: they detect a leader whose process is frozen and therefore closes no connection";
    standby_rank_delay_s, "standby.rank_s", 0.4, 0.0..=10.0, "s",
        "Delay per rank before a follower that the leader has not named as its successor checks the leader and replaces it: followers try one after the other";
    leader_answer_timeout_s, "standby.answer_s", 0.5, 0.1..=10.0, "s",
        "How long a leader that closed its connections has to answer through the state service: its two requests there take about 20 ms, occasionally a few hundred";
    silent_leader_answer_timeout_s, "standby.silent_answer_s", 2.0, 0.1..=10.0, "s",
        "How long a leader that did not answer a hello message in time has to answer through the state service: more than standby.answer_s, because it may only be busy";
    leader_answer_slack_s, "standby.answer_slack_s", 0.4, 0.0..=10.0, "s",
        "A check of the leader that takes longer than its answer time plus this proves nothing: the state service is slow, or the checking process itself was paused";
    suspicion_cleared_s, "standby.cleared_s", 5.0, 0.0..=600.0, "s",
        "How long a leader that answered through the state service is not checked again: in this case the connections between controllers are refused although the leader works";
    election_settle_s, "standby.settle_s", 6.0, 0.0..=600.0, "s",
        "After an election, silence of the leader raises no suspicion for this long: a failover is the leader's busiest time";
    state_loss_hand_over_s, "standby.refused_s", 1.2, 0.2..=60.0, "s",
        "A leader that got no answer from the state service for this long, while a peer got one, hands over to that peer";
    degraded_mode_after_s, "outage.open_after_s", 0.5, 0.1..=60.0, "s",
        "A leader with waiting work that got no answer from the state service for this long asks its peers to agree to degraded mode: starting tasks without a record";
    degraded_mode_max_s, "outage.open_s", 20.0, 0.0..=600.0, "s",
        "Degraded mode ends at most this long after the leader last renewed its lease; the default is the lease of a block in the design, and 0 disables degraded mode";
    degraded_mode_catch_up_max_s, "outage.catch_up_s", 10.0, 0.0..=600.0, "s",
        "After an outage of the state service, tasks are started without a record for at most this long, until the records of tasks that were started and ended during the outage are written";
    write_share_leader, "state.write_share_leader", 0.65, 0.05..=1.0, "share",
        "Share of the state service's write limit that the leader uses: accepting a job takes one write of a follower, and afterwards several writes of the leader";
    hand_over_lag_s, "standby.hand_over_lag_s", 0.6, 0.05..=60.0, "s",
        "A leader whose timers fire this late on average hands over to a follower whose timers are on time";
    hand_over_after_s, "standby.hand_over_after_s", 20.0, 0.0..=3600.0, "s",
        "No hand-over happens this soon after an election, so that leadership does not change repeatedly";
    clock_drift, "clock.drift", 0.001, 0.0..=0.05, "share",
        "Twice the bound of 0.05% on the drift of a monotonic clock, because two clocks may drift in opposite directions";
    lease_expiry_margin_s, "clock.lapse_margin_s", 0.5, 0.0..=10.0, "s",
        "Margin added to every calculation that compares clocks: timers fire in steps, and a process may be starved of processor time";
    delegation_margin_s, "leader.keep_margin_s", 4.0, 0.0..=60.0, "s",
        "A leader that is cut off from the state service keeps tasks alive for cancel_s minus lease_s minus this margin, so that a cancellation that another controller accepted still takes effect within cancel_s";
    watch_timeout_s, "state.watch_hold_s", 10.0, 1.0..=60.0, "s",
        "Longest duration of a watch before it is opened again: each opening counts as a request";
    state_timeout_s, "state.timeout_s", 1.2, 0.1..=10.0, "s",
        "Timeout of requests to the state service: answers take less than 10 ms, occasionally a few hundred, and a user waits 2 s for the answer to a poll";
    cloud_timeout_s, "cloud.timeout_s", 5.0, 0.5..=60.0, "s",
        "Timeout of requests to the cloud, which answers within a few hundred milliseconds";
    state_share_leader, "state.share_leader", 0.5, 0.05..=1.0, "share",
        "Share of the state service's request limit that the leader uses; the followers divide the rest";
    cloud_share, "cloud.share", 0.85, 0.05..=1.0, "share",
        "Share of the cloud's request limit that the leader uses; a starting controller reads the catalogue with the rest";
    list_interval_s, "cloud.list_interval_s", 2.0, 0.2..=60.0, "s",
        "Interval at which the list of machines is read: the list lags by seconds in any case, and only the list shows failed machines";
    catalogue_interval_s, "cloud.catalogue_interval_s", 30.0, 1.0..=3600.0, "s",
        "Interval at which the catalogue of machine types is read: spot prices change slowly";
    rent_interval_s, "rental.interval_s", 1.0, 0.1..=60.0, "s",
        "Interval at which the rental of machines is recomputed: far shorter than any boot time";
    cycle_interval_s, "schedule.interval_s", 0.05, 0.0..=5.0, "s",
        "Minimum interval between scheduling cycles, so that a burst of heartbeats causes only one cycle";
    slice_s, "schedule.slice_s", 0.05, 0.001..=5.0, "s",
        "A scheduling cycle is interrupted after the processor time that the controller's CPU share provides in this long; heartbeats, renewals and users are served first, then the cycle continues";
    slice_pause_s, "schedule.slice_pause_s", 0.01, 0.0..=5.0, "s",
        "Pause between two slices of a scheduling cycle, for serving the requests that have arrived meanwhile";
    step_ns, "schedule.step_ns", 20.0, 1.0..=10000.0, "ns",
        "Duration of one step of a scheduling cycle on a whole core, roughly the check of one machine, as measured by the benchmark of scheduling cycles";
    order_reuse_s, "schedule.order_keep_s", 0.2, 0.0..=5.0, "s",
        "How long the order of the waiting jobs is reused by further cycles, unless another job starts to wait: the slack of all jobs shrinks equally";
    launch_wait_s, "schedule.launch_hold_s", 0.3, 0.0..=3.0, "s",
        "Longest delay of the reply to a heartbeat for a launch that is being planned or recorded: a cycle and a write take less time, and the worker gives up after 4 s";
    heartbeat_request_after_s, "schedule.nudge_s", 0.6, 0.1..=60.0, "s",
        "A machine with a launch ready is asked for a heartbeat if its next one is due later than this: a worker sends its next heartbeat half a second after the last one at the earliest";
    usable_cpu_share, "schedule.pool_share", 0.85, 0.1..=2.0, "share",
        "Share of the machines' CPUs that is assumed when choosing the jobs that can meet their deadlines: the rest is lost to image fetches and unusable remainders or is taken by jobs that arrive meanwhile";
    starvation_wait_s, "floor.near_s", 120.0, 0.0..=3600.0, "s",
        "Starvation guard: a job of which no task has started for this long goes first in its priority tier with one task, and a slot is reserved for it. Users expect a start within 240 s; freeing a large enough slot may take a minute, and losing a machine meanwhile costs the duration of a lease";
    starvation_cpu_share, "floor.share", 0.3, 0.0..=1.0, "share",
        "Maximum share of the CPUs of each machine type that may be reserved at once for jobs that the starvation guard covers, and of the machines for which jobs that floor.served covers go before others";
    underserved_share_below, "floor.served", 0.0, 0.0..=1.0, "share",
        "If less than this share of a class, of a team or of the largest jobs of a class met its objective, such jobs go first while they can still meet it. 0 disables the rule: at 0.6, the slots reserved for such jobs cost higher tiers their starts and did not help the largest jobs";
    service_window_jobs, "floor.window_jobs", 40.0, 4.0..=1000.0, "jobs",
        "Number of recent jobs of a class or team over which the share of floor.served is computed: the largest tenth of them must be several jobs";
    service_min_jobs, "floor.least_jobs", 4.0, 1.0..=1000.0, "jobs",
        "floor.served does not apply to a class or team of which fewer jobs are known: a share of so few jobs says little";
    tick_s, "schedule.tick_s", 0.5, 0.05..=10.0, "s",
        "Interval of the duties that no event triggers: lease expiry, reclaim notices and back-off";
    task_end_write_delay_s, "records.write_delay_s", 0.8, 0.0..=5.0, "s",
        "Ends of tasks are batched for this long into one transaction; launches and ends of jobs are written at once, and a worker keeps the result of a task until its end is recorded";
    job_end_write_deadline_s, "records.end_patience_s", 1.5, 0.0..=10.0, "s",
        "A job's end has priority over launches in the next write once it has waited this long: users expect `done` within 3 s of the end, and this is half of that time";
    max_deferred_progress_removals, "records.cleared_most", 500.0, 0.0..=100000.0, "jobs",
        "Maximum number of ended jobs whose progress records are deleted later, when few writes are due; beyond this number the progress is deleted together with the job's end, so that the list stays small";
    machines_per_grant_record, "records.grant_part_machines", 64.0, 1.0..=250.0, "machines",
        "Number of machines in each part of the grant's record, about 8 KiB: less than the state service's limit on a value, and a new machine causes only a small write";
    max_missed_heartbeats, "machines.silent_reports", 3.0, 1.0..=100.0, "reports",
        "A machine that missed this many heartbeats gets no new tasks";
    silent_machine_delete_s, "machines.vanish_s", 90.0, 5.0..=3600.0, "s",
        "A silent machine is deleted after this long: the leases of its tasks have expired long before, and the cloud lists a dead machine as failed after about 30 s";
    unreachable_signs, "machines.deaf_signs", 2.0, 1.0..=100.0, "signs",
        "A machine counts as unreachable, and gets no new tasks, after this many observations that a reply did not reach it: a single reply may be lost anywhere";
    unreachable_min_gap_s, "machines.deaf_gap_s", 0.5, 0.0..=60.0, "s",
        "A heartbeat that arrives less than this after the previous reply does not count as an observation of a lost reply: a worker that misses a reply waits for 1 to 5 s, and a queue of heartbeats that arrives at once after a freeze was sent before the reply";
    unreachable_sign_ttl_s, "machines.deaf_fade_s", 60.0, 1.0..=3600.0, "s",
        "An observation of a lost reply counts for this long: two replies lost a minute apart are unrelated";
    unreachable_delete_s, "machines.deaf_delete_s", 45.0, 1.0..=3600.0, "s",
        "A machine that stays unreachable is deleted after this long: about the time of a boot, so the replacement is ready by then, and most network partitions are over";
    max_deleted_machine_names, "machines.gone_names", 16384.0, 16.0..=100000.0, "names",
        "Number of deleted machines whose late heartbeats and list entries are still recognised: a fleet of 4,000 machines replaced four times, 800 KiB";
    boot_timeout_factor, "machines.boot_patience", 3.0, 1.1..=20.0, "times startup_s",
        "A boot is given up after this multiple of startup_s: boots take up to 1.5 times startup_s, a few take several times as long, and some never complete";
    boot_timeout_margin_s, "machines.boot_patience_s", 10.0, 0.0..=600.0, "s",
        "Added to the bound of machines.boot_patience, for types that boot within a second or two";
    quarantine_errors, "faults.quarantine_errors", 3.0, 1.0..=100.0, "errors",
        "Number of consecutive errors on a machine, from at least two jobs, after which the machine is quarantined";
    quarantine_hold_s, "faults.quarantine_hold_s", 4.0, 0.0..=60.0, "s",
        "How long a machine with faults.quarantine_errors errors gets no tasks before it is quarantined and returned: meanwhile a job that fails on every machine is detected, and its errors no longer count against the machine";
    job_trial_s, "faults.job_trial_s", 5.0, 0.0..=600.0, "s",
        "A job that is considered faulty starts all of its tasks again once one task has run this much longer than any of its tasks that failed";
    job_fault_machines, "faults.job_machines", 3.0, 1.0..=100.0, "machines",
        "A job that failed on this many machines without any success is itself considered faulty";
    job_backoff_s, "faults.job_backoff_s", 5.0, 0.1..=600.0, "s",
        "First back-off of a job whose tasks fail; doubles each time";
    job_backoff_max_s, "faults.job_backoff_most_s", 120.0, 1.0..=3600.0, "s",
        "Longest back-off of a job whose tasks fail";
    refusal_backoff_s, "rental.refusal_backoff_s", 10.0, 0.5..=600.0, "s",
        "First back-off after the cloud refused machines of a type, zone and kind (spot or on-demand); doubles each time";
    refusal_backoff_max_s, "rental.refusal_backoff_most_s", 40.0, 1.0..=3600.0, "s",
        "Longest back-off after refusals of the cloud: capacity becomes available again without notice";
    idle_s, "rental.idle_s", 90.0, 0.0..=3600.0, "s",
        "An idle machine that classes with an objective on starting may need soon is returned after this long: a new rental costs at least 60 s, a boot and the cached images";
    cold_idle_s, "rental.cold_idle_s", 40.0, 0.0..=3600.0, "s",
        "An idle machine that no class with an objective on starting may need soon is returned after this long: about the cost of a boot and of the cached images, since jobs that only have a deadline can wait for a boot";
    warm_headroom, "rental.warm_headroom", 4.0, 0.0..=100.0, "times",
        "Number of machines that stay for rental.idle_s when idle for classes with an objective on starting, as a multiple of their mean use";
    quiet_idle_s, "rental.quiet_idle_s", 15.0, 0.0..=3600.0, "s",
        "An idle machine is returned after this long if every class that fits its type has submitted nothing for about 20 of its usual intervals between jobs: no further jobs are expected";
    headroom, "rental.headroom", 1.3, 0.5..=10.0, "times",
        "Number of machines that are kept for classes with an objective on starting, as a multiple of their mean use";
    load_window_s, "rental.load_window_s", 120.0, 5.0..=3600.0, "s",
        "Time constant of the mean use: covers several jobs of a class, yet is shorter than the changes of its load";
    queueing_slack_share, "rental.turns_share", 0.7, 0.0..=10.0, "share",
        "Share of its slack that a job without an objective on starting may queue for machines in use before on-demand machines are rented for it";
    ordinary_share, "rental.ordinary_share", 0.25, 0.0..=1000.0, "share",
        "Number of on-demand machines rented per spot machine for work that may use either kind and can wait: on-demand machines cost about 2.7 times as much, so these raise the mean price by a third";
    max_late_turns, "rental.late_turns", 2.0, 0.0..=10.0, "turns",
        "Number of times that the machines in use may finish their tasks and become free while a job waits for them that would be late even on a machine rented now";
    ordinary_cost, "place.ordinary_cost", 2.0, 0.0..=1000.0, "s",
        "Placement cost of putting a task that may use spot machines on an on-demand machine: on-demand machines should become idle first because they cost several times as much";
    image_weight_s, "place.image_weight", 1.0, 0.0..=100.0, "per second of fetch",
        "Placement cost per second of image fetch, relative to the other costs under place";
    image_wait_s, "place.image_wait_s", 1.0, 0.0..=60.0, "s",
        "A job with an objective on starting that would miss it because of an image fetch waits for a machine that has its image until this long before it would be late: a launch and the start take about 1 s";
    image_places, "place.image_places", 0.3, 0.0..=1000.0, "machines per task",
        "Number of machines with the image, per task of the job, from which on the wait of place.image_wait_s is worthwhile";
    oversize_cost, "place.oversize_cost", 5.0, 0.0..=1000.0, "s",
        "Placement cost of putting a task on a larger machine type than the smallest that fits: large machines are kept free for large tasks";
    max_eviction_sets, "evict.sets", 16.0, 1.0..=1000.0, "sets",
        "Maximum number of candidate sets of victims, grown greedily; the paper builds all sets, whose number has no bound";
    max_evictions_per_task, "evict.loser_limit", 3.0, 1.0..=100.0, "evictions per task",
        "A job that has lost this many tasks per task of its own is no longer evicted: otherwise the job that has just restarted would always be the cheapest victim";
    max_errors_of_evicting_job, "evict.errors_limit", 2.0, 0.0..=100.0, "errors",
        "A job whose tasks failed this often without success may not evict others: it would do so endlessly";
    evict_deadline_work, "evict.deadline_work", 0.0, 0.0..=1.0, "0 or 1",
        "1: higher tiers may also evict jobs with deadlines; by default, as in the design, they may not";
    reclaim_deadline_work, "evict.reclaim_deadline_work", 0.0, 0.0..=1.0, "0 or 1",
        "1: tasks beyond their team's guarantee may be stopped for another team's guarantee whatever their deadline";
    min_eviction_price_s, "evict.min_price_s", 10.0, 0.0..=600.0, "s per task",
        "Minimum eviction price of a task: even if no work is lost, a restart costs an image fetch and a heartbeat interval";
    peer_interval_s, "peers.interval_s", 1.0, 0.1..=30.0, "s",
        "Interval of the hello messages between controllers";
    peer_timeout_s, "peers.timeout_s", 0.8, 0.1..=10.0, "s",
        "A peer's answer that arrives within this time counts as fresh";
    state_probe_interval_s, "health.probe_s", 0.8, 0.1..=30.0, "s",
        "A controller that sent the state service no request for this long sends a small one: three attempts before the controller considers itself cut off from the state service";
    job_progress_max_age_s, "peers.heard_fresh_s", 2.5, 0.1..=3.0, "s",
        "Task counts that the leader sent longer ago than this are not shown to users: the counts in the answer to a poll may lag by at most 3 s";
    max_progress_jobs, "peers.progress_most", 500.0, 0.0..=100000.0, "jobs",
        "Maximum number of jobs whose progress is sent in one hello message; the progress of other jobs is read when a user polls them";
    relay_timeout_s, "peers.relay_timeout_s", 2.0, 0.1..=10.0, "s",
        "A heartbeat that is relayed to the leader is given up after this long: the worker waits 4 s";
    relay_detect_s, "peers.relay_again_s", 9.0, 0.5..=60.0, "s",
        "A worker that returns this soon after it was directed to the leader cannot reach the leader: it tries for up to 4 s, then tries the next controller 1 s later, and there may be two to try";
    relay_duration_s, "peers.relay_s", 20.0, 1.0..=600.0, "s",
        "How long the heartbeats of a worker that cannot reach the leader are relayed before the worker is directed to the leader again";
    state_lost_after_s, "health.blind_s", 2.5, 0.5..=60.0, "s",
        "A controller that got no answer from the state service for this long considers itself cut off from the state service";
    state_unreachable_after_s, "state.silent_s", 1.5, 0.2..=60.0, "s",
        "A state service that has sent no answer for this long, not even a refusal, counts as unreachable: users are refused at once instead of after a timeout";
    isolated_after_s, "peers.isolated_s", 3.0, 0.5..=60.0, "s",
        "A controller that heard from neither the state service nor any peer for this long considers itself isolated: by then a peer has missed three of its answers and directs no workers to it";
    balancer_contact_max_age_s, "peers.outside_s", 2.5, 0.5..=60.0, "s",
        "If the load balancer was heard from within this time, the controller's zone is not cut off, and its workers reach other controllers: the balancer checks about once a second";
    retry_after_s, "front.retry_after_s", 1.0, 1.0..=30.0, "s",
        "Retry-after time that is sent to users whose request cannot be accepted now";
    front_total_share, "front.total_share", 0.82, 0.2..=0.95, "share of sockets",
        "Share of the sockets for all incoming connections, as far as the other limits leave them; one connection for each machine is reserved for workers, so that no worker is refused because of users";
    fence_per_s, "workers.fence_per_s", 100.0, 1.0..=10000.0, "machines/s",
        "Rate at which a new leader sends its fencing token directly to machines; the other machines learn the token from the answers to their heartbeats";
    fence_interval_s, "workers.fence_round_s", 0.5, 0.05..=5.0, "s",
        "Interval between two rounds of sending the fencing token";
    zone_proxy, "workers.zone_proxy", 1.0, 0.0..=1.0, "0 or 1",
        "1: workers in a zone other than the leader's send their heartbeats to a controller of their own zone, which relays them and keeps the workers' tasks alive while the leader is unreachable";
    front_users_least_share, "front.users_least_share", 0.2, 0.05..=0.9, "share of sockets",
        "Share of the sockets that is left to users however many machines there are";
    outgoing_share, "workers.outgoing_share", 0.05, 0.01..=0.3, "share of sockets",
        "Share of the sockets for connections to workers, idle ones included: one open connection for each of hundreds of workers would leave too few for incoming connections";
    peer_connections, "peers.connections", 24.0, 2.0..=10000.0, "connections",
        "Minimum number of connections from one controller to another; one for each 50 sockets if that is more: relayed heartbeats of a zone each wait for about 0.1 s";
    idle_connection_s, "front.idle_connection_s", 60.0, 1.0..=3600.0, "s",
        "A connection without traffic for longer than this counts as abandoned: users poll every 5 s, and workers send a heartbeat every few seconds";
    receive_s, "front.receive_s", 10.0, 0.5..=120.0, "s",
        "Longest time from the first to the last byte of a request";
    max_body_bytes, "front.max_body_bytes", 65536.0, 1024.0..=65536.0, "bytes",
        "Largest request body: the protocol's limit";
    max_ended_jobs, "front.terminal_cache", 16384.0, 0.0..=100000.0, "jobs",
        "Number of ended jobs kept in memory, about 100 bytes each: for repeated polls, and for what a controller has already told users while the state service is unavailable";
    status_log_interval_s, "log.status_s", 15.0, 1.0..=3600.0, "s",
        "Interval at which the leader logs one line on machines and waiting work";
    long_wait_log_s, "log.long_wait_s", 60.0, 1.0..=3600.0, "s",
        "A job that has waited this long is logged with the reason, and again each time its waiting time doubles";
    max_classes, "learn.classes", 64.0, 1.0..=10000.0, "classes",
        "Number of classes whose run times and load are remembered";
    load_window_jobs, "learn.window_jobs", 20.0, 1.0..=1000.0, "jobs",
        "Number of jobs in the window over which a class's load is measured: enough for a mean. A class without a submission for the length of the window is assumed to have ended";
    load_window_min_s, "learn.window_least_s", 30.0, 1.0..=3600.0, "s",
        "Minimum length of the window of learn.window_jobs: tasks run about that long, and an outage of the state service delays jobs";
    peer_to_peer_images, "images.hand_on", 0.0, 0.0..=1.0, "0 or 1",
        "1: launches name machines that serve the image to others, for workers that support peer-to-peer transfer; other workers still fetch from the image store";
    peer_to_peer_pieces, "images.pieces", 1.0, 0.0..=1.0, "0 or 1",
        "1: workers serve pieces of an image that they are still fetching, so that all fetches start at once; 0: workers serve complete images only, so that the rollout is staged";
    image_sources_per_fetch, "images.sources", 4.0, 1.0..=32.0, "machines",
        "Number of image sources that are named to one fetch: if one is slow or dies, three are left";
    image_uploads_per_machine, "images.load", 5.0, 1.0..=64.0, "fetches",
        "Maximum number of fetches that one machine is assigned to serve: more than the number of sources of a fetch, or no machine would be left for the next fetch; each further fetch reduces the rate of the others";
    initial_store_fetches, "images.first", 6.0, 1.0..=1000.0, "fetches",
        "Number of concurrent fetches from the image store under peer-to-peer transfer while the store's throughput is unknown: enough for some in every zone, and few compared with a thousand";
    image_min_fetch_s, "images.least_s", 15.0, 0.0..=3600.0, "s",
        "Images that a machine fetches in less than this are not scheduled: the interval of heartbeats is as long";
    slow_fetch_factor, "images.slowed", 2.5, 1.1..=100.0, "times",
        "A fetch that takes this many times as long as its machine type's rate predicts was slowed by other fetches: without such interference, fetch times differ by a third";
    fetch_turn_timeout_s, "images.stale_s", 10.0, 1.0..=600.0, "s",
        "A machine that waits to fetch an image and sends no heartbeat for this long loses its turn";
    max_tracked_images, "images.most", 64.0, 1.0..=10000.0, "images",
        "Number of images whose holders are tracked; an image that no machine is fetching is dropped first";
    max_plan_records, "plans.records", 256.0, 1.0..=10000.0, "records",
        "Maximum number of recorded plans: a new leader reads all of them before it starts anything";
    plan_write_deadline_s, "plans.patience_s", 2.0, 0.0..=60.0, "s",
        "A plan's record lets launches and ends go first for this long, then it takes a place in the next transaction: a rental waits for the record";
    calendar_write_delay_s, "calendar.write_s", 1.0, 0.0..=600.0, "s",
        "The number of a step's jobs that have arrived is recorded this long after one arrived: jobs that arrive together cost one record";
    calendar_refresh_s, "calendar.look_s", 1.0, 0.1..=60.0, "s",
        "Interval at which runs are checked, besides whenever jobs arrive and end: no record waits longer than this";
    calendar_failing_grace_s, "calendar.mistaken_s", 60.0, 0.0..=86400.0, "s",
        "A job that has failed on every machine for this long no longer delays the next step: its user cancels it after a minute or two";
    calendar_retention_s, "calendar.renewal_s", 86400.0, 0.0..=2678400.0, "s",
        "A run is abandoned this long after its due time; a run whose entry was removed is deleted then";
    max_calendar_runs, "calendar.runs", 4.0, 1.0..=100.0, "runs",
        "Maximum number of active runs of one entry: if another one opens, the oldest is abandoned";
    max_calendar_job_names, "calendar.names", 200.0, 0.0..=10000.0, "jobs",
        "Number of names of unfinished jobs in a run's record, about 2 KB: a new leader counts no job twice";
    max_reservations, "reserve.entries", 32.0, 1.0..=32.0, "entries",
        "Maximum number of reservations in the properties file: each uses two of the 64 bits that mark reserved machines";
    max_reservation_machines, "reserve.machines", 1000.0, 1.0..=1500.0, "machines",
        "Maximum number of machines of one reservation: its record names all of them, 15 KiB of the 32 KiB that a value may have";
    reserve_interval_s, "reserve.interval_s", 1.0, 0.1..=60.0, "s",
        "Interval at which reservations are recomputed: the same as that of rental";
    reserve_settings_delay_s, "reserve.withdraw_s", 45.0, 0.0..=3600.0, "s",
        "After an election, changed or removed entries of the file take effect only after this long: during a rolling restart two versions of the file are in use, and machines that one leader gives up the next would rent again";
    reserve_lead_margin_s, "reserve.margin_s", 30.0, 0.0..=3600.0, "s",
        "Added to the lead time with which renting starts before a window: covers records, requests of 50 machines each, and refusals";
    reserve_max_lead_s, "reserve.lead_most_s", 1800.0, 0.0..=86400.0, "s",
        "Renting starts at most this long before a window, however slow the boots are and however many requests were refused";
    reserve_boot_quantile, "reserve.boot_share", 0.95, 0.5..=1.0, "share",
        "Share of boots that complete within the lead time of a reservation; the remaining machines are replaced";
    reserve_silent_after_s, "reserve.out_s", 15.0, 1.0..=600.0, "s",
        "A silent machine no longer counts for a reservation after this long: a network partition of a zone or a hang of a machine is often shorter, and a replacement costs at least 60 s";
    reserve_adopt_after_s, "reserve.adopt_idle_s", 10.0, 0.0..=600.0, "s",
        "Machines that no reservation holds are taken for a reservation once they have been idle for this long";
    max_reservation_requests, "reserve.requests", 8.0, 1.0..=100.0, "requests",
        "Maximum number of unanswered rental requests of one reservation: 400 machines";
    reservation_requests_per_round, "reserve.asks", 3.0, 1.0..=20.0, "requests",
        "Number of rental requests that reservations send in one round: the cloud accepts about 5 requests a second, including lists and deletions";
    reserve_borrow_after_s, "reserve.floor_s", 200.0, 0.0..=3600.0, "s",
        "A job that has waited this long may borrow an idle reserved machine unless the entry forbids all borrowing (`nobody`): it should start within four minutes";
    reserve_guarantee_wait_s, "reserve.guarantee_wait_s", 20.0, 0.0..=3600.0, "s",
        "A job within another team's guarantee may borrow a reserved machine after this long, whatever the entry says: guarantees must hold, and a machine rented for the job would be ready later";
    reserve_placement_gain_s, "reserve.prefer_s", 30.0, 0.0..=600.0, "s",
        "Placement gain of a reservation's own work on its machines, and placement cost of lending one while another machine is suitable: more than any image fetch except the largest";
    max_boot_samples, "reserve.boots", 64.0, 1.0..=1000.0, "boots",
        "Number of boot times remembered for each machine type: enough to include the slowest of twenty";
    learn_weight, "learn.weight", 0.15, 0.01..=1.0, "share",
        "Weight of the newest run time in a class's mean ratio of run time to the owner's estimate";
}

impl Tuning {
    /// How long a leader that lost its connection to the state service, or a delegate on its
    /// behalf, keeps renewing the workers' leases. Together with the workers' lease this is
    /// shorter than the time within which a cancellation that another controller accepted
    /// must take effect.
    pub fn renewal_s(&self, cancel_s: f64, lease_s: f64) -> f64 {
        (cancel_s - lease_s - self.delegation_margin_s).max(1.0)
    }

    /// Whether these settings can cause plans to be recorded.
    pub fn has_plans(&self) -> bool {
        !self.plan_entries.is_empty() || self.peer_to_peer_images >= 0.5
    }

    /// Reads a properties file; constants that the file does not set keep their defaults.
    ///
    /// # Errors
    /// If the input is not a properties file, or a key is unknown, occurs more than once or
    /// has a value out of its range.
    pub fn from_properties(input: impl Read) -> Result<Tuning, TuningError> {
        let mut pairs: BTreeMap<String, String> = BTreeMap::new();
        let mut duplicate = None;
        java_properties::PropertiesIter::new(input)
            .read_into(|key, value| {
                if pairs.insert(key.clone(), value).is_some() {
                    duplicate = Some(key);
                }
            })
            .map_err(|e| TuningError::Syntax(e.to_string()))?;
        if let Some(key) = duplicate {
            return Err(TuningError::DuplicateKey(key));
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
            match (tuning.value_mut(&key), value.trim().parse::<f64>()) {
                (Some(slot), Ok(number)) if number >= constant.min && number <= constant.max => {
                    *slot = number;
                }
                _ => {
                    return Err(TuningError::Range {
                        key,
                        value,
                        min: constant.min,
                        max: constant.max,
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
        let duplicate = Tuning::from_properties("clock.drift=0\nclock.drift=0\n".as_bytes());
        assert_eq!(
            duplicate,
            Err(TuningError::DuplicateKey("clock.drift".into()))
        );
        let entry = Tuning::from_properties("calendar.rebuild.team = t\n".as_bytes()).unwrap();
        assert_eq!(entry.plan_entries["calendar.rebuild.team"], "t");
        let unknown = Tuning::from_properties("calendar.rebuild = t\n".as_bytes());
        assert!(matches!(unknown, Err(TuningError::UnknownKey(_))));
    }

    #[test]
    fn every_default_lies_within_its_bounds_and_has_a_reason() {
        for c in CONSTANTS {
            assert!(c.default >= c.min && c.default <= c.max, "{}", c.key);
            assert!(c.reason.len() > 10 && !c.unit.is_empty(), "{}", c.key);
        }
    }
}
