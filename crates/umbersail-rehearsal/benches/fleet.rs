//! What a simulated minute costs at different sizes of the fleet; a night of one
//! class that keeps the machines busy, without failures.

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use umbersail_rehearsal::{Scenario, run};

/// A minute of work for so many machines, all of which are up at the start.
fn minute(machines: usize) -> Scenario {
    let text = format!(
        "title = \"{machines} machines\"\nlength_s = 60\ndrain_s = 1\n\
         [controllers]\ncount = 3\nzones = [\"a\", \"b\"]\nmax_sockets = {sockets}\ncore = 0.5\n\
         [workers]\nreport_s = 2.5\nlease_s = 18.0\ncancel_s = 45.0\n\
         [state]\nrps = 500\nwrite_rps = 200\n\
         [[machines]]\nname = \"m\"\ncpus = 8\nmemory_gb = 32\nprice = 0.5\nboot_s = 20\n\
         zones = [\"a\", \"b\"]\nordinary = {half}\nat_start = {machines}\n\
         [[teams]]\nname = \"t\"\n\
         [[classes]]\nname = \"c\"\nteam = \"t\"\npriority = \"high\"\ntasks = 40\nmost = 200\n\
         cpus = 2\nmemory_gb = 4\nrun_s = 30\nimage_gb = 0.5\nper_minute = {rate}\nat_start = {first}\n\
         deadline_s = 200\n",
        sockets = 200 + 2 * machines,
        half = machines.div_ceil(2),
        rate = (machines / 12).max(2),
        first = (machines / 20).max(1),
    );
    Scenario::parse("bench", &text).expect("the night of the bench is valid")
}

fn fleets(c: &mut Criterion) {
    let mut group = c.benchmark_group("simulated minute");
    group.sample_size(10);
    for machines in [100, 1000, 4000] {
        let night = minute(machines);
        let once = run(&night, 1, &mut |_, _| {}).expect("it can be played");
        assert!(once.figures.breaches.is_empty() && once.figures.starts > machines);
        group.throughput(Throughput::Elements(once.packets));
        group.bench_function(BenchmarkId::from_parameter(machines), |b| {
            b.iter(|| run(&night, 1, &mut |_, _| {}).expect("it can be played"));
        });
    }
    group.finish();
}

criterion_group!(benches, fleets);
criterion_main!(benches);
