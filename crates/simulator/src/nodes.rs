//! Simulated nodes: agents, their connections to keepers, and the fleet snapshots of the routers.

use crate::prelude::*;

impl World {
    /// Starts a node's agent and its router, where they are down.
    pub fn start_node(&mut self, number: usize) {
        let spread = self.rng.below(64) as usize;
        let node = &mut self.nodes[number];
        if node.subscription.is_none() {
            node.incarnation += 1;
            node.id = NodeId(1000 + number as u64 + 10_000 * node.incarnation);
            node.subscription = Some(Subscription::new((0..3).map(|seed| format!("k{seed}")).collect(), spread));
            let incarnation = node.incarnation;
            self.schedule_after(Span::millis(1), SimEvent::NodeTick { node: number, incarnation });
            self.schedule_after(Span::millis(1), SimEvent::PollSources { node: number, incarnation });
            self.schedule_after(Span::millis(1), SimEvent::CheckWork { node: number, incarnation });
        }
        self.start_router(number);
    }

    /// Starts a node's router under a new id, unless it is up.
    pub fn start_router(&mut self, number: usize) {
        if self.nodes[number].router.is_some() {
            return;
        }
        let router = NodeId(self.rng.next_u64() | 1);
        let zone = Zone(ZONES[number % 4].into());
        self.nodes[number].router = Some(SimRouter::new(router, zone));
        let incarnation = self.nodes[number].incarnation;
        self.schedule_after(Span::millis(1), SimEvent::RouterConnects { node: number, incarnation, router });
    }

    pub fn kill_router(&mut self, number: usize) {
        self.drop_runs(number, false);
        self.send_to_subscription(number, SubscriptionInput::RouterDisconnected);
    }

    /// Crashes a node's agent and router, half of the times as a loss of the whole machine.
    pub fn kill_node(&mut self, number: usize) {
        self.nodes[number].subscription = None;
        let with_machine = self.rng.chance(50);
        self.drop_runs(number, with_machine);
        self.nodes[number].incarnation += 1;
        if let Some(link) = self.nodes[number].link.take() {
            self.schedule_link_close(link);
        }
    }

    pub fn send_to_subscription(&mut self, node: usize, input: SubscriptionInput) {
        let incarnation = self.nodes[node].incarnation;
        self.schedule_after(Span::millis(1), SimEvent::NodeInput { node, incarnation, input });
    }

    pub fn schedule_link_close(&mut self, link: usize) {
        self.links[link].open = false;
        self.schedule_after(Span::millis(2), SimEvent::LinkClosed { link });
    }

    /// Steps a node's subscription and carries out its effects.
    pub fn step_node(&mut self, number: usize, incarnation: u64, input: SubscriptionInput) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if node.incarnation != incarnation {
            return;
        }
        if node.frozen_until > now {
            let woken_at = node.frozen_until;
            self.defer(woken_at, SimEvent::NodeInput { node: number, incarnation, input });
            return;
        }
        let Some(subscription) = node.subscription.as_mut() else { return };
        let effects = subscription.step(input, node.clock.read(now));
        for effect in effects {
            match effect {
                SubscriptionEffect::Dial(address) => {
                    if let Some(link) = self.nodes[number].link.take() {
                        self.schedule_link_close(link);
                    }
                    let delay = self.net.delay(&mut self.rng);
                    self.schedule_after(delay, SimEvent::NodeConnects { node: number, incarnation, address });
                }
                SubscriptionEffect::SendToCore(message) => {
                    let Some(link) = self.nodes[number].link else { continue };
                    self.links[link].to_keeper.push_back(message);
                    let delay = self.net.delay(&mut self.rng);
                    self.schedule_after(delay, SimEvent::DeliverToKeeper { link });
                }
                SubscriptionEffect::SendToRouter(message) => {
                    let Some(router) = self.nodes[number].connected_router else { continue };
                    self.schedule_after(Span::millis(1), SimEvent::RouterInput { node: number, router, message });
                }
                SubscriptionEffect::LogEvent { event, detail } => self.note(format!("n{number} {event} {detail}")),
            }
        }
    }

    /// Connects a router to its agent, once the agent is not frozen, in order with its other inputs.
    pub fn connect_router(&mut self, number: usize, incarnation: u64, router: NodeId) {
        let node = &mut self.nodes[number];
        if node.frozen_until > self.now {
            let woken_at = node.frozen_until;
            self.defer(woken_at, SimEvent::RouterConnects { node: number, incarnation, router });
            return;
        }
        if node.incarnation == incarnation && node.router.as_ref().is_some_and(|known| known.id == router) {
            node.connected_router = Some(router);
            self.step_node(number, incarnation, SubscriptionInput::RouterConnected);
        }
    }

    /// Connects an agent to the keeper at an address, if it can be reached.
    pub fn connect_to_keeper(&mut self, number: usize, incarnation: u64, address: &str) {
        if self.nodes[number].incarnation != incarnation || self.nodes[number].subscription.is_none() {
            return;
        }
        let found = self.keepers.iter().position(|keeper| keeper.address == address);
        let machine = NODE_BASE + number;
        let reached = found.filter(|keeper| {
            let is_up = self.keepers[*keeper].coordinator.is_some();
            is_up && !self.net.is_cut(machine, *keeper) && !self.net.is_cut(*keeper, machine)
        });
        let Some(keeper) = reached else {
            self.send_to_subscription(number, SubscriptionInput::CoreDisconnected);
            return;
        };
        let keeper_incarnation = self.keepers[keeper].incarnation;
        self.links.push(SimLink {
            node: number,
            keeper,
            keeper_incarnation,
            open: true,
            accepted: false,
            to_keeper: VecDeque::new(),
            to_node: VecDeque::new(),
        });
        let link = self.links.len() - 1;
        self.nodes[number].link = Some(link);
        self.schedule_after(Span(0), SimEvent::AcceptLink { link });
        self.send_to_subscription(number, SubscriptionInput::CoreConnected);
    }

    /// A keeper accepts a new connection in order with its other inputs: later if it is busy or frozen.
    pub fn accept_link(&mut self, number: usize) {
        let link = &self.links[number];
        let (keeper, keeper_incarnation, node) = (link.keeper, link.keeper_incarnation, link.node);
        if self.keepers[keeper].incarnation != keeper_incarnation {
            return;
        }
        let free_at = self.finish_sync_if_free(keeper);
        if free_at > self.now {
            self.defer(free_at, SimEvent::AcceptLink { link: number });
            return;
        }
        self.links[number].accepted = true;
        let input = Input::NodeDisconnected { node: self.nodes[node].id };
        self.step_keeper(keeper, Some(keeper_incarnation), input);
    }

    /// Delivers one message of a connection. It waits while the direction is cut or the receiver is frozen.
    pub fn deliver_message(&mut self, number: usize, to_keeper: bool) {
        let link = &self.links[number];
        if !link.open {
            return;
        }
        let (node_machine, keeper) = (NODE_BASE + link.node, link.keeper);
        let (node, keeper_incarnation) = (link.node, link.keeper_incarnation);
        let direction = if to_keeper { (node_machine, keeper) } else { (keeper, node_machine) };
        let deferred = if to_keeper {
            SimEvent::DeliverToKeeper { link: number }
        } else {
            SimEvent::DeliverToNode { link: number }
        };
        if self.net.is_cut(direction.0, direction.1) {
            self.schedule_after(Span::millis(40), deferred);
            return;
        }
        // Deferred events keep their order, however many of them wait for the receiver.
        let free_at = if to_keeper { self.finish_sync_if_free(keeper) } else { self.nodes[node].frozen_until };
        if free_at > self.now {
            self.defer(free_at, deferred);
            return;
        }
        if to_keeper {
            let Some(message) = self.links[number].to_keeper.pop_front() else { return };
            let input = Input::Node { node: self.nodes[node].id, message };
            self.step_keeper(keeper, Some(keeper_incarnation), input);
        } else if let Some(message) = self.links[number].to_node.pop_front() {
            let incarnation = self.nodes[node].incarnation;
            if self.nodes[node].link == Some(number) {
                self.step_node(node, incarnation, SubscriptionInput::Core(message));
            }
        }
    }

    pub fn close_link(&mut self, number: usize) {
        let (node, keeper, keeper_incarnation) =
            (self.links[number].node, self.links[number].keeper, self.links[number].keeper_incarnation);
        let machine = NODE_BASE + node;
        let still_linked = self.links.iter().any(|link| link.open && link.node == node && link.keeper == keeper);
        if !self.net.is_cut(machine, keeper) && !still_linked {
            let input = Input::NodeDisconnected { node: self.nodes[node].id };
            self.step_keeper(keeper, Some(keeper_incarnation), input);
        }
        if self.nodes[node].link == Some(number) && !self.net.is_cut(keeper, machine) {
            self.nodes[node].link = None;
            self.send_to_subscription(node, SubscriptionInput::CoreDisconnected);
        }
        self.links[number].to_keeper.clear();
        self.links[number].to_node.clear();
    }

    /// Applies a message of the agent to the router's fleet snapshot.
    pub fn step_router(&mut self, node_number: usize, router_id: NodeId, message: AgentToRouter) {
        let now = self.now;
        let node = &mut self.nodes[node_number];
        if node.frozen_until > now {
            let woken_at = node.frozen_until;
            self.defer(woken_at, SimEvent::RouterInput { node: node_number, router: router_id, message });
            return;
        }
        let local_now = node.clock.read(now);
        let Some(router) = node.router.as_mut().filter(|router| router.id == router_id) else { return };
        let snapshot = match message {
            AgentToRouter::Settled { ticket, outcome } => return self.settle_claim(node_number, ticket, outcome),
            AgentToRouter::Routers(routers) => {
                router.routers = routers;
                return;
            }
            AgentToRouter::Lease { until, .. } => {
                router.lease_until = router.lease_until.max(until);
                return;
            }
            AgentToRouter::Snapshot { state, gave_way } => {
                if state.edition <= router.snapshot.state.edition {
                    return;
                }
                router.snapshot.after_full_transfer(*state, &gave_way, local_now)
            }
            AgentToRouter::Push { number, submission, committed } => {
                let expected = router.snapshot.state.edition.next();
                if number > expected {
                    return self.record_push_gap(node_number, expected, number);
                }
                if number < expected {
                    return;
                }
                let mut state = (*router.snapshot.state).clone();
                state.apply_without_claims(&submission);
                let next = router.snapshot.after_change(state, committed, local_now);
                next.with_leaving_deadline(&router.snapshot.state, router.lease_until)
            }
        };
        let edition = snapshot.state.edition;
        let last_settled = snapshot.state.last_request();
        let state = snapshot.state.clone();
        router.snapshot = snapshot;
        router.picker.retain_listed(&router.snapshot);
        if let Some(request) = last_settled {
            self.check_committed(edition, request, &format!("n{node_number}"));
        }
        self.record_bindings(&state);
        self.send_to_subscription(node_number, SubscriptionInput::Router(RouterToAgent::Applied { edition }));
        self.check_work(node_number);
    }

    /// A gap on a live connection is a fault of the system under test: the tail counts the missing change as pushed.
    fn record_push_gap(&mut self, node: usize, expected: Edition, pushed: Edition) {
        let at = self.millis();
        self.extra_violations.push(format!("push gap: n{node} received edition {pushed} before {expected}, at {at}"));
    }

    /// Reports two different requests committed under one edition, which means a lost or forked change.
    pub fn check_committed(&mut self, edition: Edition, request: RequestId, seen_at: &str) {
        let known = *self.committed.entry(edition).or_insert(request);
        if known != request {
            self.extra_violations
                .push(format!("rule 8: edition {edition} is request {known}, but {request} at {seen_at}"));
        }
    }
}
