use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use tracing::info;
use umbersail_cycle::ImageKey;
use umbersail_policy::Shape;
use umbersail_wire::Priority;

use super::reachability::Reachability;
use super::{JobId, MachineId, Time};

/// Room that an eviction makes, kept for the job that asked for it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Claim {
    pub claimant: JobId,
    pub tier: Priority,
    pub until: Time,
}

pub(crate) struct Machine {
    pub name: MachineId,
    /// Absent while the catalogue does not know the type.
    pub type_index: Option<usize>,
    pub zone: String,
    pub spot: bool,
    pub addr: Option<SocketAddr>,
    /// Its newest report shows our token: it obeys nobody before us.
    pub fenced: bool,
    /// When its first report with our token came: until then an earlier holder,
    /// or a peer in that one's stead, may have renewed its lease unknown to us.
    pub first_fenced_at: Option<Time>,
    /// May hold tasks that an earlier holder started, unknown to us.
    pub inherited: bool,
    /// (session, seq) of its newest report.
    pub heartbeat_order: (u64, u64),
    pub last_heartbeat: Option<Time>,
    /// When it was last answered by us or, as far as we were told, by a peer
    /// in anybody's stead.
    pub last_reply: Option<Time>,
    pub lease_expired: bool,
    /// Listed, rented, in the grant, or has shown our token: not a late copy of
    /// a report of one that is gone.
    pub confirmed: bool,
    pub reachability: Reachability,
    /// Raised by each increment; its epoch is always ours.
    pub token: u64,
    pub token_incremented_at: Option<Time>,
    pub reclaim_at: Option<Time>,
    pub reclaim_handled: bool,
    pub quarantined: bool,
    /// Errors since the last success here, by the job that met them.
    pub errors_by_job: BTreeMap<JobId, u32>,
    /// Since when they are enough to hold it for faulty.
    pub suspected_faulty_at: Option<Time>,
    pub allocated: Shape,
    /// Lower tiers keep off, so that the room of the first task that is gone is
    /// not filled before the others are.
    pub claim: Option<Claim>,
    /// Plans that keep it for their own, one bit each: others keep off.
    pub reservations: u64,
    pub tasks: BTreeSet<(JobId, u32)>,
    /// Shows active tasks of jobs that are over; they are being stopped.
    pub has_orphaned_tasks: bool,
    /// Among them some that nothing says the size of: they count by the whole
    /// machine (rule 4).
    pub has_unsized_orphans: bool,
    /// Images it has, the newest last, and their sizes in the same order.
    pub images: Vec<ImageKey>,
    pub image_sizes: Vec<f64>,
    /// Images that its tasks use, each with how many of them.
    pub image_uses: Vec<(ImageKey, u32)>,
    /// The part of the grant's record that names it, or shall.
    pub grant_part: Option<usize>,
    /// The state service holds that it is ours: tasks may be started here.
    pub grant_recorded: bool,
    pub created_at: Time,
    pub idle_since: Time,
    pub listed: bool,
    pub lists_missed: u32,
    pub delete_reason: Option<&'static str>,
    pub delete_requested: bool,
}

impl Machine {
    pub fn new(
        name: MachineId,
        type_index: Option<usize>,
        zone: String,
        spot: bool,
        now: Time,
    ) -> Machine {
        Machine {
            name,
            type_index,
            zone,
            spot,
            addr: None,
            fenced: false,
            first_fenced_at: None,
            inherited: false,
            heartbeat_order: (0, 0),
            last_heartbeat: None,
            last_reply: None,
            lease_expired: false,
            confirmed: true,
            reachability: Reachability::default(),
            token: 0,
            token_incremented_at: None,
            reclaim_at: None,
            reclaim_handled: false,
            quarantined: false,
            errors_by_job: BTreeMap::new(),
            suspected_faulty_at: None,
            allocated: Shape::default(),
            claim: None,
            reservations: 0,
            tasks: BTreeSet::new(),
            has_orphaned_tasks: false,
            has_unsized_orphans: false,
            images: Vec::new(),
            image_sizes: Vec::new(),
            image_uses: Vec::new(),
            grant_part: None,
            grant_recorded: false,
            created_at: now,
            idle_since: now,
            listed: false,
            lists_missed: 0,
            delete_reason: None,
            delete_requested: false,
        }
    }

    pub fn session(&self) -> u64 {
        self.heartbeat_order.0
    }

    pub fn silent_for(&self, now: Time) -> f64 {
        self.last_heartbeat.map_or(f64::INFINITY, |at| now - at)
    }

    /// When its lease was last renewed at the latest, as far as that is known
    /// without asking our peers (rule 3). `silenced_at` is when an earlier
    /// holder and its peers must have stopped answering.
    ///
    /// The first report with our token bounds what others did before it, and
    /// nothing but that does: a machine that got our token by direct command
    /// may never have been answered by us, and what a peer tells of its own
    /// answers says nothing of the earlier holder's.
    pub fn latest_renewal(&self, silenced_at: Time) -> Time {
        let others = self.first_fenced_at.unwrap_or(silenced_at);
        self.last_reply.map_or(others, |at| at.max(others))
    }

    /// Takes in a report's notice that the cloud takes the machine back, or that it does
    /// not any more.
    pub fn update_reclaim_notice(&mut self, now: Time, notice_s: Option<f64>) {
        let Some(notice_s) = notice_s.filter(|notice| notice.is_finite()) else {
            self.reclaim_at = None;
            return;
        };
        if self.reclaim_at.is_none() {
            info!(machine = &*self.name, notice_s, "to be taken back: drained");
            self.reclaim_handled = false;
        }
        self.reclaim_at = Some(now + notice_s.max(0.0));
    }

    /// Whether new tasks may be planned here.
    pub fn accepts_tasks(&self, now: Time, silent_after: f64) -> bool {
        self.fenced
            && self.type_index.is_some()
            && !self.has_orphaned_tasks
            && !self.quarantined
            && self.suspected_faulty_at.is_none()
            && self.reclaim_at.is_none()
            && self.delete_reason.is_none()
            && !self.reachability.is_unreachable()
            && self.silent_for(now) < silent_after
    }

    /// Whether so many errors of several jobs stand against it.
    pub fn has_too_many_errors(&self, errors: u32) -> bool {
        self.errors_by_job.len() >= 2 && self.errors_by_job.values().sum::<u32>() >= errors
    }

    /// A job succeeded here, or says nothing against it any more.
    pub fn clear_errors(&mut self) {
        self.errors_by_job.clear();
        self.suspected_faulty_at = None;
    }

    pub fn add_task(&mut self, id: &JobId, task: u32, shape: &Shape, image: ImageKey) {
        if self.tasks.insert((id.clone(), task)) {
            self.allocated.add(shape, 1.0);
            match self.image_uses.iter_mut().find(|(key, _)| *key == image) {
                Some((_, uses)) => *uses += 1,
                None => self.image_uses.push((image, 1)),
            }
        }
    }

    pub fn remove_task(&mut self, id: &JobId, task: u32, shape: &Shape, image: ImageKey) {
        if self.tasks.remove(&(id.clone(), task)) {
            self.allocated.add(shape, -1.0);
            for (key, uses) in &mut self.image_uses {
                if *key == image {
                    *uses = uses.saturating_sub(1);
                }
            }
            self.image_uses.retain(|(_, uses)| *uses > 0);
            if self.tasks.is_empty() {
                // Sums of decimals leave rounding behind.
                self.allocated = Shape::default();
            }
        }
    }

    /// Whether a task here uses the image.
    pub fn uses_image(&self, image: ImageKey) -> bool {
        self.image_uses.iter().any(|(key, _)| *key == image)
    }

    /// Remembers that an image is there; which ones it may have pushed out.
    pub fn add_image(&mut self, image: ImageKey, size_gb: f64, cache_gb: f64) -> Vec<ImageKey> {
        let mut pushed_out = Vec::new();
        if self.images.last() == Some(&image) {
            return pushed_out;
        }
        if let Some(at) = self.images.iter().position(|i| *i == image) {
            self.images.remove(at);
            self.image_sizes.remove(at);
        }
        self.images.push(image);
        self.image_sizes.push(size_gb);
        while self.images.len() > 1 && self.image_sizes.iter().sum::<f64>() > cache_gb {
            pushed_out.push(self.images.remove(0));
            self.image_sizes.remove(0);
        }
        pushed_out
    }
}
