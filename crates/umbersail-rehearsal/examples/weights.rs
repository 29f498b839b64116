//! Prints how waves of large images go at fleet sizes, against the fluid bound and
//! against all machines at the store at once. Simulated machines.

use std::time::Instant;

use umbersail_rehearsal::rollouts::Rollout;

fn main() {
    println!(
        "machines  GB  up GB/s  bound s  half s  90% s  all s  of bound  hops  all at once s  \
         store GB (of all at once)  us of work per report"
    );
    for (up, pieces) in [(1.0, true), (0.5, true), (1.0, false)] {
        for gb in [40.0, 140.0] {
            for machines in [64, 589, 1307, 4000] {
                let mut bounds = Rollout::bounds(true);
                bounds.serve_partial = pieces;
                let wave = Rollout {
                    machines,
                    zones: 3,
                    gb,
                    store_gb_s: 10.0,
                    up_gb_s: up,
                    down_gb_s: 1.0,
                    piece_gb: 0.25,
                    report_s: 1.5,
                    bounds,
                    faults: Vec::new(),
                    seed: 1,
                };
                let began = Instant::now();
                let course = wave.run(1e6);
                let took = began.elapsed().as_secs_f64();
                let all_gb = machines as f64 * gb;
                println!(
                    "{machines:8} {gb:4.0} {up:5.1}{} {:8.0} {:7.0} {:6.0} {:6.0} {:9.2} {:5} {:9.0} \
                     {:9.0} ({:.3}) {:9.2} ({took:.1} s)",
                    if pieces { " pieces" } else { " whole " },
                    wave.bound_s(),
                    course.half_s,
                    course.most_s,
                    course.all_s,
                    course.all_s / wave.bound_s(),
                    course.hops,
                    wave.from_store_s(),
                    course.store_gb,
                    course.store_gb / all_gb,
                    course.decided_s * 1e6 / course.reports as f64,
                );
            }
        }
    }
}
