//! What controllers tell each other.

use std::rc::Rc;

use tracing::{info, warn};
use umbersail_http::{Request, Response};
use umbersail_runtime::sleep;
use umbersail_wire::{Hello, decode, encode, paths};

use crate::node::{Heard, Node, Role};
use crate::settings::Peer;

impl Node {
    fn hello(&self) -> Hello {
        let leader = self.leader.borrow();
        Hello {
            member: self.settings.member.clone(),
            incarnation: self.incarnation,
            state_reachable: self.sees_state(),
            token: leader.as_ref().map_or(0, |(_, token)| *token),
            leader: leader.as_ref().map(|(name, _)| name.clone()),
            machines: 0,
            progress: Vec::new(),
        }
    }

    /// What we say of our own accord: a leader adds how far the jobs are, so
    /// that the others need not read it for each poll.
    fn greeting(&self) -> Hello {
        let mut hello = self.hello();
        if let Role::Leading(leading) = &*self.role.borrow() {
            hello.machines = leading.engine.machine_count();
            hello.progress = leading.engine.progress(self.tuning.progress_most as usize);
        }
        hello
    }

    fn hear(&self, hello: &Hello) {
        if !self.settings.peers.iter().any(|p| p.member == hello.member) {
            return;
        }
        if let Some(leader) = &hello.leader {
            self.hear_of_leader(leader, hello.token);
        }
        if hello.leader.as_deref() == Some(&*hello.member)
            && self.leader_name().as_deref() == Some(&*hello.member)
            && hello.machines > 0
        {
            self.keep_sockets_for(hello.machines);
            let jobs = hello.progress.iter();
            *self.progress_heard.borrow_mut() = Heard {
                at: Some(self.clock.now()),
                jobs: jobs.map(|p| (p.id.clone(), (p.done, p.running))).collect(),
            };
        }
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(hello.member.clone()).or_default();
        peer.heard_at = Some(self.clock.now());
        peer.state_reachable = hello.state_reachable;
    }

    /// A request on the back address.
    pub(crate) async fn peer_request(self: Rc<Self>, request: Request) -> Response {
        match (request.method.as_str(), request.path()) {
            ("POST", paths::PEER_HELLO) => {}
            ("POST", paths::PEER_REPORT) => return self.take_report(&request.body).await,
            ("POST", paths::PEER_SUBMIT) => return self.submit(&request.body).await,
            (_, paths::PEER_HELLO | paths::PEER_REPORT | paths::PEER_SUBMIT) => {
                return Response::empty(405);
            }
            _ => return Response::empty(404),
        }
        match decode::<Hello>(&request.body) {
            Ok(hello) => {
                self.hear(&hello);
                Response::new(200, encode(&self.hello()))
            }
            Err(e) => {
                warn!(reason = %e, "malformed hello of a peer");
                Response::empty(400)
            }
        }
    }

    /// Hands a worker's report on to the leader, which it can't reach itself.
    /// The worker takes an answer with the leader's token from any node, and
    /// drops it if it comes too late, like any other.
    pub(crate) async fn relay(&self, leader: &str, body: &[u8]) -> Option<Response> {
        match self.ask_peer(leader, paths::PEER_REPORT, body).await? {
            (200, body) => Some(Response::new(200, body)),
            _ => None,
        }
    }

    /// Hands a submission on to a peer. Without an answer it may have been
    /// accepted; the user asks again.
    pub(crate) async fn relay_submission(&self, peer: &str, body: &[u8]) -> Option<Response> {
        match self.ask_peer(peer, paths::PEER_SUBMIT, body).await? {
            (429 | 500.., _) => None,
            (status, body) => Some(Response::new(status, body)),
        }
    }

    /// A peer that the state service lately answered, the leader if it is one.
    pub(crate) fn helper(&self) -> Option<String> {
        let now = self.clock.now();
        let fresh_s = 3.0 * self.tuning.peer_interval_s;
        let peers = self.peers.borrow();
        let able = |name: &String| {
            peers.get(name).is_some_and(|p| {
                p.state_reachable && p.heard_at.is_some_and(|at| now - at < fresh_s)
            })
        };
        self.leader_name()
            .filter(|name| able(name))
            .or_else(|| peers.keys().find(|name| able(name)).cloned())
    }

    async fn ask_peer(&self, member: &str, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
        let peer = self.settings.peers.iter().find(|p| p.member == member)?;
        let wait_s = self.tuning.relay_timeout_s;
        let answer = self.http.request(peer.addr, "POST", path, body, wait_s);
        answer.await.ok()
    }

    /// Says hello to one peer for ever.
    pub(crate) async fn greet(self: Rc<Self>, peer: Peer) {
        let mut reachable = true;
        loop {
            let body = encode(&self.greeting());
            let answer = self
                .http
                .request(
                    peer.addr,
                    "POST",
                    paths::PEER_HELLO,
                    &body,
                    self.tuning.peer_timeout_s,
                )
                .await;
            let heard = match answer {
                Ok((200, body)) => match decode::<Hello>(&body) {
                    Ok(hello) => {
                        self.hear(&hello);
                        true
                    }
                    Err(e) => {
                        warn!(peer = peer.member, reason = %e, "malformed answer of a peer");
                        false
                    }
                },
                _ => false,
            };
            if heard != reachable {
                info!(peer = peer.member, reachable = heard, "peer");
                reachable = heard;
            }
            sleep(self.tuning.peer_interval_s).await;
        }
    }
}
