//! The state machine: inputs from the core, from the router and from the timer.

use crate::prelude::*;
/// The renewal interval until a granted lease determines it.
const DEFAULT_RENEWAL_INTERVAL: Span = Span::millis(400);
/// The minimum time between two ticks.
const MIN_TICK_INTERVAL: Span = Span::millis(20);
/// The renewal interval while the lease is missing or about to expire.
const EAGER_RENEWAL_INTERVAL: Span = Span::millis(100);
/// The keeper is given up after this long without a message from it.
const SILENCE_TIMEOUT: Span = Span::millis(1200);
/// A keeper that grants nothing for this long may wrongly consider itself the tail after others have replaced it.
const GRANT_TIMEOUT: Span = Span::millis(1500);
/// The keeper is given up after refusing the lease for this long because the node lags behind.
const BEHIND_TIMEOUT: Span = Span::millis(900);
/// The minimum time between two dials.
const DIAL_INTERVAL: Span = Span::millis(250);
/// Minimum time after a dial before a redirect to the tail is followed.
const REDIRECT_DELAY: Span = Span::millis(60);

/// The state of the connection to the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CoreStream {
    Down,
    Dialling { since: Instant },
    Up,
}

/// The connected router.
#[derive(Clone, Debug)]
struct RouterState {
    incarnation: u64,
    applied: Option<Edition>,
    address: Option<RouterAddress>,
    /// Whether it has a state to which changes can be applied: its own, or a snapshot on its way to it. Changes
    /// pushed for an earlier router incarnation cannot be applied.
    has_state: bool,
}

/// An agent's connection to the core on behalf of its router.
#[derive(Clone, Debug)]
pub struct Subscription {
    seeds: Vec<String>,
    view: View,
    core: CoreStream,
    target: String,
    next_dial: Instant,
    dial_count: usize,
    /// The tail's address as named by the connected keeper; dialled as soon as the redirect delay allows.
    redirect: Option<String>,
    last_heard: Instant,
    /// When the last lease was granted, or the connection was established.
    last_granted: Instant,
    last_renewed: Instant,
    renew_interval: Span,
    /// The earliest time at which messages arriving now can have been sent: when the last granted renewal was sent.
    /// After the machine slept, messages queued meanwhile must not count as new.
    stream_baseline: Instant,
    behind_since: Option<Instant>,
    router: Option<RouterState>,
    incarnations: u64,
    lease_until: Instant,
    effects: Vec<SubscriptionEffect>,
}

impl Subscription {
    /// An agent without a connection; `spread` selects the seed to dial first.
    pub fn new(seeds: Vec<String>, spread: usize) -> Subscription {
        Subscription {
            seeds,
            view: View::default(),
            core: CoreStream::Down,
            target: String::new(),
            next_dial: Instant(0),
            dial_count: spread,
            redirect: None,
            last_heard: Instant(0),
            last_granted: Instant(0),
            last_renewed: Instant(0),
            renew_interval: DEFAULT_RENEWAL_INTERVAL,
            stream_baseline: Instant(0),
            behind_since: None,
            router: None,
            incarnations: 0,
            lease_until: Instant(0),
            effects: Vec::new(),
        }
    }

    /// The agent's fleet, once known.
    pub fn fleet(&self) -> FleetId {
        self.view.fleet
    }

    /// The end of the router's lease.
    pub fn lease_until(&self) -> Instant {
        self.lease_until
    }

    /// Handles an input and returns the effects to carry out, in order.
    pub fn step(&mut self, input: SubscriptionInput, now: Instant) -> Vec<SubscriptionEffect> {
        match input {
            SubscriptionInput::Tick => self.tick(now),
            SubscriptionInput::CoreConnected => {
                self.core = CoreStream::Up;
                self.last_heard = now;
                self.last_granted = now;
                self.stream_baseline = now;
                self.behind_since = None;
                self.renew(now);
            }
            SubscriptionInput::CoreDisconnected => self.core = CoreStream::Down,
            SubscriptionInput::Core(message) => {
                if self.core == CoreStream::Up {
                    self.last_heard = now;
                    self.handle_core_message(message, now);
                }
            }
            SubscriptionInput::RouterConnected => {
                self.incarnations += 1;
                self.router = Some(RouterState {
                    incarnation: self.incarnations,
                    applied: None,
                    address: None,
                    has_state: false,
                });
                self.renew(now);
            }
            SubscriptionInput::RouterDisconnected => self.router = None,
            SubscriptionInput::Router(RouterToAgent::Announce(address)) => {
                if let Some(router) = self.router.as_mut() {
                    router.address = Some(address);
                }
            }
            SubscriptionInput::Router(RouterToAgent::Submit { ticket, submission }) => {
                self.send_to_core(AgentToKeeper::Submit { ticket, submission });
            }
            SubscriptionInput::Router(RouterToAgent::Demand(report)) => {
                self.send_to_core(AgentToKeeper::Demand(report))
            }
            SubscriptionInput::Router(RouterToAgent::Applied { edition }) => {
                let Some(router) = self.router.as_mut() else { return Vec::new() };
                let is_first = router.applied.is_none();
                router.applied = Some(edition);
                router.has_state = true;
                self.send_to_core(AgentToKeeper::Applied { edition });
                if is_first {
                    self.renew(now);
                }
            }
            SubscriptionInput::Seeds(seeds) => self.seeds = seeds,
        }
        std::mem::take(&mut self.effects)
    }

    fn send_to_core(&mut self, message: AgentToKeeper) {
        if self.core == CoreStream::Up {
            self.effects.push(SubscriptionEffect::SendToCore(message));
        }
    }

    fn renew(&mut self, now: Instant) {
        let Some(router) = &self.router else { return };
        let address = router.address.clone();
        let renewal = AgentToKeeper::Renew {
            sent: now,
            applied: router.applied,
            incarnation: router.incarnation,
            router: address,
        };
        self.last_renewed = now;
        self.send_to_core(renewal);
    }

    fn tick(&mut self, now: Instant) {
        match self.core {
            CoreStream::Up => {
                if now >= self.redirect_allowed_at()
                    && let Some(tail_address) = self.redirect.take()
                {
                    self.dial(tail_address, now);
                    return;
                }
                let is_silent = self.router.is_some() && now.since(self.last_heard) >= SILENCE_TIMEOUT;
                let is_behind = self.behind_since.is_some_and(|since| now.since(since) >= BEHIND_TIMEOUT);
                let grants_nothing = self.router.is_some() && now.since(self.last_granted) >= GRANT_TIMEOUT;
                if is_silent || is_behind || grants_nothing {
                    self.switch_keeper(now);
                    return;
                }
                if now.since(self.last_renewed) >= self.renewal_interval(now) {
                    self.renew(now);
                }
            }
            CoreStream::Down => self.dial_next(now),
            CoreStream::Dialling { since } => {
                if now.since(since) >= SILENCE_TIMEOUT {
                    self.switch_keeper(now);
                }
            }
        }
    }

    /// Dials another keeper than the current one. Redialling the same one could cost the whole timeout again: a tail
    /// that other keepers cannot reach still answers and still considers itself the tail.
    fn switch_keeper(&mut self, now: Instant) {
        let left = self.target.clone();
        self.dial_next_matching(now, |address| address != left);
    }

    /// The time until the next renewal: shorter while the lease is not valid beyond a full interval.
    fn renewal_interval(&self, now: Instant) -> Span {
        let is_leased = now + self.renew_interval < self.lease_until;
        if is_leased { self.renew_interval } else { EAGER_RENEWAL_INTERVAL }
    }

    /// When the next tick is due if no other input arrives before.
    pub fn next_tick(&self, now: Instant) -> Instant {
        let due = match self.core {
            CoreStream::Up if self.redirect.is_some() => self.redirect_allowed_at(),
            CoreStream::Up if self.router.is_some() => (self.last_renewed + self.renewal_interval(now))
                .min(self.last_heard + SILENCE_TIMEOUT)
                .min(self.last_granted + GRANT_TIMEOUT)
                .min(self.behind_since.map_or(now + SILENCE_TIMEOUT, |since| since + BEHIND_TIMEOUT)),
            CoreStream::Up => now + SILENCE_TIMEOUT,
            CoreStream::Down => self.next_dial,
            CoreStream::Dialling { since } => since + SILENCE_TIMEOUT,
        };
        due.max(now + MIN_TICK_INTERVAL)
    }

    /// Dials the next known address, round-robin.
    fn dial_next(&mut self, now: Instant) {
        self.dial_next_matching(now, |_| true);
    }

    /// Dials the next address that matches, or the next of all if none matches.
    fn dial_next_matching(&mut self, now: Instant, is_wanted: impl Fn(&str) -> bool) {
        if now < self.next_dial {
            return;
        }
        let mut addresses: Vec<String> = self.view.members.iter().map(|member| member.address.clone()).collect();
        for seed in &self.seeds {
            if !addresses.contains(seed) {
                addresses.push(seed.clone());
            }
        }
        if addresses.iter().any(|address| is_wanted(address)) {
            addresses.retain(|address| is_wanted(address));
        }
        if addresses.is_empty() {
            return;
        }
        let next_address = addresses[self.dial_count % addresses.len()].clone();
        self.dial_count += 1;
        self.dial(next_address, now);
    }

    fn dial(&mut self, address: String, now: Instant) {
        self.next_dial = now + DIAL_INTERVAL;
        self.core = CoreStream::Dialling { since: now };
        self.behind_since = None;
        self.redirect = None;
        self.target = address.clone();
        self.effects.push(SubscriptionEffect::Dial(address));
    }

    fn handle_core_message(&mut self, message: KeeperToAgent, now: Instant) {
        match message {
            KeeperToAgent::Membership(view) => self.handle_membership(view, now),
            KeeperToAgent::Granted { sent, span, incarnation, since_restart } => {
                self.last_granted = now;
                self.renew_interval = renewal_interval(span);
                self.stream_baseline = self.stream_baseline.max(sent);
                self.behind_since = None;
                self.redirect = None;
                let asked_for_this_incarnation =
                    self.router.as_ref().is_some_and(|router| router.incarnation == incarnation);
                if asked_for_this_incarnation {
                    self.lease_until = self.lease_until.max(sent + span);
                    let restarted = self.instant_at_age(since_restart);
                    let lease = AgentToRouter::Lease { requested_at: sent, until: sent + span, restarted };
                    self.effects.push(SubscriptionEffect::SendToRouter(lease));
                }
            }
            KeeperToAgent::NotNow => {}
            KeeperToAgent::Settled { ticket, outcome } => {
                self.effects.push(SubscriptionEffect::SendToRouter(AgentToRouter::Settled { ticket, outcome }));
            }
            KeeperToAgent::Routers(routers) => {
                self.effects.push(SubscriptionEffect::SendToRouter(AgentToRouter::Routers(routers)))
            }
            KeeperToAgent::Behind => {
                let has_applied = self.router.as_ref().is_some_and(|router| router.applied.is_some());
                if has_applied {
                    self.behind_since.get_or_insert(now);
                }
            }
            KeeperToAgent::Snapshot { state, gave_way } => {
                if let Some(router) = self.router.as_mut() {
                    router.has_state = true;
                }
                let gave_way =
                    gave_way.into_iter().map(|(model, weights, age)| (model, weights, self.instant_at_age(age)));
                let message = AgentToRouter::Snapshot { state, gave_way: gave_way.collect() };
                self.effects.push(SubscriptionEffect::SendToRouter(message));
            }
            KeeperToAgent::Push { number, submission, age } => {
                if !self.router.as_ref().is_some_and(|router| router.has_state) {
                    return;
                }
                let committed = age.map(|age| self.instant_at_age(age));
                self.effects.push(SubscriptionEffect::SendToRouter(AgentToRouter::Push {
                    number,
                    submission,
                    committed,
                }));
            }
        }
    }

    /// The earliest instant that a reported age can refer to.
    fn instant_at_age(&self, age: Span) -> Instant {
        Instant(self.stream_baseline.0.saturating_sub(age.0))
    }

    fn handle_membership(&mut self, view: View, now: Instant) {
        let other_fleet = self.view.fleet != FleetId(0) && view.fleet != FleetId(0) && view.fleet != self.view.fleet;
        if other_fleet {
            let detail = format!("theirs={} ours={}", view.fleet, self.view.fleet);
            self.effects.push(SubscriptionEffect::LogEvent { event: "wrong_fleet", detail });
            self.dial_next(now);
            return;
        }
        if view.number >= self.view.number {
            self.view = view;
        }
        let tail_address = self
            .view
            .tail()
            .and_then(|tail| self.view.member(tail))
            .map(|member| member.address.clone())
            .unwrap_or_default();
        if tail_address.is_empty() || tail_address == self.target {
            self.redirect = None;
        } else if now < self.redirect_allowed_at() {
            self.redirect = Some(tail_address);
        } else {
            self.dial(tail_address, now);
        }
    }

    /// The earliest time to follow a redirect from the current keeper. Two keepers that each name the other as tail
    /// must not cause a tight dial loop.
    fn redirect_allowed_at(&self) -> Instant {
        Instant(self.next_dial.0.saturating_sub(DIAL_INTERVAL.0)) + REDIRECT_DELAY
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;
    use coordinator::prelude::Command;

    fn at(seconds: u64) -> Instant {
        Instant(0) + Span::seconds(seconds)
    }

    /// The commit time forwarded to the router for a push with age zero that arrives at `now`.
    fn committed(subscription: &mut Subscription, now: Instant) -> Option<Instant> {
        let submission =
            Submission { request: RequestId(1), command: Command::Merge { base: None, patch: "{}".into() } };
        let push = KeeperToAgent::Push { number: Edition(1), submission, age: Some(Span(0)) };
        let plan = subscription.step(SubscriptionInput::Core(push), now);
        plan.into_iter().find_map(|effect| match effect {
            SubscriptionEffect::SendToRouter(AgentToRouter::Push { committed, .. }) => committed,
            _ => None,
        })
    }

    #[test]
    fn messages_queued_while_the_machine_slept_are_not_new() {
        let mut subscription = Subscription::new(vec!["k".into()], 0);
        subscription.step(SubscriptionInput::Tick, at(1));
        subscription.step(SubscriptionInput::CoreConnected, at(1));
        subscription.step(SubscriptionInput::RouterConnected, at(1));
        subscription.step(SubscriptionInput::Router(RouterToAgent::Applied { edition: Edition(0) }), at(1));
        let granted = |sent| {
            SubscriptionInput::Core(KeeperToAgent::Granted {
                sent,
                span: Span::seconds(2),
                incarnation: 1,
                since_restart: Span::seconds(60),
            })
        };
        subscription.step(granted(at(2)), at(2));
        assert_eq!(committed(&mut subscription, at(2)), Some(at(2)));
        assert_eq!(committed(&mut subscription, at(14)), Some(at(2)), "it slept for twelve seconds");
        subscription.step(granted(at(14)), at(14));
        assert_eq!(committed(&mut subscription, at(14)), Some(at(14)));
    }
}
