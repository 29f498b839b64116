//! Who has which image, who is fetching it from whom, and who waits.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

use crate::{Bounds, Fetched, ImageRecord, Rates};

/// Waiting machines that are looked at for one answer, and holders that are found
/// unusable meanwhile: an answer costs the same however many there are.
const LOOKS: usize = 64;
/// A fetch from the store that takes so many times its machine's own time is no
/// longer counted on, as long as others come to their end.
const OVERDUE: f64 = 3.0;

/// What a predecessor's record names is counted for so many seconds: by then every
/// machine that lives has shown what it fetches.
const RECORDED_S: f64 = 30.0;

/// How urgent a launch is: the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// 0 is the highest tier.
    pub tier: u8,
    /// Within the tier.
    pub order: u64,
}

/// A machine that is about to be told a launch whose image it does not have.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a, M, I> {
    pub image: &'a I,
    pub gb: f64,
    /// What the machine's type fetches by itself, in GB/s.
    pub rate_gb_s: f64,
    pub machine: &'a M,
    pub zone: &'a str,
    pub rank: Rank,
    /// Images that the machine fetches at once, this one included: they share its rate.
    pub shared: usize,
}

/// What to do about it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer<M> {
    /// Launch now; the fetch goes to these holders, or to the store if there are none.
    Begin { holders: Vec<M> },
    /// Not yet: it would only slow others that go first.
    Wait,
}

/// A fetch under way.
#[derive(Debug, Clone)]
struct Fetch<M> {
    since: f64,
    /// When a report last showed it under way.
    seen_at: f64,
    nominal_s: f64,
    /// The most images that its machine was seen to fetch at once.
    shared: usize,
    rank: Rank,
    /// Each with the birth of its entry: a machine that is gone and back is another.
    sources: Vec<(M, u64)>,
    /// From the store, and the store's fetches over time when it began.
    store: Option<f64>,
    /// Taken over from a predecessor: when it began is not known.
    adopted: bool,
    hop: u32,
}

#[derive(Debug, Clone)]
enum Hold<M> {
    Whole,
    Part(Fetch<M>),
}

impl<M> Hold<M> {
    /// Hops from a machine that has all of it.
    fn hop(&self) -> u32 {
        match self {
            Hold::Whole => 0,
            Hold::Part(fetch) => fetch.hop,
        }
    }
}

#[derive(Debug, Clone)]
struct Place<M, I: Ord> {
    zone: String,
    born: u64,
    /// Fetches that were told to take from it.
    load: u32,
    /// Found unusable when it was chosen, until it is heard of again.
    aside: bool,
    holds: BTreeMap<I, Hold<M>>,
}

/// One image.
#[derive(Debug, Clone)]
struct Wave<M: Ord> {
    gb: f64,
    /// Holders with room, by zone: fewest hops first, then the least load.
    open: BTreeMap<String, BTreeSet<(u32, u32, M)>>,
    /// What is left of their loads, in all.
    spare: u64,
    queue: BTreeSet<(Rank, M)>,
    queued: BTreeMap<M, (Rank, f64)>,
    fetching: usize,
    whole: BTreeMap<String, usize>,
    /// How many of those can be used, as far as known.
    whole_usable: usize,
    /// Fetches from the store that a predecessor's record names.
    recorded: BTreeSet<M>,
    recorded_at: f64,
    used_at: f64,
}

impl<M: Ord> Wave<M> {
    fn new(gb: f64, now: f64) -> Wave<M> {
        Wave {
            gb,
            open: BTreeMap::new(),
            spare: 0,
            queue: BTreeSet::new(),
            queued: BTreeMap::new(),
            fetching: 0,
            whole: BTreeMap::new(),
            whole_usable: 0,
            recorded: BTreeSet::new(),
            recorded_at: now,
            used_at: now,
        }
    }

    fn is_under_way(&self) -> bool {
        self.fetching > 0 || !self.queue.is_empty()
    }

    fn dequeue(&mut self, machine: &M)
    where
        M: Clone,
    {
        if let Some((rank, _)) = self.queued.remove(machine) {
            self.queue.remove(&(rank, machine.clone()));
        }
    }
}

/// All images that count, and their machines.
#[derive(Debug, Clone)]
pub struct Picture<M: Ord, I: Ord> {
    bounds: Bounds,
    rates: Rates,
    waves: BTreeMap<I, Wave<M>>,
    places: BTreeMap<M, Place<M, I>>,
    births: u64,
    /// Fetches from the store by their beginning, in milliseconds.
    from_store: BTreeSet<(u64, M, I)>,
    /// How many there were over time, up to `area_at`.
    area: f64,
    area_at: f64,
    last_from_store: f64,
}

impl<M: Ord + Clone + Debug, I: Ord + Clone + Debug> Picture<M, I> {
    pub fn new(bounds: Bounds) -> Picture<M, I> {
        Picture {
            bounds,
            rates: Rates::default(),
            waves: BTreeMap::new(),
            places: BTreeMap::new(),
            births: 0,
            from_store: BTreeSet::new(),
            area: 0.0,
            area_at: 0.0,
            last_from_store: f64::NEG_INFINITY,
        }
    }

    pub fn rates(&self) -> &Rates {
        &self.rates
    }

    /// Machines that fetch the image, that wait to, and that have it.
    pub fn counts(&self, image: &I) -> (usize, usize, usize) {
        self.waves.get(image).map_or((0, 0, 0), |w| {
            (w.fetching, w.queue.len(), w.whole.values().sum())
        })
    }

    /// Whether an image is large enough to count for a machine of this rate.
    pub fn is_large(&self, gb: f64, rate_gb_s: f64) -> bool {
        gb / rate_gb_s.max(1e-6) >= self.bounds.least_s
    }

    /// Whether machines wait for their turn, so that an answer may differ from
    /// "begin".
    pub fn waits(&self, image: &I, machine: &M) -> bool {
        let wave = self.waves.get(image);
        wave.is_some_and(|w| w.queued.contains_key(machine))
    }

    /// A launch of a task whose image the machine does not have is about to be told.
    /// "Begin" counts as told. `usable` says whether a machine may hand on now: heard of,
    /// not to be taken back, not about to lapse.
    pub fn ask(&mut self, now: f64, ask: &Ask<'_, M, I>, usable: impl Fn(&M) -> bool) -> Answer<M> {
        let at_once = Answer::Begin {
            holders: Vec::new(),
        };
        if !self.is_large(ask.gb, ask.rate_gb_s) || self.has_any(ask.image, ask.machine) {
            return at_once;
        }
        if !self.waves.contains_key(ask.image) && !self.make_room(now, ask.image, ask.gb) {
            return at_once;
        }
        // Its fetches share its rate: the more urgent goes on alone.
        let before = |hold: &Hold<M>| matches!(hold, Hold::Part(f) if f.rank <= ask.rank);
        let busy = self.places.get(ask.machine);
        if self.bounds.hand_on && busy.is_some_and(|p| p.holds.values().any(before)) {
            return Answer::Wait;
        }
        let free = self.store_slots_left(now, ask.rate_gb_s);
        if !self.is_in_turn(now, ask, free) {
            return Answer::Wait;
        }
        let holders = self.choose(ask, free, usable);
        if holders.is_empty() && free == 0 {
            return Answer::Wait;
        }
        self.begin(now, ask, holders.clone());
        Answer::Begin { holders }
    }

    /// Whether the machine is among the most urgent that can begin now; it is
    /// queued if not.
    fn is_in_turn(&mut self, now: f64, ask: &Ask<'_, M, I>, free: usize) -> bool {
        let (sources, stale_s) = (self.bounds.sources.max(1), self.bounds.stale_s);
        let Some(wave) = self.waves.get_mut(ask.image) else {
            return true;
        };
        wave.used_at = now;
        if free == usize::MAX {
            wave.dequeue(ask.machine);
            return true;
        }
        if wave.queued.get(ask.machine).map(|(rank, _)| *rank) != Some(ask.rank) {
            wave.dequeue(ask.machine);
            wave.queue.insert((ask.rank, ask.machine.clone()));
        }
        wave.queued.insert(ask.machine.clone(), (ask.rank, now));
        // So many begin that holders have room for.
        let handed = match self.bounds.hand_on {
            true => (wave.spare as usize).div_ceil(sources),
            false => 0,
        };
        let most = free.saturating_add(handed).min(LOOKS);
        let mut stale = Vec::new();
        let mut ahead = 0;
        for (_, machine) in &wave.queue {
            if machine == ask.machine || ahead >= most {
                break;
            }
            match wave.queued.get(machine) {
                Some((_, at)) if now - at <= stale_s => ahead += 1,
                _ => stale.push(machine.clone()),
            }
            if stale.len() >= LOOKS {
                break;
            }
        }
        for machine in stale {
            wave.dequeue(&machine);
        }
        ahead < most
    }

    /// The holders for a fetch; none if it is the store's turn, or nobody can.
    fn choose(&mut self, ask: &Ask<'_, M, I>, free: usize, usable: impl Fn(&M) -> bool) -> Vec<M> {
        if !self.bounds.hand_on {
            return Vec::new();
        }
        let wanted = self.bounds.sources.max(1);
        let mut chosen: Vec<M> = Vec::new();
        // Near first, and one from elsewhere, so that a cut zone does not leave a
        // machine without any.
        let zones: Vec<String> = self.waves.get(ask.image).map_or(Vec::new(), |w| {
            let near = w.open.keys().filter(|z| *z == ask.zone);
            let mut far: Vec<_> = (w.open.iter())
                .filter(|(z, _)| *z != ask.zone)
                .map(|(z, open)| (open.first().map(|(hop, load, _)| (*hop, *load)), z))
                .collect();
            far.sort();
            let far = far.into_iter().map(|(_, zone)| zone);
            near.chain(far).cloned().collect()
        });
        let near = zones.first().is_some_and(|z| z == ask.zone);
        let keep_for_far = usize::from(near && zones.len() > 1 && wanted > 1);
        let mut looks = 0;
        let mut set_aside = Vec::new();
        for round in 0..2 {
            for zone in &zones {
                let here = zone == ask.zone;
                let limit = match round {
                    0 if here => wanted - keep_for_far,
                    _ => wanted,
                };
                let open = self.waves.get(ask.image).and_then(|w| w.open.get(zone));
                for (_, _, machine) in open.into_iter().flatten() {
                    if chosen.len() >= limit || looks >= LOOKS {
                        break;
                    }
                    if chosen.contains(machine) || machine == ask.machine {
                        continue;
                    }
                    looks += 1;
                    if usable(machine) {
                        chosen.push(machine.clone());
                    } else if !set_aside.contains(machine) {
                        set_aside.push(machine.clone());
                    }
                }
            }
        }
        for machine in set_aside {
            self.change(&machine, |place| place.aside = true);
        }
        // Enough whole holders spare the store; pieces come from machines that need
        // the image themselves, and somebody must have brought it first.
        let whole = self.waves.get(ask.image).map_or(0, |w| w.whole_usable);
        if free > 0 && (whole < wanted || !self.is_handed_fast(ask.rate_gb_s)) {
            return Vec::new();
        }
        chosen
    }

    /// Whether holders give about as fast as the machine takes, as far as known.
    fn is_handed_fast(&self, rate_gb_s: f64) -> bool {
        let handed = self.rates.handed_gb_s();
        handed.is_none_or(|handed| 2.0 * handed >= rate_gb_s)
    }

    fn begin(&mut self, now: f64, ask: &Ask<'_, M, I>, holders: Vec<M>) {
        let hop = |machine: &M| {
            let hold = self.places.get(machine)?.holds.get(ask.image)?;
            Some(hold.hop())
        };
        let hop = holders.iter().filter_map(hop).max().map_or(1, |h| h + 1);
        let store = holders.is_empty();
        let mut sources = Vec::new();
        for holder in holders {
            self.change(&holder, |place| place.load += 1);
            if let Some(place) = self.places.get(&holder) {
                sources.push((holder, place.born));
            }
        }
        let fetch = Fetch {
            since: now,
            seen_at: now,
            nominal_s: ask.gb / ask.rate_gb_s.max(1e-6),
            shared: ask.shared.max(1),
            rank: ask.rank,
            sources,
            store: store.then(|| self.area_until(now)),
            adopted: false,
            hop,
        };
        self.insert_fetch(now, ask.image, ask.gb, ask.machine, ask.zone, fetch);
    }

    fn insert_fetch(
        &mut self,
        now: f64,
        image: &I,
        gb: f64,
        machine: &M,
        zone: &str,
        fetch: Fetch<M>,
    ) {
        if fetch.store.is_some() {
            self.area_until(now);
            self.from_store
                .insert((to_ms(fetch.since), machine.clone(), image.clone()));
        }
        let wave = self
            .waves
            .entry(image.clone())
            .or_insert_with(|| Wave::new(gb, now));
        wave.dequeue(machine);
        wave.fetching += 1;
        wave.used_at = now;
        self.put(image, machine, zone, Hold::Part(fetch));
    }

    /// A report shows that the machine still waits for the image. `gb` and
    /// `rate_gb_s` as in [`Ask`]; a fetch that a predecessor began is taken as it is.
    pub fn seen_fetching(&mut self, now: f64, ask: &Ask<'_, M, I>) {
        let place = self.places.get_mut(ask.machine);
        match place.and_then(|p| p.holds.get_mut(ask.image)) {
            Some(Hold::Part(fetch)) => {
                fetch.seen_at = now;
                fetch.shared = fetch.shared.max(ask.shared);
            }
            Some(Hold::Whole) => {}
            None => {
                if !self.is_large(ask.gb, ask.rate_gb_s)
                    || (!self.waves.contains_key(ask.image)
                        && !self.make_room(now, ask.image, ask.gb))
                {
                    return;
                }
                let wave = self.waves.get_mut(ask.image);
                let store = wave.is_some_and(|w| w.recorded.remove(ask.machine));
                let fetch = Fetch {
                    since: now,
                    seen_at: now,
                    nominal_s: ask.gb / ask.rate_gb_s.max(1e-6),
                    shared: ask.shared.max(1),
                    rank: ask.rank,
                    sources: Vec::new(),
                    store: store.then(|| self.area_until(now)),
                    adopted: true,
                    hop: if store { 1 } else { 2 },
                };
                self.insert_fetch(now, ask.image, ask.gb, ask.machine, ask.zone, fetch);
                // Whom it gives to already is not known.
                let load = self.bounds.load.saturating_sub(1);
                self.change(ask.machine, |place| place.load = place.load.max(load));
            }
        }
    }

    /// The machine has the image.
    pub fn has(&mut self, now: f64, ask: &Ask<'_, M, I>) {
        let Ask {
            image,
            gb,
            machine,
            zone,
            ..
        } = *ask;
        self.area_until(now);
        let hold = self.places.get(machine).and_then(|p| p.holds.get(image));
        match hold.cloned() {
            Some(Hold::Whole) => return,
            Some(Hold::Part(fetch)) => {
                if let Some(fetched) = self.ended(now, gb, &fetch) {
                    self.rates.learn(&fetched, &self.bounds);
                }
                if fetch.store.is_some() {
                    self.last_from_store = now;
                }
                self.end_fetch(image, machine);
            }
            None if self.waves.contains_key(image) => {}
            // Who may hand on is known before anybody asks.
            None if self.bounds.hand_on
                && self.is_large(gb, ask.rate_gb_s)
                && self.make_room(now, image, gb) => {}
            None => return,
        }
        if let Some(wave) = self.waves.get_mut(image) {
            wave.dequeue(machine);
            wave.recorded.remove(machine);
            *wave.whole.entry(zone.to_owned()).or_default() += 1;
        }
        self.put(image, machine, zone, Hold::Whole);
    }

    /// What a fetch that ends now teaches.
    fn ended(&mut self, now: f64, gb: f64, fetch: &Fetch<M>) -> Option<Fetched> {
        let took_s = now - fetch.since;
        if fetch.adopted || took_s <= 0.0 {
            return None;
        }
        let beside = fetch
            .store
            .map(|before| (self.area_until(now) - before) / took_s);
        Some(Fetched {
            gb,
            nominal_s: fetch.nominal_s * fetch.shared as f64,
            least_s: fetch.seen_at - fetch.since,
            most_s: took_s,
            beside,
        })
    }

    /// The machine does not have the image any more, or has given up its fetch.
    pub fn lost(&mut self, image: &I, machine: &M) {
        if let Some(wave) = self.waves.get_mut(image) {
            wave.dequeue(machine);
        }
        self.end_fetch(image, machine);
        self.take(image, machine);
        if self.places.get(machine).is_some_and(|p| p.holds.is_empty()) {
            self.places.remove(machine);
        }
    }

    /// The fetch was given up, if it is still one.
    pub fn gave_up(&mut self, image: &I, machine: &M) {
        let hold = self.places.get(machine).and_then(|p| p.holds.get(image));
        match hold {
            Some(Hold::Part(_)) => self.lost(image, machine),
            Some(Hold::Whole) => {}
            None => {
                if let Some(wave) = self.waves.get_mut(image) {
                    wave.dequeue(machine);
                }
            }
        }
    }

    /// The machine is gone with all that it has.
    pub fn gone(&mut self, machine: &M) {
        let images: Vec<I> = match self.places.get(machine) {
            Some(place) => place.holds.keys().cloned().collect(),
            None => Vec::new(),
        };
        for image in images {
            self.lost(&image, machine);
        }
        for wave in self.waves.values_mut() {
            wave.dequeue(machine);
            wave.recorded.remove(machine);
        }
    }

    /// A report came from the machine: it may be chosen again.
    pub fn heard(&mut self, machine: &M) {
        if self.places.get(machine).is_some_and(|p| p.aside) {
            self.change(machine, |place| place.aside = false);
        }
    }

    /// Whether the machine has an image that nobody else in its zone has, while others
    /// fetch it or wait to: it is not returned.
    pub fn is_last_holder(&self, machine: &M) -> bool {
        if !self.bounds.hand_on {
            return false;
        }
        let Some(place) = self.places.get(machine) else {
            return false;
        };
        place.holds.iter().any(|(image, hold)| {
            let wave = self.waves.get(image).filter(|w| w.is_under_way());
            let alone = |w: &Wave<M>| w.whole.get(&place.zone) == Some(&1);
            matches!(hold, Hold::Whole) && wave.is_some_and(alone)
        })
    }

    /// The records of images under way, by image; none without handing on, where reports
    /// show all that a successor needs.
    pub fn records(
        &self,
        name: impl Fn(&I) -> String,
        machine_name: impl Fn(&M) -> String,
    ) -> BTreeMap<String, ImageRecord> {
        if !self.bounds.hand_on {
            return BTreeMap::new();
        }
        let under_way = self.waves.iter().filter(|(_, w)| w.is_under_way());
        let mut records: BTreeMap<I, ImageRecord> = under_way
            .map(|(image, wave)| {
                let record = ImageRecord {
                    image: name(image),
                    gb: wave.gb,
                    from_store: Vec::new(),
                    store_gb_s: self.rates.store_gb_s(),
                    handed_gb_s: self.rates.handed_gb_s(),
                };
                (image.clone(), record)
            })
            .collect();
        for (_, machine, image) in &self.from_store {
            if let Some(record) = records.get_mut(image)
                && record.from_store.len() < ImageRecord::MACHINES_MOST
            {
                record.from_store.push(machine_name(machine));
            }
        }
        records
            .into_values()
            .map(|record| (record.image.clone(), record))
            .collect()
    }

    /// What a predecessor recorded of an image. Its fetches are taken from reports as
    /// they come; none is begun anew.
    pub fn restore(
        &mut self,
        now: f64,
        image: I,
        record: &ImageRecord,
        machine: impl Fn(&str) -> M,
    ) {
        if self.rates == Rates::default() {
            self.rates = Rates::known(record.store_gb_s, record.handed_gb_s);
        }
        if !self.make_room(now, &image, record.gb) {
            return;
        }
        if let Some(wave) = self.waves.get_mut(&image) {
            wave.recorded_at = now;
            wave.recorded = record.from_store.iter().map(|m| machine(m)).collect();
        }
    }

    fn has_any(&self, image: &I, machine: &M) -> bool {
        let place = self.places.get(machine);
        place.is_some_and(|p| p.holds.contains_key(image))
    }

    /// Room for one more image: the one that has not been wanted for longest goes.
    fn make_room(&mut self, now: f64, image: &I, gb: f64) -> bool {
        if self.waves.contains_key(image) {
            return true;
        }
        if self.waves.len() >= self.bounds.most.max(1) {
            let idle = self.waves.iter().filter(|(_, w)| !w.is_under_way());
            let oldest = idle.min_by(|a, b| a.1.used_at.total_cmp(&b.1.used_at));
            let Some(oldest) = oldest.map(|(image, _)| image.clone()) else {
                return false;
            };
            let holders: Vec<M> = self
                .places
                .iter()
                .filter(|(_, p)| p.holds.contains_key(&oldest))
                .map(|(m, _)| m.clone())
                .collect();
            for machine in holders {
                self.lost(&oldest, &machine);
            }
            self.waves.remove(&oldest);
        }
        self.waves.insert(image.clone(), Wave::new(gb, now));
        true
    }

    /// Fetches from the store that may begin now.
    fn store_slots_left(&self, now: f64, rate_gb_s: f64) -> usize {
        let slots = self.rates.slots(rate_gb_s, &self.bounds);
        if slots == usize::MAX {
            return slots;
        }
        let mut overdue = 0;
        for (since, machine, image) in &self.from_store {
            let place = self.places.get(machine);
            let Some(Hold::Part(fetch)) = place.and_then(|p| p.holds.get(image)) else {
                continue;
            };
            let late_at = from_ms(*since) + OVERDUE * fetch.nominal_s;
            // While nobody comes to an end it is the store, and more would not help.
            if now <= late_at || self.last_from_store <= late_at {
                break;
            }
            overdue += 1;
        }
        let fresh = |w: &&Wave<M>| now - w.recorded_at <= RECORDED_S;
        let recorded = self.waves.values().filter(fresh);
        let recorded: usize = recorded.map(|w| w.recorded.len()).sum();
        slots.saturating_sub(self.from_store.len() - overdue + recorded)
    }

    /// The store's fetches over time. It is brought up to date before any begins and
    /// with every end that is taken in; one that is given up counts until then.
    fn area_until(&mut self, now: f64) -> f64 {
        self.area += (now - self.area_at).max(0.0) * self.from_store.len() as f64;
        self.area_at = now.max(self.area_at);
        self.area
    }

    /// A fetch is over, however it ended: its sources are free for others.
    fn end_fetch(&mut self, image: &I, machine: &M) {
        let place = self.places.get(machine);
        let Some(Hold::Part(fetch)) = place.and_then(|p| p.holds.get(image)) else {
            return;
        };
        let (since, sources) = (fetch.since, fetch.sources.clone());
        if fetch.store.is_some() {
            self.from_store
                .remove(&(to_ms(since), machine.clone(), image.clone()));
        }
        self.take(image, machine);
        if let Some(wave) = self.waves.get_mut(image) {
            wave.fetching -= 1;
        }
        for (source, born) in sources {
            if self.places.get(&source).is_some_and(|p| p.born == born) {
                self.change(&source, |place| place.load = place.load.saturating_sub(1));
            }
        }
    }

    fn put(&mut self, image: &I, machine: &M, zone: &str, hold: Hold<M>) {
        self.change_place(machine, Some(zone), |place| {
            place.holds.insert(image.clone(), hold);
        });
    }

    fn take(&mut self, image: &I, machine: &M) {
        let place = self.places.get(machine);
        if let Some(Hold::Whole) = place.and_then(|p| p.holds.get(image))
            && let Some(zone) = place.map(|p| p.zone.clone())
            && let Some(wave) = self.waves.get_mut(image)
            && let Some(count) = wave.whole.get_mut(&zone)
        {
            *count -= 1;
            if *count == 0 {
                wave.whole.remove(&zone);
            }
        }
        self.change(machine, |place| {
            place.holds.remove(image);
        });
    }

    fn change(&mut self, machine: &M, change: impl FnOnce(&mut Place<M, I>)) {
        self.change_place(machine, None, change);
    }

    /// Changes a machine's entry, and where it stands among those with room.
    fn change_place(
        &mut self,
        machine: &M,
        zone: Option<&str>,
        change: impl FnOnce(&mut Place<M, I>),
    ) {
        self.enlist(machine, false);
        let place = match (self.places.get_mut(machine), zone) {
            (Some(place), _) => place,
            (None, Some(zone)) => {
                self.births += 1;
                self.places.entry(machine.clone()).or_insert(Place {
                    zone: zone.to_owned(),
                    born: self.births,
                    load: 0,
                    aside: false,
                    holds: BTreeMap::new(),
                })
            }
            (None, None) => return,
        };
        change(place);
        self.enlist(machine, true);
    }

    fn enlist(&mut self, machine: &M, add: bool) {
        let Some(place) = self.places.get(machine) else {
            return;
        };
        if place.aside {
            return;
        }
        let left = u64::from(self.bounds.load.saturating_sub(place.load));
        for (image, hold) in &place.holds {
            if matches!(hold, Hold::Whole)
                && let Some(wave) = self.waves.get_mut(image)
            {
                if add {
                    wave.whole_usable += 1;
                } else {
                    wave.whole_usable -= 1;
                }
            }
            if left == 0 {
                continue;
            }
            if matches!(hold, Hold::Part(_)) && !self.bounds.pieces {
                continue;
            }
            let Some(wave) = self.waves.get_mut(image) else {
                continue;
            };
            let entry = (hold.hop(), place.load, machine.clone());
            if add {
                let open = wave.open.entry(place.zone.clone()).or_default();
                open.insert(entry);
                wave.spare += left;
            } else if let Some(open) = wave.open.get_mut(&place.zone) {
                open.remove(&entry);
                wave.spare -= left;
                if open.is_empty() {
                    wave.open.remove(&place.zone);
                }
            }
        }
    }
}

fn to_ms(at: f64) -> u64 {
    (at.max(0.0) * 1000.0) as u64
}

fn from_ms(at: u64) -> f64 {
    at as f64 / 1000.0
}
