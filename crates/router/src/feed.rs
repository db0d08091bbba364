//! The feed: the duty that holds the loopback stream to the agent, applies snapshots and numbered
//! changes in order, never backwards, publishes each, and says which edition is in force here.

use crate::prelude::*;

const REDIAL_PAUSE: Duration = Duration::from_millis(100);

/// The way to the core: the stream to the agent, and who waits for an answer over it.
#[derive(Default)]
pub struct CoordinatorClient {
    link: Mutex<Option<Link>>,
    waiting: Mutex<HashMap<u64, oneshot::Sender<CommandOutcome>>>,
    next_ticket: AtomicU64,
}

const CLAIM_TIMEOUT: Duration = Duration::from_millis(2500);

impl CoordinatorClient {
    pub(crate) fn say(&self, message: &RouterToAgent) {
        if let Some(link) = self.link.lock().expect("no holder of this lock panics").as_ref() {
            link.say(message);
        }
    }

    /// Submits a claim or its release; nothing if its outcome is not known in time.
    pub async fn submit(&self, command: Command) -> Option<CommandOutcome> {
        let submission = Submission { request: RequestId::random(), command };
        let ticket = self.next_ticket.fetch_add(1, Ordering::SeqCst);
        let (reply, answer) = oneshot::channel();
        self.waiting.lock().expect("no holder of this lock panics").insert(ticket, reply);
        let mut again = tokio::time::interval(Duration::from_millis(400));
        let asking = async {
            loop {
                again.tick().await;
                self.say(&RouterToAgent::Submit { ticket, submission: submission.clone() });
            }
        };
        let settled = tokio::select! {
            settled = answer => settled.ok(),
            () = asking => None,
            () = tokio::time::sleep(CLAIM_TIMEOUT) => None,
        };
        self.waiting.lock().expect("no holder of this lock panics").remove(&ticket);
        settled
    }

    fn settle(&self, ticket: u64, outcome: CommandOutcome) {
        let reply = self.waiting.lock().expect("no holder of this lock panics").remove(&ticket);
        if let Some(reply) = reply {
            let _ = reply.send(outcome);
        }
    }
}

pub struct FeedConfig {
    pub agent_address: String,
    pub router: NodeId,
    /// Where this router is reached.
    pub own_address: RouterAddress,
    pub shared: Arc<SharedState>,
    /// Called after each change was put in force here.
    pub on_change: Box<dyn Fn() + Send + Sync>,
    pub coordinator: Arc<CoordinatorClient>,
}

pub fn spawn_feed(plan: FeedConfig) {
    spawn_thread("feed", move || {
        let (_pause_end, pause) = bounded_queue::<()>(1);
        let (agent_address, router) = (plan.agent_address.clone(), plan.router);
        let feed = Mutex::new(Feed { plan, link: None });
        let tell = |link_event| {
            feed.lock().expect("no holder of this lock panics").take(link_event);
            true
        };
        loop {
            let own_hello = Hello::new(FleetId(0), router, Purpose::Router);
            if let Err(reason) = dial_and_hold(&agent_address, own_hello, &tell) {
                event!(debug, "agent_unreachable", reason = reason);
            }
            let _ = pause.recv_timeout(REDIAL_PAUSE);
        }
    });
}

struct Feed {
    plan: FeedConfig,
    link: Option<Link>,
}

impl Feed {
    fn take(&mut self, link_event: LinkEvent<AgentToRouter>) {
        match link_event {
            LinkEvent::Up(link, _) => {
                *self.plan.coordinator.link.lock().expect("no holder of this lock panics") = Some(link.clone());
                self.link = Some(link);
                self.plan.coordinator.say(&RouterToAgent::Announce(self.plan.own_address.clone()));
                event!(info, "agent_up");
                let edition = self.plan.shared.snapshot().state.edition;
                if edition > Edition(0) {
                    self.report_applied(edition);
                }
            }
            LinkEvent::Down(_, reason) => {
                self.link = None;
                event!(warn, "agent_down", reason = reason);
            }
            LinkEvent::Said(_, AgentToRouter::Settled { ticket, outcome }) => {
                self.plan.coordinator.settle(ticket, outcome);
            }
            LinkEvent::Said(_, AgentToRouter::Routers(routers)) => self.plan.shared.update_routers(routers),
            LinkEvent::Said(_, AgentToRouter::Lease { asked, until, disturbed }) => {
                self.plan.shared.renew_lease(asked, until);
                self.plan.shared.record_disturbance(disturbed);
            }
            LinkEvent::Said(_, AgentToRouter::Snapshot { state, gave_way }) => {
                let current = self.plan.shared.snapshot();
                if state.edition > current.state.edition {
                    self.publish(current.after_full_transfer(*state, &gave_way, boot_now()));
                }
            }
            LinkEvent::Said(_, AgentToRouter::Push { number, submission, committed }) => {
                let current = self.plan.shared.snapshot();
                if number <= current.state.edition {
                    return;
                }
                if number != current.state.edition.next() {
                    event!(warn, "push_gap", expected = current.state.edition.next(), got = number);
                    if let Some(link) = &self.link {
                        link.close();
                    }
                    return;
                }
                let mut state = (*current.state).clone();
                state.apply_without_claims(&submission);
                let next = current.after_change(state, committed, boot_now());
                self.publish(next.with_leaving_deadline(&current.state, self.plan.shared.lease_until()));
            }
        }
    }

    fn publish(&mut self, snapshot: FleetSnapshot) {
        let edition = snapshot.state.edition;
        self.plan.shared.publish(snapshot);
        (self.plan.on_change)();
        self.report_applied(edition);
        event!(debug, "applied", edition = edition);
    }

    fn report_applied(&self, edition: Edition) {
        if let Some(link) = &self.link {
            link.say(&RouterToAgent::Applied { edition });
        }
    }
}
