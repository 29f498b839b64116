//! The leader's state of one machine.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use tracing::info;
use umbersail_cycle::ImageKey;
use umbersail_policy::Shape;
use umbersail_wire::{MachineType, Priority};

use super::reachability::Reachability;
use super::{JobId, MachineId, Time};

/// Capacity freed by an eviction, kept for the job that the eviction was made for.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Claim {
    pub claimant: JobId,
    /// Tier of the claimant.
    pub tier: Priority,
    pub until: Time,
}

/// What the leader knows of one machine.
pub(crate) struct Machine {
    pub name: MachineId,
    /// Index of the machine type; `None` while the catalogue does not contain the type.
    pub type_index: Option<usize>,
    pub zone: String,
    pub spot: bool,
    pub addr: Option<SocketAddr>,
    /// The newest heartbeat contained this leader's token: the worker rejects commands of
    /// earlier leaders.
    pub fenced: bool,
    /// When the first heartbeat with this leader's token arrived. Until then an earlier
    /// leader, or a peer on behalf of that leader, may have renewed the machine's lease
    /// without this leader's knowledge.
    pub first_fenced_at: Option<Time>,
    /// The machine may hold tasks of an earlier leader that this leader does not know.
    pub inherited: bool,
    /// (session, sequence number) of the newest heartbeat.
    pub heartbeat_order: (u64, u64),
    pub last_heartbeat: Option<Time>,
    /// When a heartbeat was last answered by this leader or, as far as peers have reported,
    /// by a peer on behalf of any leader.
    pub last_reply: Option<Time>,
    pub lease_expired: bool,
    /// The machine is listed, was rented, is in the grant or has shown this leader's token.
    /// Otherwise its heartbeat may be a delayed copy from a machine that no longer exists.
    pub confirmed: bool,
    pub reachability: Reachability,
    /// The machine's current fencing token; its epoch is always that of this leader.
    pub token: u64,
    pub token_incremented_at: Option<Time>,
    /// When the cloud will reclaim the machine, according to its reclaim notice.
    pub reclaim_at: Option<Time>,
    /// The tasks that cannot finish before `reclaim_at` have been stopped.
    pub reclaim_handled: bool,
    pub quarantined: bool,
    /// Task errors since a task last succeeded on this machine, by job.
    pub errors_by_job: BTreeMap<JobId, u32>,
    /// When those errors became enough to suspect that the machine is faulty.
    pub suspected_faulty_at: Option<Time>,
    /// Resources used by the tasks on this machine.
    pub allocated: Shape,
    /// Keeps lower tiers off the machine: otherwise the capacity freed by the first evicted
    /// task would be filled before the other evicted tasks have stopped.
    pub claim: Option<Claim>,
    /// Plans that reserve the machine, one bit for each plan: other jobs are not placed here.
    pub reservations: u64,
    pub tasks: BTreeSet<(JobId, u32)>,
    /// Number of exited tasks in the newest heartbeat. The worker lists them until it is told
    /// to forget them.
    pub exited_tasks: u32,
    /// The newest heartbeat lists active tasks of finished jobs, or attempts of tasks that have
    /// another attempt elsewhere; these are being stopped.
    pub has_orphaned_tasks: bool,
    /// The resources of some of the orphaned tasks are unknown: the whole machine counts as
    /// used (rule 4 of `docs/design.md`).
    pub has_unsized_orphans: bool,
    /// Images in the machine's cache, least recently used first.
    pub images: Vec<ImageKey>,
    /// Sizes of `images` in GB, in the same order.
    pub image_sizes: Vec<f64>,
    /// Images that the machine's tasks use, each with the number of those tasks.
    pub image_uses: Vec<(ImageKey, u32)>,
    /// Index of the part of the grant record that lists the machine or will list it.
    pub grant_part: Option<usize>,
    /// The grant record in the state service lists the machine: tasks may be started here.
    pub grant_recorded: bool,
    /// When the machine was created, as far as known: by the cloud's list, at the answer to
    /// the rental, or when this leader first learned of the machine.
    pub created_at: Time,
    pub idle_since: Time,
    /// The cloud's list has contained the machine.
    pub listed: bool,
    /// Number of consecutive lists without the machine, while the machine was silent.
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
            exited_tasks: 0,
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

    /// Agent session of the newest heartbeat; 0 if there was none.
    pub fn session(&self) -> u64 {
        self.heartbeat_order.0
    }

    /// Seconds since the last heartbeat.
    pub fn silent_for(&self, now: Time) -> f64 {
        self.last_heartbeat.map_or(f64::INFINITY, |at| now - at)
    }

    /// The latest time at which the machine's lease may have been renewed, apart from renewals
    /// that peers have not reported yet (rule 3). `silenced_at` is when earlier leaders and
    /// their peers must have stopped answering heartbeats.
    ///
    /// The first heartbeat with this leader's token bounds the renewals by earlier leaders, and
    /// nothing else does: a machine that received this leader's token by a direct command may
    /// never have received a reply from this leader, and a peer's report of its own replies
    /// says nothing about the replies of an earlier leader.
    pub fn latest_renewal(&self, silenced_at: Time) -> Time {
        let by_earlier_leaders = self.first_fenced_at.unwrap_or(silenced_at);
        self.last_reply
            .map_or(by_earlier_leaders, |at| at.max(by_earlier_leaders))
    }

    /// Applies a heartbeat's reclaim notice: in how many seconds the cloud will reclaim the
    /// machine, or `None` if the cloud will not.
    pub fn update_reclaim_notice(&mut self, now: Time, notice_s: Option<f64>) {
        let Some(notice_s) = notice_s.filter(|notice| notice.is_finite()) else {
            self.reclaim_at = None;
            return;
        };
        if self.reclaim_at.is_none() {
            info!(
                machine = &*self.name,
                notice_s, "the cloud will reclaim the machine: draining"
            );
            self.reclaim_handled = false;
        }
        self.reclaim_at = Some(now + notice_s.max(0.0));
    }

    /// Resources that no task uses, on this machine of the given type.
    pub fn free(&self, machine_type: &MachineType) -> Shape {
        let mut free = Shape::of_type(machine_type).plus(&self.allocated, -1.0);
        free.task_entries -= f64::from(self.exited_tasks);
        free
    }

    /// Whether new tasks may be placed on the machine.
    pub fn accepts_tasks(&self, now: Time, silence_limit_s: f64) -> bool {
        self.fenced
            && self.type_index.is_some()
            && !self.has_orphaned_tasks
            && !self.quarantined
            && self.suspected_faulty_at.is_none()
            && self.reclaim_at.is_none()
            && self.delete_reason.is_none()
            && !self.reachability.is_unreachable()
            && self.silent_for(now) < silence_limit_s
    }

    /// Whether at least `limit` errors of at least two jobs are counted against the machine.
    pub fn has_too_many_errors(&self, limit: u32) -> bool {
        self.errors_by_job.len() >= 2 && self.errors_by_job.values().sum::<u32>() >= limit
    }

    /// Forgets all errors counted against the machine, after a task succeeded on it.
    pub fn clear_errors(&mut self) {
        self.errors_by_job.clear();
        self.suspected_faulty_at = None;
    }

    /// Adds a task with its resources and its image; no effect if the task is already here.
    pub fn add_task(&mut self, id: &JobId, task: u32, shape: &Shape, image: ImageKey) {
        if self.tasks.insert((id.clone(), task)) {
            self.allocated.add(shape, 1.0);
            match self.image_uses.iter_mut().find(|(key, _)| *key == image) {
                Some((_, uses)) => *uses += 1,
                None => self.image_uses.push((image, 1)),
            }
        }
    }

    /// Removes a task with its resources and its image; no effect if the task is not here.
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
                // Repeated addition and subtraction leaves rounding errors.
                self.allocated = Shape::default();
            }
        }
    }

    /// Whether a task on this machine uses the image.
    pub fn uses_image(&self, image: ImageKey) -> bool {
        self.image_uses.iter().any(|(key, _)| *key == image)
    }

    /// Notes that the image is now the most recently used in the cache. Returns the images
    /// that the worker may have evicted to make room.
    pub fn add_image(&mut self, image: ImageKey, size_gb: f64, cache_gb: f64) -> Vec<ImageKey> {
        let mut evicted = Vec::new();
        if self.images.last() == Some(&image) {
            return evicted;
        }
        if let Some(at) = self.images.iter().position(|i| *i == image) {
            self.images.remove(at);
            self.image_sizes.remove(at);
        }
        self.images.push(image);
        self.image_sizes.push(size_gb);
        while self.images.len() > 1 && self.image_sizes.iter().sum::<f64>() > cache_gb {
            evicted.push(self.images.remove(0));
            self.image_sizes.remove(0);
        }
        evicted
    }
}
