//! The feed from the agent on this machine: holds the loopback connection, applies state snapshots and numbered
//! changes in order and never backwards, publishes each new state, and acknowledges the edition that is in force.

use crate::prelude::*;

/// The pause before the agent is dialed again.
const REDIAL_PAUSE: Duration = Duration::from_millis(100);

/// Sends messages to the coordinator over the connection to the agent, and matches its replies to pending requests.
#[derive(Default)]
pub struct CoordinatorClient {
    link: Mutex<Option<Link>>,
    pending: Mutex<HashMap<u64, oneshot::Sender<CommandOutcome>>>,
    next_ticket: AtomicU64,
}

/// How long a submitted command may take to settle.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2500);
/// How often an unsettled command is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(400);

impl CoordinatorClient {
    /// Sends a message; it is lost if the agent is not connected.
    pub(crate) fn send(&self, message: &RouterToAgent) {
        if let Some(link) = self.link.lock().expect("no holder of this lock panics").as_ref() {
            link.send(message);
        }
    }

    /// Submits a claim or its release, and resends it until it settles; `None` if the outcome is not known in time.
    pub async fn submit(&self, command: Command) -> Option<CommandOutcome> {
        let submission = Submission { request: RequestId::random(), command };
        let ticket = self.next_ticket.fetch_add(1, Ordering::SeqCst);
        let (reply, settlement) = oneshot::channel();
        self.pending.lock().expect("no holder of this lock panics").insert(ticket, reply);
        let mut resend = tokio::time::interval(RESEND_INTERVAL);
        let sending = async {
            loop {
                resend.tick().await;
                self.send(&RouterToAgent::Submit { ticket, submission: submission.clone() });
            }
        };
        let outcome = tokio::select! {
            outcome = settlement => outcome.ok(),
            () = sending => None,
            () = tokio::time::sleep(CLAIM_TIMEOUT) => None,
        };
        self.pending.lock().expect("no holder of this lock panics").remove(&ticket);
        outcome
    }

    fn settle(&self, ticket: u64, outcome: CommandOutcome) {
        let reply = self.pending.lock().expect("no holder of this lock panics").remove(&ticket);
        if let Some(reply) = reply {
            let _ = reply.send(outcome);
        }
    }
}

/// What the feed needs from its process.
pub struct FeedConfig {
    /// The address of the agent.
    pub agent_address: String,
    /// This router's id.
    pub router: NodeId,
    /// The address at which this router is reached, announced to the fleet.
    pub own_address: RouterAddress,
    /// Where the fleet state and the lease are published.
    pub shared: Arc<SharedState>,
    /// Called after each published change.
    pub on_change: Box<dyn Fn() + Send + Sync>,
    /// Receives the connection once it is up, and the outcomes of commands that arrive over it.
    pub coordinator: Arc<CoordinatorClient>,
}

/// Starts the thread that keeps the connection to the agent and applies what arrives over it.
pub fn spawn_feed(config: FeedConfig) {
    spawn_thread("feed", move || {
        let (_pause_sender, pause) = bounded_queue::<()>(1);
        let (agent_address, router) = (config.agent_address.clone(), config.router);
        let feed = Mutex::new(Feed { config, link: None });
        let on_event = |link_event| {
            feed.lock().expect("no holder of this lock panics").handle(link_event);
            true
        };
        loop {
            let own_hello = Hello::new(FleetId(0), router, Purpose::Router);
            if let Err(reason) = dial_and_run(&agent_address, own_hello, &on_event) {
                event!(debug, "agent_unreachable", reason = reason);
            }
            let _ = pause.recv_timeout(REDIAL_PAUSE);
        }
    });
}

struct Feed {
    config: FeedConfig,
    link: Option<Link>,
}

impl Feed {
    fn handle(&mut self, link_event: LinkEvent<AgentToRouter>) {
        match link_event {
            LinkEvent::Up(link, _) => {
                *self.config.coordinator.link.lock().expect("no holder of this lock panics") = Some(link.clone());
                self.link = Some(link);
                self.config.coordinator.send(&RouterToAgent::Announce(self.config.own_address.clone()));
                event!(info, "agent_up");
                let edition = self.config.shared.snapshot().state.edition;
                if edition > Edition(0) {
                    self.report_applied(edition);
                }
            }
            LinkEvent::Down(_, reason) => {
                self.link = None;
                event!(warn, "agent_down", reason = reason);
            }
            LinkEvent::Message(_, AgentToRouter::Settled { ticket, outcome }) => {
                self.config.coordinator.settle(ticket, outcome);
            }
            LinkEvent::Message(_, AgentToRouter::Routers(routers)) => self.config.shared.update_routers(routers),
            LinkEvent::Message(_, AgentToRouter::Lease { requested_at, until, restarted }) => {
                self.config.shared.renew_lease(requested_at, until);
                self.config.shared.record_restart(restarted);
            }
            LinkEvent::Message(_, AgentToRouter::Snapshot { state, gave_way }) => {
                let current = self.config.shared.snapshot();
                if state.edition > current.state.edition {
                    self.publish(current.after_full_transfer(*state, &gave_way, boot_now()));
                }
            }
            LinkEvent::Message(_, AgentToRouter::Push { number, submission, committed }) => {
                let current = self.config.shared.snapshot();
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
                self.publish(next.with_leaving_deadline(&current.state, self.config.shared.lease_until()));
            }
        }
    }

    fn publish(&mut self, snapshot: FleetSnapshot) {
        let edition = snapshot.state.edition;
        self.config.shared.publish(snapshot);
        (self.config.on_change)();
        self.report_applied(edition);
        event!(debug, "applied", edition = edition);
    }

    fn report_applied(&self, edition: Edition) {
        if let Some(link) = &self.link {
            link.send(&RouterToAgent::Applied { edition });
        }
    }
}
