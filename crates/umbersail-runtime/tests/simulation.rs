//! Determinism, fault injection and clocks of a simulated world.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use umbersail_runtime::{
    HostId, HostSpec, NetworkConfig, PartitionId, PartitionMode, Simulation, TcpListener,
    TcpStream, WorldHandle, charge_cpu, sleep, spawn, timeout,
};

fn addr(last: u8) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(10, 0, 0, last).into(), 80)
}

fn add_host(world: &WorldHandle, last: u8) -> HostId {
    world.add_host(HostSpec::new(format!("h{last}"), [10, 0, 0, last].into()))
}

/// Serves connections and echoes their bytes until cancelled.
async fn serve_echo(last: u8) {
    let listener = TcpListener::bind(addr(last)).unwrap();
    loop {
        let mut stream = listener.accept().await.unwrap();
        spawn(async move {
            let mut buf = [0u8; 64];
            while let Ok(n) = stream.read(&mut buf).await {
                if n == 0 || stream.write_all(&buf[..n]).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Exchanges one byte per second with an echo server, and injects a fault after 5.5 s that ends
/// after 10.5 s. Returns a line for each byte: true time, byte, and results of write and read.
fn exchange(
    seed: u64,
    inject_fault: impl Fn(&WorldHandle, HostId, HostId) -> Option<PartitionId> + 'static,
) -> Vec<String> {
    let simulation = Simulation::new(seed, NetworkConfig::default());
    let world = simulation.world();
    simulation
        .block_on(async move {
            let (a, b) = (add_host(&world, 1), add_host(&world, 2));
            let lines: Rc<RefCell<Vec<String>>> = Rc::default();
            world.start(b, serve_echo(2));
            let (log, clock) = (lines.clone(), world.clone());
            world.start(a, async move {
                let mut stream = TcpStream::connect(addr(2)).await.unwrap();
                for byte in 0..10u8 {
                    sleep(1.0).await;
                    let sent = stream.write_all(&[byte]).await;
                    let mut buf = [0u8; 1];
                    let received = timeout(8.0, stream.read(&mut buf)).await;
                    let line = format!("{:.4} {byte} {sent:?} {received:?}", clock.now());
                    log.borrow_mut().push(line);
                }
            });
            sleep(5.5).await;
            let partition = inject_fault(&world, a, b);
            sleep(5.0).await;
            if let Some(partition) = partition {
                world.heal(partition);
            }
            world.thaw(b);
            sleep(60.0).await;
            lines.take()
        })
        .unwrap()
}

#[test]
fn runs_are_determined_by_the_seed() {
    // Guards against an influence of real time, memory addresses or hash order on a run.
    let first = exchange(3, |_, _, _| None);
    assert_eq!(first.len(), 10);
    assert_eq!(first, exchange(3, |_, _, _| None));
    assert_ne!(first, exchange(4, |_, _, _| None));
}

#[test]
fn partitions_and_freezes_delay_packets() {
    // Guards against lost or reordered bytes: all bytes must arrive in order, those sent during
    // the fault after its end.
    let partitioned = exchange(3, |w, a, b| {
        Some(w.partition(&[a], &[b], PartitionMode::Hold))
    });
    let frozen = exchange(3, |w, _, b| {
        w.freeze(b);
        None
    });
    for lines in [&partitioned, &frozen] {
        assert!(
            lines.iter().all(|line| line.ends_with("Ok(Ok(1))")),
            "{lines:?}"
        );
        let delayed_to: f64 = lines[5].split(' ').next().unwrap().parse().unwrap();
        assert!((10.5..10.6).contains(&delayed_to), "{lines:?}");
    }
}

#[test]
fn reset_process_exit_and_power_loss_differ() {
    // Guards against faults that look alike to peers: a reset gives an error, a killed process
    // closes its connections, and a host without power does not close them, so peers time out.
    let reset = exchange(3, |w, a, b| {
        Some(w.partition(&[a], &[b], PartitionMode::Reset))
    });
    assert!(reset[5].contains("ConnectionReset") || reset[5].contains("BrokenPipe"));
    let killed = exchange(3, |w, _, b| {
        w.kill(b);
        None
    });
    assert!(killed[5].contains("Ok(Ok(0))"), "{killed:?}");
    let powered_off = exchange(3, |w, _, b| {
        w.power_off(b);
        None
    });
    assert!(powered_off[5].contains("Err(Elapsed)"), "{powered_off:?}");
}

#[test]
fn clocks_drift_and_busy_hosts_lag() {
    // Guards against timers that do not follow the clock of their host, and against processor
    // time that does not delay routines.
    let simulation = Simulation::new(1, NetworkConfig::default());
    let world = simulation.world();
    simulation
        .block_on(async move {
            let mut spec = HostSpec::new("fast", [10, 0, 0, 1].into());
            spec.clock_rate = 1.01;
            let fast = world.add_host(spec);
            let clock = world.clock(fast);
            let (true_clock, woken_at) = (world.clone(), Rc::new(Cell::new((0.0, 0.0))));
            let (result, host_clock) = (woken_at.clone(), clock.clone());
            world.start(fast, async move {
                sleep(10.1).await;
                result.set((true_clock.now(), host_clock.now()));
                for _ in 0..100 {
                    spawn(async {});
                }
            });
            sleep(20.0).await;
            let (true_s, host_s) = woken_at.get();
            assert!((true_s - 10.0).abs() < 0.001 && (host_s - 10.1).abs() < 0.001);
            let mut spec = HostSpec::new("slow", [10, 0, 0, 2].into());
            (spec.cpu_per_step_s, spec.cpu_share) = (0.01, 0.2);
            let slow = world.add_host(spec);
            world.set_slowdown(slow, 2.0);
            let (true_clock, last_step_at) = (world.clone(), Rc::new(Cell::new(0.0)));
            let result = last_step_at.clone();
            world.start(slow, async move {
                for _ in 0..10 {
                    let (result, true_clock) = (result.clone(), true_clock.clone());
                    spawn(async move { result.set(true_clock.now()) });
                }
                sleep(60.0).await;
            });
            sleep(30.0).await;
            let at = last_step_at.get();
            assert!((at - 21.0).abs() < 0.2, "{at}");
            // Processor time charged explicitly delays routines in the same way.
            let (result, true_clock) = (last_step_at.clone(), world.clone());
            world.start(slow, async move {
                charge_cpu(0.3);
                spawn(async move { result.set(true_clock.now()) });
                sleep(60.0).await;
            });
            let (cpu_s, started_at) = (world.cpu_s(slow), world.now());
            sleep(30.0).await;
            let delay_s = last_step_at.get() - started_at;
            assert!((delay_s - 3.1).abs() < 0.2, "{delay_s}");
            assert!((world.cpu_s(slow) - cpu_s - 0.64).abs() < 0.05);
        })
        .unwrap();
}
