//! Determinism and faults of a simulated world.

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

fn host(world: &WorldHandle, last: u8) -> HostId {
    world.add_host(HostSpec::new(format!("h{last}"), [10, 0, 0, last].into()))
}

/// Echoes until it is dropped.
async fn echo(at: u8) {
    let listener = TcpListener::bind(addr(at)).unwrap();
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

/// The log of an exchange of one byte per second, in true time.
fn exchange(
    seed: u64,
    at_5_s: impl Fn(&WorldHandle, HostId, HostId) -> Option<PartitionId> + 'static,
) -> Vec<String> {
    let simulation = Simulation::new(seed, NetworkConfig::default());
    let world = simulation.world();
    simulation
        .block_on(async move {
            let (a, b) = (host(&world, 1), host(&world, 2));
            let seen: Rc<RefCell<Vec<String>>> = Rc::default();
            world.start(b, echo(2));
            let (told, clock) = (seen.clone(), world.clone());
            world.start(a, async move {
                let mut stream = TcpStream::connect(addr(2)).await.unwrap();
                for byte in 0..10u8 {
                    sleep(1.0).await;
                    let sent = stream.write_all(&[byte]).await;
                    let mut buf = [0u8; 1];
                    let got = timeout(8.0, stream.read(&mut buf)).await;
                    let line = format!("{:.4} {byte} {sent:?} {got:?}", clock.now());
                    told.borrow_mut().push(line);
                }
            });
            sleep(5.5).await;
            let cut = at_5_s(&world, a, b);
            sleep(5.0).await;
            if let Some(cut) = cut {
                world.heal(cut);
            }
            world.thaw(b);
            sleep(60.0).await;
            seen.take()
        })
        .unwrap()
}

#[test]
fn runs_are_determined_by_the_seed() {
    // Real time, addresses and hash order must have no influence.
    let once = exchange(3, |_, _, _| None);
    assert_eq!(once.len(), 10);
    assert_eq!(once, exchange(3, |_, _, _| None));
    assert_ne!(once, exchange(4, |_, _, _| None));
}

#[test]
fn partitions_and_freezes_delay_packets() {
    // Bytes must arrive late, in order and completely.
    let cut = exchange(3, |w, a, b| {
        Some(w.partition(&[a], &[b], PartitionMode::Hold))
    });
    let frozen = exchange(3, |w, _, b| {
        w.freeze(b);
        None
    });
    for seen in [&cut, &frozen] {
        assert!(
            seen.iter().all(|line| line.ends_with("Ok(Ok(1))")),
            "{seen:?}"
        );
        let late: f64 = seen[5].split(' ').next().unwrap().parse().unwrap();
        assert!((10.5..10.6).contains(&late), "{seen:?}");
    }
}

#[test]
fn reset_process_exit_and_power_loss_differ() {
    // A host without power must not close its connections: peers time out.
    let reset = exchange(3, |w, a, b| {
        Some(w.partition(&[a], &[b], PartitionMode::Reset))
    });
    assert!(reset[5].contains("ConnectionReset") || reset[5].contains("BrokenPipe"));
    let ended = exchange(3, |w, _, b| {
        w.kill(b);
        None
    });
    assert!(ended[5].contains("Ok(Ok(0))"), "{ended:?}");
    let off = exchange(3, |w, _, b| {
        w.power_off(b);
        None
    });
    assert!(off[5].contains("Err(Elapsed)"), "{off:?}");
}

#[test]
fn clocks_drift_and_busy_hosts_lag() {
    // Timers follow the host's own clock, and processor time delays routines.
    let simulation = Simulation::new(1, NetworkConfig::default());
    let world = simulation.world();
    simulation
        .block_on(async move {
            let mut spec = HostSpec::new("fast", [10, 0, 0, 1].into());
            spec.clock_rate = 1.01;
            let fast = world.add_host(spec);
            let clock = world.clock(fast);
            let (at, seen) = (world.clone(), Rc::new(Cell::new((0.0, 0.0))));
            let (told, own) = (seen.clone(), clock.clone());
            world.start(fast, async move {
                sleep(10.1).await;
                told.set((at.now(), own.now()));
                for _ in 0..100 {
                    spawn(async {});
                }
            });
            sleep(20.0).await;
            let (truth, own) = seen.get();
            assert!((truth - 10.0).abs() < 0.001 && (own - 10.1).abs() < 0.001);
            let mut spec = HostSpec::new("slow", [10, 0, 0, 2].into());
            (spec.cpu_per_step_s, spec.cpu_share) = (0.01, 0.2);
            let slow = world.add_host(spec);
            world.set_slowdown(slow, 2.0);
            let (at, seen) = (world.clone(), Rc::new(Cell::new(0.0)));
            let told = seen.clone();
            world.start(slow, async move {
                for _ in 0..10 {
                    let (told, at) = (told.clone(), at.clone());
                    spawn(async move { told.set(at.now()) });
                }
                sleep(60.0).await;
            });
            sleep(30.0).await;
            assert!((seen.get() - 21.0).abs() < 0.2, "{}", seen.get());
            // Declared processor time counts in the same way.
            let (told, at) = (seen.clone(), world.clone());
            world.start(slow, async move {
                charge_cpu(0.3);
                spawn(async move { told.set(at.now()) });
                sleep(60.0).await;
            });
            let (cpu_s, began) = (world.cpu_s(slow), world.now());
            sleep(30.0).await;
            assert!((seen.get() - began - 3.1).abs() < 0.2, "{}", seen.get());
            assert!((world.cpu_s(slow) - cpu_s - 0.64).abs() < 0.05);
        })
        .unwrap();
}
