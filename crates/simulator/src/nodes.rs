//! Nodes in virtual time: agents, their streams to keepers, and the routers' sight of the fleet.

use crate::prelude::*;

impl World {
    pub fn start_node(&mut self, number: usize) {
        let spread = self.draw.below(64) as usize;
        let node = &mut self.nodes[number];
        if node.subscription.is_none() {
            node.life += 1;
            node.id = NodeId(1000 + number as u64 + 10_000 * node.life);
            node.subscription = Some(Subscription::new((0..3).map(|seed| format!("k{seed}")).collect(), spread));
            let life = node.life;
            self.later(Span::millis(1), SimEvent::NodePulse { node: number, life });
            self.later(Span::millis(1), SimEvent::Polls { node: number, life });
            self.later(Span::millis(1), SimEvent::WorkLook { node: number, life });
        }
        self.start_router(number);
    }

    pub fn start_router(&mut self, number: usize) {
        if self.nodes[number].router.is_some() {
            return;
        }
        let router = NodeId(self.draw.next_u64() | 1);
        let zone = Zone(ZONES[number % 4].into());
        self.nodes[number].router = Some(SimRouter::new(router, zone));
        let life = self.nodes[number].life;
        self.later(Span::millis(1), SimEvent::RouterDials { node: number, life, router });
    }

    pub fn kill_router(&mut self, number: usize) {
        self.lose_runs(number, false);
        self.tell_node(number, SubscriptionInput::RouterDisconnected);
    }

    pub fn kill_node(&mut self, number: usize) {
        self.nodes[number].subscription = None;
        let with_machine = self.draw.chance(50);
        self.lose_runs(number, with_machine);
        self.nodes[number].life += 1;
        if let Some(link) = self.nodes[number].link.take() {
            self.end_link(link);
        }
    }

    pub fn tell_node(&mut self, node: usize, input: SubscriptionInput) {
        let life = self.nodes[node].life;
        self.later(Span::millis(1), SimEvent::NodeInput { node, life, input });
    }

    pub fn end_link(&mut self, link: usize) {
        self.links[link].open = false;
        self.later(Span::millis(2), SimEvent::LinkEnds { link });
    }

    pub fn step_node(&mut self, number: usize, life: u64, input: SubscriptionInput) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if node.life != life {
            return;
        }
        if node.frozen_until > now {
            let woken_at = node.frozen_until;
            self.defer(woken_at, SimEvent::NodeInput { node: number, life, input });
            return;
        }
        let Some(subscription) = node.subscription.as_mut() else { return };
        let plan = subscription.step(input, node.clock.read(now));
        for effect in plan {
            match effect {
                SubscriptionEffect::Dial(address) => {
                    if let Some(link) = self.nodes[number].link.take() {
                        self.end_link(link);
                    }
                    let delay = self.net.delay(&mut self.draw);
                    self.later(delay, SimEvent::Dialled { node: number, life, address });
                }
                SubscriptionEffect::SendToCore(message) => {
                    let Some(link) = self.nodes[number].link else { continue };
                    self.links[link].up.push_back(message);
                    let delay = self.net.delay(&mut self.draw);
                    self.later(delay, SimEvent::PumpUp { link });
                }
                SubscriptionEffect::SendToRouter(message) => {
                    let Some(router) = self.nodes[number].fed_router else { continue };
                    self.later(Span::millis(1), SimEvent::RouterInput { node: number, router, message });
                }
                SubscriptionEffect::LogEvent { event, detail } => self.note(format!("n{number} {event} {detail}")),
            }
        }
    }

    /// The router's stream to its agent comes up, in the agent's own order of things.
    pub fn feed_router(&mut self, number: usize, life: u64, router: NodeId) {
        let node = &mut self.nodes[number];
        if node.frozen_until > self.now {
            let woken_at = node.frozen_until;
            self.defer(woken_at, SimEvent::RouterDials { node: number, life, router });
            return;
        }
        if node.life == life && node.router.as_ref().is_some_and(|known| known.id == router) {
            node.fed_router = Some(router);
            self.step_node(number, life, SubscriptionInput::RouterConnected);
        }
    }

    pub fn connect(&mut self, number: usize, life: u64, address: &str) {
        if self.nodes[number].life != life || self.nodes[number].subscription.is_none() {
            return;
        }
        let found = self.keepers.iter().position(|keeper| keeper.address == address);
        let machine = NODE_BASE + number;
        let reached = found.filter(|keeper| {
            let is_up = self.keepers[*keeper].coordinator.is_some();
            is_up && !self.net.is_cut(machine, *keeper) && !self.net.is_cut(*keeper, machine)
        });
        let Some(keeper) = reached else {
            self.tell_node(number, SubscriptionInput::CoreDisconnected);
            return;
        };
        let keeper_life = self.keepers[keeper].life;
        self.links.push(SimLink {
            node: number,
            keeper,
            keeper_life,
            open: true,
            taken_up: false,
            up: VecDeque::new(),
            down: VecDeque::new(),
        });
        let link = self.links.len() - 1;
        self.nodes[number].link = Some(link);
        self.later(Span(0), SimEvent::TakesUp { link });
        self.tell_node(number, SubscriptionInput::CoreConnected);
    }

    /// A keeper that is busy or frozen takes a new stream up afterwards, in its own order of things.
    pub fn take_up(&mut self, number: usize) {
        let link = &self.links[number];
        let (keeper, keeper_life, node) = (link.keeper, link.keeper_life, link.node);
        if self.keepers[keeper].life != keeper_life {
            return;
        }
        let free_at = self.await_keeper(keeper);
        if free_at > self.now {
            self.defer(free_at, SimEvent::TakesUp { link: number });
            return;
        }
        self.links[number].taken_up = true;
        let input = Input::NodeDisconnected { node: self.nodes[node].id };
        self.step_keeper(keeper, Some(keeper_life), input);
    }

    /// Moves one message along a stream; while the way is cut, or the receiver frozen, it waits.
    pub fn pump(&mut self, number: usize, is_up: bool) {
        let link = &self.links[number];
        if !link.open {
            return;
        }
        let (node_machine, keeper) = (NODE_BASE + link.node, link.keeper);
        let (node, keeper_life) = (link.node, link.keeper_life);
        let way = if is_up { (node_machine, keeper) } else { (keeper, node_machine) };
        let again = if is_up { SimEvent::PumpUp { link: number } } else { SimEvent::PumpDown { link: number } };
        if self.net.is_cut(way.0, way.1) {
            self.later(Span::millis(40), again);
            return;
        }
        // What comes first must be taken first, however many wait for the receiver.
        let free_at = if is_up { self.await_keeper(keeper) } else { self.nodes[node].frozen_until };
        if free_at > self.now {
            self.defer(free_at, again);
            return;
        }
        if is_up {
            let Some(message) = self.links[number].up.pop_front() else { return };
            let input = Input::Node { node: self.nodes[node].id, message };
            self.step_keeper(keeper, Some(keeper_life), input);
        } else if let Some(message) = self.links[number].down.pop_front() {
            let life = self.nodes[node].life;
            if self.nodes[node].link == Some(number) {
                self.step_node(node, life, SubscriptionInput::Core(message));
            }
        }
    }

    pub fn finish_link(&mut self, number: usize) {
        let (node, keeper, keeper_life) =
            (self.links[number].node, self.links[number].keeper, self.links[number].keeper_life);
        let machine = NODE_BASE + node;
        let still_linked = self.links.iter().any(|link| link.open && link.node == node && link.keeper == keeper);
        if !self.net.is_cut(machine, keeper) && !still_linked {
            let input = Input::NodeDisconnected { node: self.nodes[node].id };
            self.step_keeper(keeper, Some(keeper_life), input);
        }
        if self.nodes[node].link == Some(number) && !self.net.is_cut(keeper, machine) {
            self.nodes[node].link = None;
            self.tell_node(node, SubscriptionInput::CoreDisconnected);
        }
        self.links[number].up.clear();
        self.links[number].down.clear();
    }

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
        let sight = match message {
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
                if state.edition <= router.sight.state.edition {
                    return;
                }
                router.sight.after_full_transfer(*state, &gave_way, local_now)
            }
            AgentToRouter::Push { number, submission, committed } => {
                let expected = router.sight.state.edition.next();
                if number > expected {
                    return self.see_push_gap(node_number, expected, number);
                }
                if number < expected {
                    return;
                }
                let mut state = (*router.sight.state).clone();
                state.apply_without_claims(&submission);
                let next = router.sight.after_change(state, committed, local_now);
                next.with_leaving_deadline(&router.sight.state, router.lease_until)
            }
        };
        let edition = sight.state.edition;
        let last_settled = sight.state.last_request();
        let state = sight.state.clone();
        router.sight = sight;
        router.picker.retain_listed(&router.sight);
        if let Some(request) = last_settled {
            self.see_committed(edition, request, &format!("n{node_number}"));
        }
        self.note_in_force(&state);
        self.tell_node(node_number, SubscriptionInput::Router(RouterToAgent::Applied { edition }));
        self.look_at_work(node_number);
    }

    /// A change that never came over a live stream is the product's own fault: the tail takes it for pushed.
    fn see_push_gap(&mut self, node: usize, expected: Edition, pushed: Edition) {
        let at = self.millis();
        self.extra.push(format!("push gap: n{node} was pushed {pushed} before {expected}, at {at}"));
    }

    /// Two different records under one edition would be a lost or forked change.
    pub fn see_committed(&mut self, edition: Edition, request: RequestId, seen_at: &str) {
        let known = *self.committed.entry(edition).or_insert(request);
        if known != request {
            self.extra.push(format!("rule 8: edition {edition} is {known} and, at {seen_at}, {request}"));
        }
    }
}
