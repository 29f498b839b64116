//! Scripted waves, and random ones with what always holds.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;

use crate::{Answer, Ask, Bounds, ImageRecord, Picture, Rank};

const GB: f64 = 40.0;

fn bounds(hand_on: bool) -> Bounds {
    Bounds {
        hand_on,
        pieces: true,
        sources: 4,
        load: 5,
        first: 8,
        least_s: 10.0,
        slowed: 2.5,
        stale_s: 10.0,
        most: 16,
    }
}

fn name(n: usize) -> String {
    format!("host-{n:06}")
}

fn zone(n: usize) -> &'static str {
    ["east", "west", "north"][n % 3]
}

fn ask_of<'a>(
    image: &'a &'static str,
    machine: &'a String,
    n: usize,
    tier: u8,
    shared: usize,
) -> Ask<'a, String, &'static str> {
    Ask {
        image,
        gb: GB,
        rate_gb_s: 1.0,
        machine,
        zone: zone(n),
        rank: Rank {
            tier,
            order: n as u64,
        },
        shared,
    }
}

/// Machines that take 1 GB/s by themselves, in three zones.
struct Play {
    picture: Picture<String, &'static str>,
    down: BTreeSet<String>,
    /// Images that each machine fetches at once.
    shared: usize,
}

impl Play {
    fn new(bounds: Bounds) -> Play {
        Play {
            picture: Picture::new(bounds),
            down: BTreeSet::new(),
            shared: 1,
        }
    }

    fn ask_as(&mut self, now: f64, image: &'static str, n: usize, tier: u8) -> Answer<String> {
        let (machine, down) = (name(n), &self.down);
        let ask = ask_of(&image, &machine, n, tier, self.shared);
        self.picture.ask(now, &ask, |m| !down.contains(m))
    }

    fn ask(&mut self, now: f64, n: usize) -> Answer<String> {
        self.ask_as(now, "weights", n, 1)
    }

    /// The holders, or `None` if it has to wait.
    fn begun(&mut self, now: f64, n: usize) -> Option<Vec<String>> {
        match self.ask(now, n) {
            Answer::Begin { holders } => Some(holders),
            Answer::Wait => None,
        }
    }

    fn fetching(&mut self, now: f64, n: usize) {
        let machine = name(n);
        let ask = ask_of(&"weights", &machine, n, 1, self.shared);
        self.picture.seen_fetching(now, &ask);
    }

    fn has(&mut self, now: f64, n: usize) {
        self.has_of(now, "weights", n);
    }

    fn has_of(&mut self, now: f64, image: &'static str, n: usize) {
        let machine = name(n);
        self.picture
            .has(now, &ask_of(&image, &machine, n, 1, self.shared));
    }

    /// Fetches that begin at `at` and take so long.
    fn fetch(&mut self, at: f64, machines: std::ops::Range<usize>, took_s: f64) {
        for n in machines.clone() {
            assert_eq!(self.begun(at, n), Some(vec![]));
        }
        for n in machines.clone() {
            self.fetching(at + took_s - 1.0, n);
        }
        for n in machines {
            self.has(at + took_s, n);
        }
    }

    fn at_the_store(&self) -> usize {
        let records = self.picture.records(|i| (*i).to_owned(), String::clone);
        records.get("weights").map_or(0, |r| r.from_store.len())
    }
}

#[test]
fn where_fetches_do_not_slow_each_other_all_begin_at_once() {
    let mut play = Play::new(bounds(false));
    // Give or take a third, and one machine in ten that hangs.
    for n in 0..500 {
        assert_eq!(play.begun(0.0, n), Some(vec![]));
    }
    for n in 0..500 {
        let took = match n % 10 {
            0 => 190.0,
            _ => 40.0 * (0.7 + 0.08 * (n % 10) as f64),
        };
        play.fetching(took - 1.0, n);
        play.has(took, n);
    }
    for n in 500..2000 {
        assert_eq!(play.begun(300.0, n), Some(vec![]));
    }
    assert!(
        play.picture
            .records(|i| (*i).to_owned(), String::clone)
            .is_empty()
    );
}

#[test]
fn a_store_that_slows_fetches_gives_to_as_many_as_it_can_and_the_most_urgent_first() {
    let mut play = Play::new(bounds(false));
    // 20 GB/s for 100 machines that take 1 GB/s each.
    play.fetch(0.0, 0..100, 200.0);
    let store = play.picture.rates().store_gb_s().unwrap();
    assert!((18.0..22.0).contains(&store), "{store}");
    let mut begun = Vec::new();
    for n in (100..300).rev() {
        let _ = play.ask(210.0, n);
    }
    for n in 100..300 {
        if play.begun(211.0, n).is_some() {
            begun.push(n);
        }
    }
    // The first that asked went at once; a quarter more than the store serves.
    assert!(begun.len() <= 25, "{begun:?}");
    let (fetching, waiting, _) = play.picture.counts(&"weights");
    assert_eq!((fetching, waiting), (25, 175));
    for n in 100..275 {
        assert_eq!(play.begun(255.0, n), None);
    }
    // Places fall free: they go to the least in rank, whoever asks first.
    for n in 290..300 {
        play.fetching(260.0, n);
        play.has(261.0, n);
    }
    let begun: Vec<usize> = (100..275)
        .rev()
        .filter(|n| play.begun(261.0, *n).is_some())
        .collect();
    let free = begun.len();
    assert!((8..=12).contains(&free), "{begun:?}");
    assert!(begun.iter().all(|n| *n < 100 + free), "{begun:?}");
    // Those that do not ask again lose their places, and one behind them goes on.
    for n in 285..290 {
        play.fetching(270.0, n);
        play.has(271.0, n);
    }
    assert_eq!(play.begun(271.0, 270), None);
    assert_eq!(play.begun(300.0, 270), Some(vec![]));
}

#[test]
fn machines_that_fetch_several_images_are_not_slowed_by_the_store() {
    // Guards against holding launches back after a start with cold caches.
    let mut play = Play::new(bounds(false));
    play.shared = 3;
    play.fetch(0.0, 0..100, 115.0);
    assert_eq!(play.picture.rates().store_gb_s(), None);
    for n in 100..400 {
        assert_eq!(play.begun(200.0, n), Some(vec![]));
    }
}

#[test]
fn one_machine_that_is_slow_says_nothing_of_the_store() {
    let mut play = Play::new(bounds(false));
    for round in 0..20 {
        play.fetch(1000.0 * round as f64, round..round + 1, 400.0);
        play.picture.lost(&"weights", &name(round));
    }
    assert_eq!(play.picture.rates().store_gb_s(), None);
}

#[test]
fn a_few_fetch_from_the_store_and_hand_on_to_the_rest_near_first() {
    let mut play = Play::new(bounds(true));
    let (mut store, mut near, mut far) = (0, 0, 0);
    for n in 0..1307 {
        let holders = play.begun(0.0, n).unwrap();
        store += usize::from(holders.is_empty());
        for holder in &holders {
            let other: usize = holder[5..].parse().unwrap();
            let same = zone(other) == zone(n);
            near += usize::from(same);
            far += usize::from(!same);
        }
    }
    assert_eq!(store, 8);
    assert!(near > 2 * far, "{near} near, {far} far");
}

#[test]
fn workers_that_hand_on_whole_images_only_begin_in_waves() {
    let mut play = Play::new(Bounds {
        pieces: false,
        ..bounds(true)
    });
    let mut had = 0;
    let mut waves = Vec::new();
    for wave in 0..8 {
        let at = 100.0 * f64::from(wave);
        let mut begun = Vec::new();
        for n in had..600 {
            if play.begun(at, n).is_some() {
                begun.push(n);
            }
        }
        for n in &begun {
            play.has(at + 50.0, *n);
        }
        had += begun.len();
        waves.push(begun.len());
        assert!(begun.iter().max().is_none_or(|n| *n == had - 1), "in turn");
    }
    assert_eq!(waves[0], 8);
    assert!(
        waves[1] >= 16 && waves.iter().sum::<usize>() == 600,
        "{waves:?}"
    );
}

#[test]
fn the_first_holders_die_and_others_take_their_places() {
    let mut play = Play::new(bounds(true));
    for n in 0..40 {
        play.begun(0.0, n).unwrap();
    }
    for n in 0..8 {
        play.picture.gone(&name(n));
    }
    assert_eq!(play.at_the_store(), 0);
    // Nobody has it: new ones go to the store, no more than at first.
    let holders: Vec<_> = (40..140).map(|n| play.begun(11.0, n).unwrap()).collect();
    assert_eq!(holders.iter().filter(|h| h.is_empty()).count(), 8);
    let dead: BTreeSet<String> = (0..8).map(name).collect();
    assert!(holders.iter().flatten().all(|h| !dead.contains(h)));
}

#[test]
fn holders_in_a_zone_that_is_cut_are_left_out_until_they_are_heard_again() {
    let mut play = Play::new(bounds(true));
    // All in one zone.
    for n in (0..60).map(|n| 3 * n) {
        play.begun(0.0, n).unwrap();
        play.has(50.0, n);
    }
    play.down = (0..60).map(|n| name(3 * n)).collect();
    let first: Vec<_> = (0..30).map(|n| play.begun(60.0, 3 * n + 1)).collect();
    // Eight to the store, the rest from those eight.
    let store = first.iter().flatten().filter(|h| h.is_empty()).count();
    assert_eq!((store, first.iter().flatten().count()), (8, 30));
    let cut = |h: &String| play.down.contains(h);
    assert!(!first.iter().flatten().flatten().any(cut));
    play.down.clear();
    for n in 0..60 {
        play.picture.heard(&name(3 * n));
    }
    let holders = play.begun(70.0, 181).unwrap();
    assert!(
        holders
            .iter()
            .any(|h| h[5..].parse::<usize>().unwrap() % 3 == 0)
    );
}

#[test]
fn a_successor_begins_nothing_anew_and_counts_what_the_store_gives_already() {
    let mut play = Play::new(bounds(true));
    for n in 0..200 {
        play.begun(0.0, n).unwrap();
    }
    // Twice in one wave.
    for round in 1..3 {
        let at = 10.0 * f64::from(round);
        let records = play.picture.records(|i| (*i).to_owned(), String::clone);
        let mut next = Play::new(bounds(true));
        let record = &records["weights"];
        next.picture
            .restore(at, "weights", record, |m| m.to_owned());
        // A new machine asks before any report of the others has come.
        let store_left = next.begun(at, 900 + round as usize);
        assert_eq!(store_left, None);
        for n in 0..200 {
            next.fetching(at + 1.0, n);
        }
        let (fetching, ..) = next.picture.counts(&"weights");
        assert_eq!((fetching, next.at_the_store()), (200, 8));
        assert!(!next.begun(at + 1.0, 500).unwrap().is_empty());
        // A launch told again goes as it would have gone.
        assert_eq!(next.picture.counts(&"weights").0, 201);
        next.picture.lost(&"weights", &name(500));
        play = next;
    }
}

#[test]
fn while_the_store_is_out_holders_serve_and_no_more_go_to_it() {
    let mut play = Play::new(bounds(true));
    for n in 0..8 {
        play.begun(0.0, n).unwrap();
    }
    for n in 0..8 {
        play.has(45.0, n);
    }
    for n in 8..200 {
        assert!(!play.begun(50.0, n).unwrap().is_empty(), "holders live");
    }
    // Another image that nobody has: as many as the store may serve, and no more
    // however long it takes.
    for n in 300..340 {
        let _ = play.ask_as(50.0, "other", n, 1);
    }
    let waits = |play: &mut Play, at| {
        let mut store = 0;
        for n in 340..400 {
            let answer = play.ask_as(at, "other", n, 1);
            store += usize::from(answer == Answer::Begin { holders: vec![] });
        }
        store
    };
    assert_eq!(waves_of(&play, "other"), 8);
    assert_eq!(waits(&mut play, 500.0), 0);
}

fn waves_of(play: &Play, image: &str) -> usize {
    let records = play.picture.records(|i| (*i).to_owned(), String::clone);
    records[image].from_store.len()
}

#[test]
fn replicas_cancelled_while_they_fetch_free_their_places_at_once() {
    let mut play = Play::new(bounds(true));
    for n in 0..8 {
        play.begun(0.0, n).unwrap();
    }
    for n in 0..8 {
        play.picture.gave_up(&"weights", &name(n));
    }
    assert_eq!(play.picture.counts(&"weights"), (0, 0, 0));
    assert_eq!(play.begun(6.0, 8), Some(vec![]));
    // One that has it whole keeps it, whoever is cancelled.
    play.has(50.0, 8);
    play.picture.gave_up(&"weights", &name(8));
    assert_eq!(play.picture.counts(&"weights"), (0, 0, 1));
}

#[test]
fn two_images_for_one_machine_come_one_after_the_other_by_urgency() {
    let mut play = Play::new(bounds(true));
    assert!(matches!(
        play.ask_as(0.0, "weights", 1, 1),
        Answer::Begin { .. }
    ));
    assert_eq!(play.ask_as(0.0, "other", 1, 2), Answer::Wait);
    // What is more urgent does not wait for what is less.
    assert!(matches!(
        play.ask_as(0.0, "urgent", 1, 0),
        Answer::Begin { .. }
    ));
    play.has(40.0, 1);
    assert_eq!(play.ask_as(41.0, "other", 1, 2), Answer::Wait);
    play.has_of(80.0, "urgent", 1);
    assert!(matches!(
        play.ask_as(81.0, "other", 1, 2),
        Answer::Begin { .. }
    ));
}

#[test]
fn the_last_holder_of_a_zone_stays_while_others_want_its_image() {
    let mut play = Play::new(bounds(true));
    for n in [0, 1, 4] {
        play.begun(0.0, n).unwrap();
        play.has(40.0, n);
    }
    assert!(!play.picture.is_last_holder(&name(0)), "nobody wants it");
    play.begun(50.0, 7).unwrap();
    assert!(play.picture.is_last_holder(&name(0)));
    assert!(!play.picture.is_last_holder(&name(1)), "its zone has two");
    play.picture.gone(&name(4));
    assert!(play.picture.is_last_holder(&name(1)));
    play.has(90.0, 7);
    assert!(!play.picture.is_last_holder(&name(0)));
}

#[test]
fn a_record_that_makes_no_sense_is_refused_with_a_reason() {
    let good = ImageRecord {
        image: "weights".into(),
        gb: 40.0,
        from_store: vec![],
        store_gb_s: Some(f64::NAN),
        handed_gb_s: None,
    };
    assert_eq!(good.check(), Ok(()));
    let mut picture: Picture<String, &str> = Picture::new(bounds(true));
    picture.restore(0.0, "weights", &good, |m| m.to_owned());
    assert_eq!(picture.rates().store_gb_s(), None);
    let bad = [
        ImageRecord {
            image: String::new(),
            ..good.clone()
        },
        ImageRecord {
            gb: f64::INFINITY,
            ..good.clone()
        },
        ImageRecord {
            from_store: vec!["m".into(); 65],
            ..good
        },
    ];
    assert!(bad.iter().all(|record| record.check().is_err()));
}

proptest! {
    /// Whatever is asked, ends, dies or hangs: no machine is told to give to more
    /// than its load, nobody is sent to one that can't be used or has nothing, none
    /// waits for itself in a ring, and no place is lost when all is over.
    #[test]
    fn loads_are_kept_and_nobody_waits_for_himself(
        steps in prop::collection::vec((0usize..6, 0usize..60, 0usize..2), 1..400),
        pieces in any::<bool>(),
    ) {
        let mut play = Play::new(Bounds { pieces, ..bounds(true) });
        let images = ["weights", "other"];
        // Whom each fetch under way was sent to.
        let mut told: BTreeMap<(usize, usize), Vec<String>> = BTreeMap::new();
        let mut whole: BTreeSet<(usize, usize)> = BTreeSet::new();
        let mut now = 0.0;
        for (step, n, i) in steps {
            now += 1.0;
            let key = (n, i);
            match step {
                0 | 1 => {
                    let known = told.contains_key(&key) || whole.contains(&key);
                    let answer = play.ask_as(now, images[i], n, i as u8);
                    if let Answer::Begin { holders } = answer && !known {
                        prop_assert!(holders.len() <= 4);
                        for holder in &holders {
                            prop_assert!(!play.down.contains(holder));
                            let from = (holder[5..].parse().unwrap(), i);
                            prop_assert!(whole.contains(&from) || (pieces && told.contains_key(&from)));
                            // None of those that it waits for waits for it.
                            let mut open = vec![from];
                            while let Some(at) = open.pop() {
                                prop_assert!(at != key);
                                let next = told.get(&at).into_iter().flatten();
                                open.extend(next.map(|m| (m[5..].parse().unwrap(), i)));
                            }
                        }
                        told.insert(key, holders);
                    }
                }
                2 => if told.remove(&key).is_some() {
                    play.has_of(now, images[i], n);
                    whole.insert(key);
                },
                3 => {
                    // Its readers drop it: what it fetches next is another fetch.
                    play.picture.gone(&name(n));
                    for holders in told.values_mut() {
                        holders.retain(|h| *h != name(n));
                    }
                    for i in 0..2 {
                        told.remove(&(n, i));
                        whole.remove(&(n, i));
                    }
                }
                4 => {
                    play.down.insert(name(n));
                }
                _ => {
                    play.down.remove(&name(n));
                    play.picture.heard(&name(n));
                }
            }
            let mut load: BTreeMap<&String, u32> = BTreeMap::new();
            for holder in told.values().flatten() {
                *load.entry(holder).or_default() += 1;
            }
            prop_assert!(load.values().all(|n| *n <= 5));
        }
        for n in 0..60 {
            play.picture.gone(&name(n));
        }
        for image in images {
            prop_assert_eq!(play.picture.counts(&image), (0, 0, 0));
        }
        play.down.clear();
        let store = (0..40).filter(|n| play.begun(now + 100.0, *n) == Some(vec![])).count();
        prop_assert!(store >= 8, "{}", store);
    }
}
