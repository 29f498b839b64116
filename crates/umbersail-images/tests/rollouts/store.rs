//! Limits on store fetches, and estimation of the store's throughput.

use umbersail_images::Decision;

use crate::fleet::{Fleet, machine, settings};

#[test]
fn all_fetches_start_immediately_while_the_store_is_not_saturated() {
    let mut fleet = Fleet::new(settings(false));
    // Durations vary by about a third, and one machine in ten takes almost five times
    // as long as expected.
    for n in 0..500 {
        assert_eq!(fleet.start(0.0, n), Some(vec![]));
    }
    for n in 0..500 {
        let duration_s = match n % 10 {
            0 => 190.0,
            _ => 40.0 * (0.7 + 0.08 * (n % 10) as f64),
        };
        fleet.observe_fetching(duration_s - 1.0, n);
        fleet.observe_cached(duration_s, n);
    }
    for n in 500..2000 {
        assert_eq!(fleet.start(300.0, n), Some(vec![]));
    }
    assert!(
        fleet
            .view
            .records(|i| (*i).to_owned(), String::clone)
            .is_empty()
    );
}

#[test]
fn a_saturated_store_serves_a_limited_number_of_fetches_by_priority() {
    let mut fleet = Fleet::new(settings(false));
    // The store delivers 20 GB/s to 100 machines that can receive 1 GB/s each.
    fleet.fetch(0.0, 0..100, 200.0);
    let store_gb_s = fleet.view.rates().store_gb_s().unwrap();
    assert!((18.0..22.0).contains(&store_gb_s), "{store_gb_s}");
    let mut started = Vec::new();
    for n in (100..300).rev() {
        let _ = fleet.request(210.0, n);
    }
    for n in 100..300 {
        if fleet.start(211.0, n).is_some() {
            started.push(n);
        }
    }
    // The first machines to request start at once: 25, a quarter more than saturate
    // the store.
    assert!(started.len() <= 25, "{started:?}");
    let counts = fleet.view.counts(&"weights");
    assert_eq!((counts.fetching, counts.waiting), (25, 175));
    for n in 100..275 {
        assert_eq!(fleet.start(255.0, n), None);
    }
    // Released slots go to the highest priority, regardless of the order of requests.
    for n in 290..300 {
        fleet.observe_fetching(260.0, n);
        fleet.observe_cached(261.0, n);
    }
    let started: Vec<usize> = (100..275)
        .rev()
        .filter(|n| fleet.start(261.0, *n).is_some())
        .collect();
    let free_slots = started.len();
    assert!((8..=12).contains(&free_slots), "{started:?}");
    assert!(started.iter().all(|n| *n < 100 + free_slots), "{started:?}");
    // Queue entries that are not renewed expire, and a machine further back starts.
    for n in 285..290 {
        fleet.observe_fetching(270.0, n);
        fleet.observe_cached(271.0, n);
    }
    assert_eq!(fleet.start(271.0, 270), None);
    assert_eq!(fleet.start(300.0, 270), Some(vec![]));
}

#[test]
fn concurrent_fetches_on_one_machine_do_not_count_as_store_saturation() {
    // Guards against delayed launches after a start with cold caches, when several
    // fetches on each machine share its download rate and take longer.
    let mut fleet = Fleet::new(settings(false));
    fleet.concurrent_fetches = 3;
    fleet.fetch(0.0, 0..100, 115.0);
    assert_eq!(fleet.view.rates().store_gb_s(), None);
    for n in 100..400 {
        assert_eq!(fleet.start(200.0, n), Some(vec![]));
    }
}

#[test]
fn a_single_slow_machine_does_not_count_as_store_saturation() {
    let mut fleet = Fleet::new(settings(false));
    for round in 0..20 {
        fleet.fetch(1000.0 * round as f64, round..round + 1, 400.0);
        fleet.view.remove_image(&"weights", &machine(round));
    }
    assert_eq!(fleet.view.rates().store_gb_s(), None);
}

#[test]
fn during_a_store_outage_peers_serve_and_store_fetches_stay_limited() {
    let mut fleet = Fleet::new(settings(true));
    for n in 0..8 {
        fleet.start(0.0, n).unwrap();
    }
    for n in 0..8 {
        fleet.observe_cached(45.0, n);
    }
    for n in 8..200 {
        assert!(
            !fleet.start(50.0, n).unwrap().is_empty(),
            "complete copies exist, so peers serve the fetch"
        );
    }
    // An image without copies: store fetches start up to the limit, and no more start
    // however long the started fetches take.
    for n in 300..340 {
        let _ = fleet.request_image(50.0, "other", n, 1);
    }
    let count_store_starts = |fleet: &mut Fleet, at| {
        let mut count = 0;
        for n in 340..400 {
            let decision = fleet.request_image(at, "other", n, 1);
            count += usize::from(decision == Decision::Start { sources: vec![] });
        }
        count
    };
    assert_eq!(fleet.recorded_store_fetches_of("other"), 8);
    assert_eq!(count_store_starts(&mut fleet, 500.0), 0);
}
