//! Selection of sources, and the order of fetches on a machine.

use std::collections::BTreeSet;

use umbersail_images::{Decision, ImageCounts, Settings};

use crate::fleet::{Fleet, machine, settings, zone};

#[test]
fn few_machines_fetch_from_the_store_and_the_others_from_nearby_peers() {
    let mut fleet = Fleet::new(settings(true));
    let (mut from_store, mut local, mut remote) = (0, 0, 0);
    for n in 0..1307 {
        let sources = fleet.start(0.0, n).unwrap();
        from_store += usize::from(sources.is_empty());
        for source in &sources {
            let other: usize = source[5..].parse().unwrap();
            let same_zone = zone(other) == zone(n);
            local += usize::from(same_zone);
            remote += usize::from(!same_zone);
        }
    }
    assert_eq!(from_store, 8);
    assert!(local > 2 * remote, "{local} local, {remote} remote");
}

#[test]
fn without_partial_sources_the_rollout_is_staged() {
    let mut fleet = Fleet::new(Settings {
        serve_partial: false,
        ..settings(true)
    });
    let mut cached = 0;
    let mut stages = Vec::new();
    for stage in 0..8 {
        let at = 100.0 * f64::from(stage);
        let mut started = Vec::new();
        for n in cached..600 {
            if fleet.start(at, n).is_some() {
                started.push(n);
            }
        }
        for n in &started {
            fleet.observe_cached(at + 50.0, *n);
        }
        cached += started.len();
        stages.push(started.len());
        assert!(
            started.iter().max().is_none_or(|n| *n == cached - 1),
            "machines start in order of priority"
        );
    }
    assert_eq!(stages[0], 8);
    assert!(
        stages[1] >= 16 && stages.iter().sum::<usize>() == 600,
        "{stages:?}"
    );
}

#[test]
fn lost_sources_are_replaced_by_new_store_fetches() {
    let mut fleet = Fleet::new(settings(true));
    for n in 0..40 {
        fleet.start(0.0, n).unwrap();
    }
    for n in 0..8 {
        fleet.view.remove_machine(&machine(n));
    }
    assert_eq!(fleet.recorded_store_fetches(), 0);
    // No complete copy is left and no store fetch is in progress: new fetches use the
    // store, up to the initial limit.
    let sources: Vec<_> = (40..140).map(|n| fleet.start(11.0, n).unwrap()).collect();
    assert_eq!(
        sources.iter().filter(|sources| sources.is_empty()).count(),
        8
    );
    let removed: BTreeSet<String> = (0..8).map(machine).collect();
    assert!(
        sources
            .iter()
            .flatten()
            .all(|source| !removed.contains(source))
    );
}

#[test]
fn sources_in_an_unreachable_zone_are_skipped_until_they_send_a_heartbeat() {
    let mut fleet = Fleet::new(settings(true));
    // All machines are in the same zone.
    for n in (0..60).map(|n| 3 * n) {
        fleet.start(0.0, n).unwrap();
        fleet.observe_cached(50.0, n);
    }
    fleet.unreachable = (0..60).map(|n| machine(3 * n)).collect();
    let decisions: Vec<_> = (0..30).map(|n| fleet.start(60.0, 3 * n + 1)).collect();
    // Eight machines fetch from the store, the others fetch from peers.
    let from_store = decisions
        .iter()
        .flatten()
        .filter(|sources| sources.is_empty())
        .count();
    assert_eq!((from_store, decisions.iter().flatten().count()), (8, 30));
    let is_unreachable = |source: &String| fleet.unreachable.contains(source);
    assert!(!decisions.iter().flatten().flatten().any(is_unreachable));
    fleet.unreachable.clear();
    for n in 0..60 {
        fleet.view.observe_heartbeat(&machine(3 * n));
    }
    let sources = fleet.start(70.0, 181).unwrap();
    assert!(
        sources
            .iter()
            .any(|source| source[5..].parse::<usize>().unwrap() % 3 == 0)
    );
}

#[test]
fn cancelled_fetches_release_their_slots() {
    let mut fleet = Fleet::new(settings(true));
    for n in 0..8 {
        fleet.start(0.0, n).unwrap();
    }
    for n in 0..8 {
        fleet.view.cancel_fetch(&"weights", &machine(n));
    }
    assert!(fleet.view.counts(&"weights").is_empty());
    assert_eq!(fleet.start(6.0, 8), Some(vec![]));
    // A complete copy is kept when no task needs the image any more.
    fleet.observe_cached(50.0, 8);
    fleet.view.cancel_fetch(&"weights", &machine(8));
    let only_cached = ImageCounts {
        cached: 1,
        ..ImageCounts::default()
    };
    assert_eq!(fleet.view.counts(&"weights"), only_cached);
}

#[test]
fn a_machine_fetches_images_in_order_of_priority() {
    let mut fleet = Fleet::new(settings(true));
    assert!(matches!(
        fleet.request_image(0.0, "weights", 1, 1),
        Decision::Start { .. }
    ));
    assert_eq!(fleet.request_image(0.0, "other", 1, 2), Decision::Wait);
    // A more urgent fetch does not wait for a less urgent fetch.
    assert!(matches!(
        fleet.request_image(0.0, "urgent", 1, 0),
        Decision::Start { .. }
    ));
    fleet.observe_cached(40.0, 1);
    assert_eq!(fleet.request_image(41.0, "other", 1, 2), Decision::Wait);
    fleet.observe_cached_image(80.0, "urgent", 1);
    assert!(matches!(
        fleet.request_image(81.0, "other", 1, 2),
        Decision::Start { .. }
    ));
}

#[test]
fn the_last_holder_in_a_zone_is_kept_while_the_rollout_is_active() {
    let mut fleet = Fleet::new(settings(true));
    for n in [0, 1, 4] {
        fleet.start(0.0, n).unwrap();
        fleet.observe_cached(40.0, n);
    }
    assert!(
        !fleet.view.is_last_holder(&machine(0)),
        "no machine fetches or waits for the image"
    );
    fleet.start(50.0, 7).unwrap();
    assert!(fleet.view.is_last_holder(&machine(0)));
    assert!(
        !fleet.view.is_last_holder(&machine(1)),
        "the zone has two copies"
    );
    fleet.view.remove_machine(&machine(4));
    assert!(fleet.view.is_last_holder(&machine(1)));
    fleet.observe_cached(90.0, 7);
    assert!(!fleet.view.is_last_holder(&machine(0)));
}
