//! Symmetry reduction: states that differ only in the names of nodes or machines
//! are searched once.

use crate::state::{DegradedMode, LateWrite, NODE_COUNT, SystemState};

fn swap_bits(bits: u8) -> u8 {
    (bits & 1) << 1 | bits >> 1
}

impl SystemState {
    /// Returns a representative of all states that are equal up to renaming of nodes and
    /// machines.
    pub fn canonical(mut self) -> SystemState {
        let mut order: [usize; NODE_COUNT] = std::array::from_fn(|i| i);
        let rank = |i: &usize| {
            let node = &self.nodes[*i];
            let leader = node.leader.map(|l| l.token);
            (leader, node.newest, node.memory.fingerprint, node.first)
        };
        order.sort_by_key(rank);
        if !order.is_sorted() {
            self.rename_nodes(order);
        }
        if self.machine_key(1) < self.machine_key(0) {
            self.swap_machines();
        }
        self
    }

    fn rename_nodes(&mut self, order: [usize; NODE_COUNT]) {
        let mut names = [0; NODE_COUNT];
        for (name, old) in order.iter().enumerate() {
            names[*old] = name as u8;
        }
        let renamed = |name: &mut u8| *name = names[usize::from(*name)];
        self.nodes = order.map(|i| std::mem::take(&mut self.nodes[i]));
        for node in &mut self.nodes {
            if let Some(leader) = &mut node.leader
                && let DegradedMode::Requesting(agreed_peers) = &mut leader.degraded_mode
            {
                let old = *agreed_peers;
                let bits = (0..NODE_COUNT).filter(|i| old & (1 << i) != 0);
                *agreed_peers = bits.map(|i| 1 << names[i]).sum();
            }
        }
        let elected = self.key as usize;
        self.elected_nodes[1..=elected].iter_mut().for_each(renamed);
        self.requests.iter_mut().for_each(|r| renamed(&mut r.peer));
        self.requests.sort_unstable();
        if let Some(hello_reply) = &mut self.hello_reply {
            renamed(&mut hello_reply.to);
        }
        if let Some(LateWrite::Election { by, .. }) = &mut self.late_write {
            renamed(by);
        }
    }

    /// Everything in the state that distinguishes one machine from the other.
    fn machine_key(&self, m: u8) -> (u8, bool, bool, bool, u64, usize) {
        let bit = 1 << m;
        let has = |bits: u8| u64::from(bits & bit != 0);
        let leaders = self.nodes.iter().filter_map(|n| n.leader);
        let leaders = leaders.fold(0u64, |all, l| {
            let at = match l.at {
                Some((at, launched)) if at == m => 1 + u64::from(launched),
                _ => 0,
            };
            let bits = has(l.possible_orphans) | has(l.fenced) << 1 | has(l.recorded) << 2;
            let silent_leases = u64::from(l.silent_leases[m as usize]);
            all << 8 | bits | has(l.newer_heartbeat) << 3 | at << 4 | silent_leases << 6
        });
        let (token, runs) = self.machines[m as usize];
        let launches = self.launches.iter().filter(|launch| launch.0 == m).count();
        let answered = self.answered & bit != 0;
        (
            token,
            runs,
            self.record & bit != 0,
            answered,
            leaders,
            launches,
        )
    }

    fn swap_machines(&mut self) {
        self.machines.swap(0, 1);
        self.answered = swap_bits(self.answered);
        self.record = swap_bits(self.record);
        self.launches
            .iter_mut()
            .for_each(|launch| launch.0 = 1 - launch.0);
        self.launches.sort_unstable();
        if let Some(delayed_heartbeat) = &mut self.delayed_heartbeat {
            delayed_heartbeat.0 = 1 - delayed_heartbeat.0;
        }
        if let Some(LateWrite::Progress { record, .. }) = &mut self.late_write {
            *record = swap_bits(*record);
        }
        for leader in self.nodes.iter_mut().filter_map(|n| n.leader.as_mut()) {
            for bits in [
                &mut leader.possible_orphans,
                &mut leader.fenced,
                &mut leader.recorded,
                &mut leader.newer_heartbeat,
            ] {
                *bits = swap_bits(*bits);
            }
            leader.silent_leases.swap(0, 1);
            if let Some((at, _)) = &mut leader.at {
                *at = 1 - *at;
            }
        }
    }
}
