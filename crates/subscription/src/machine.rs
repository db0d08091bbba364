//! The machine: inputs from the core, from the router and from the pulse.

use crate::prelude::*;

const USUAL_RENEWAL: Span = Span::millis(400);
const SHORTEST_PAUSE: Span = Span::millis(20);
const EAGER_SPAN: Span = Span::millis(100);
const SILENCE_LIMIT: Span = Span::millis(1200);
/// A keeper that grants nothing for so long may take itself for a tail that others have replaced.
const GRANT_LIMIT: Span = Span::millis(1500);
const BEHIND_LIMIT: Span = Span::millis(900);
const DIAL_SPAN: Span = Span::millis(250);
/// A keeper that names the tail is believed after so short a time.
const REDIRECT_SPAN: Span = Span::millis(60);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CoreStream {
    Down,
    Dialling { since: Instant },
    Up,
}

#[derive(Clone, Debug)]
struct RouterPlace {
    life: u64,
    applied: Option<Edition>,
    address: Option<RouterAddress>,
    /// It has a state that changes can follow: its own, or a snapshot that is on its way to it. What was
    /// pushed for the router before it can follow nothing.
    has_state: bool,
}

/// An agent's hold on the core, for its router.
#[derive(Clone, Debug)]
pub struct Subscription {
    seeds: Vec<String>,
    view: View,
    core: CoreStream,
    target: String,
    next_dial: Instant,
    dial_count: usize,
    /// The tail as the keeper dialled last names it, to be dialled at the next moment that allows it.
    redirect: Option<String>,
    last_heard: Instant,
    /// When the last lease was granted, or the stream came up.
    last_granted: Instant,
    last_renewed: Instant,
    renew_span: Span,
    /// What comes on this stream now was not said before: when the renewal last granted left here. A
    /// machine that slept must not take what waited for it meanwhile for new.
    said_since: Instant,
    behind_since: Option<Instant>,
    router: Option<RouterPlace>,
    lives: u64,
    lease_until: Instant,
    plan: Vec<SubscriptionEffect>,
}

impl Subscription {
    /// An agent that has reached nobody yet; `spread` says with which seed it begins.
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
            renew_span: USUAL_RENEWAL,
            said_since: Instant(0),
            behind_since: None,
            router: None,
            lives: 0,
            lease_until: Instant(0),
            plan: Vec::new(),
        }
    }

    /// The fleet it belongs to, once it knows.
    pub fn fleet(&self) -> FleetId {
        self.view.fleet
    }

    /// Until when its router is leased.
    pub fn lease_until(&self) -> Instant {
        self.lease_until
    }

    /// Takes an input; what is to be done about it, in order.
    pub fn step(&mut self, input: SubscriptionInput, now: Instant) -> Vec<SubscriptionEffect> {
        match input {
            SubscriptionInput::Pulse => self.pulse(now),
            SubscriptionInput::CoreUp => {
                self.core = CoreStream::Up;
                self.last_heard = now;
                self.last_granted = now;
                self.said_since = now;
                self.behind_since = None;
                self.renew(now);
            }
            SubscriptionInput::CoreDown => self.core = CoreStream::Down,
            SubscriptionInput::Core(message) => {
                if self.core == CoreStream::Up {
                    self.last_heard = now;
                    self.hear_core(message, now);
                }
            }
            SubscriptionInput::RouterUp => {
                self.lives += 1;
                self.router = Some(RouterPlace { life: self.lives, applied: None, address: None, has_state: false });
                self.renew(now);
            }
            SubscriptionInput::RouterDown => self.router = None,
            SubscriptionInput::Router(RouterUp::Here(address)) => {
                if let Some(router) = self.router.as_mut() {
                    router.address = Some(address);
                }
            }
            SubscriptionInput::Router(RouterUp::Submit { ticket, submission }) => {
                self.say_core(NodeUp::Submit { ticket, submission });
            }
            SubscriptionInput::Router(RouterUp::Demand(report)) => self.say_core(NodeUp::Demand(report)),
            SubscriptionInput::Router(RouterUp::Applied { edition }) => {
                let Some(router) = self.router.as_mut() else { return Vec::new() };
                let is_first = router.applied.is_none();
                router.applied = Some(edition);
                router.has_state = true;
                self.say_core(NodeUp::Applied { edition });
                if is_first {
                    self.renew(now);
                }
            }
            SubscriptionInput::Seeds(seeds) => self.seeds = seeds,
        }
        std::mem::take(&mut self.plan)
    }

    fn say_core(&mut self, message: NodeUp) {
        if self.core == CoreStream::Up {
            self.plan.push(SubscriptionEffect::SayCore(message));
        }
    }

    fn renew(&mut self, now: Instant) {
        let Some(router) = &self.router else { return };
        let address = router.address.clone();
        let renewal = NodeUp::Renew { sent: now, applied: router.applied, life: router.life, router: address };
        self.last_renewed = now;
        self.say_core(renewal);
    }

    fn pulse(&mut self, now: Instant) {
        match self.core {
            CoreStream::Up => {
                if now >= self.redirected_from()
                    && let Some(tail_address) = self.redirect.take()
                {
                    self.dial(tail_address, now);
                    return;
                }
                let silent_too_long = self.router.is_some() && now.since(self.last_heard) >= SILENCE_LIMIT;
                let behind_too_long = self.behind_since.is_some_and(|since| now.since(since) >= BEHIND_LIMIT);
                let granted_nothing = self.router.is_some() && now.since(self.last_granted) >= GRANT_LIMIT;
                if silent_too_long || behind_too_long || granted_nothing {
                    self.leave(now);
                    return;
                }
                if now.since(self.last_renewed) >= self.pause(now) {
                    self.renew(now);
                }
            }
            CoreStream::Down => self.dial_another(now),
            CoreStream::Dialling { since } => {
                if now.since(since) >= SILENCE_LIMIT {
                    self.leave(now);
                }
            }
        }
    }

    /// Gives up the present keeper for another. The same one again would cost its whole limit once more: a
    /// tail that the other keepers cannot reach still answers, and still takes itself for the tail.
    fn leave(&mut self, now: Instant) {
        let left = self.target.clone();
        self.dial_one(now, |address| address != left);
    }

    /// Between two renewals.
    fn pause(&self, now: Instant) -> Span {
        let is_leased = now + self.renew_span < self.lease_until;
        if is_leased { self.renew_span } else { EAGER_SPAN }
    }

    /// When the next pulse is due, if nothing comes before.
    pub fn next_pulse(&self, now: Instant) -> Instant {
        let due = match self.core {
            CoreStream::Up if self.redirect.is_some() => self.redirected_from(),
            CoreStream::Up if self.router.is_some() => (self.last_renewed + self.pause(now))
                .min(self.last_heard + SILENCE_LIMIT)
                .min(self.last_granted + GRANT_LIMIT)
                .min(self.behind_since.map_or(now + SILENCE_LIMIT, |since| since + BEHIND_LIMIT)),
            CoreStream::Up => now + SILENCE_LIMIT,
            CoreStream::Down => self.next_dial,
            CoreStream::Dialling { since } => since + SILENCE_LIMIT,
        };
        due.max(now + SHORTEST_PAUSE)
    }

    /// Everybody in turn.
    fn dial_another(&mut self, now: Instant) {
        self.dial_one(now, |_| true);
    }

    /// The next in turn of those wanted, or of all if none is.
    fn dial_one(&mut self, now: Instant, is_wanted: impl Fn(&str) -> bool) {
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
        self.next_dial = now + DIAL_SPAN;
        self.core = CoreStream::Dialling { since: now };
        self.behind_since = None;
        self.redirect = None;
        self.target = address.clone();
        self.plan.push(SubscriptionEffect::Dial(address));
    }

    fn hear_core(&mut self, message: NodeDown, now: Instant) {
        match message {
            NodeDown::Membership(view) => self.hear_membership(view, now),
            NodeDown::Granted { sent, span, life, undisturbed } => {
                self.last_granted = now;
                self.renew_span = renewal_interval(span);
                self.said_since = self.said_since.max(sent);
                self.behind_since = None;
                self.redirect = None;
                let asked_for_this_life = self.router.as_ref().is_some_and(|router| router.life == life);
                if asked_for_this_life {
                    self.lease_until = self.lease_until.max(sent + span);
                    let disturbed = self.when(undisturbed);
                    let lease = RouterDown::Lease { asked: sent, until: sent + span, disturbed };
                    self.plan.push(SubscriptionEffect::SayRouter(lease));
                }
            }
            NodeDown::NotNow => {}
            NodeDown::Settled { ticket, outcome } => {
                self.plan.push(SubscriptionEffect::SayRouter(RouterDown::Settled { ticket, outcome }));
            }
            NodeDown::Routers(routers) => self.plan.push(SubscriptionEffect::SayRouter(RouterDown::Routers(routers))),
            NodeDown::Behind => {
                let has_applied = self.router.as_ref().is_some_and(|router| router.applied.is_some());
                if has_applied {
                    self.behind_since.get_or_insert(now);
                }
            }
            NodeDown::Snapshot { state, gave_way } => {
                if let Some(router) = self.router.as_mut() {
                    router.has_state = true;
                }
                let gave_way = gave_way.into_iter().map(|(model, weights, age)| (model, weights, self.when(age)));
                let message = RouterDown::Snapshot { state, gave_way: gave_way.collect() };
                self.plan.push(SubscriptionEffect::SayRouter(message));
            }
            NodeDown::Push { number, submission, age } => {
                if !self.router.as_ref().is_some_and(|router| router.has_state) {
                    return;
                }
                let committed = age.map(|age| self.when(age));
                self.plan.push(SubscriptionEffect::SayRouter(RouterDown::Push { number, submission, committed }));
            }
        }
    }

    /// The earliest instant of what was so long ago when it was said.
    fn when(&self, age: Span) -> Instant {
        Instant(self.said_since.0.saturating_sub(age.0))
    }

    fn hear_membership(&mut self, view: View, now: Instant) {
        let other_fleet = self.view.fleet != FleetId(0) && view.fleet != FleetId(0) && view.fleet != self.view.fleet;
        if other_fleet {
            let detail = format!("theirs={} ours={}", view.fleet, self.view.fleet);
            self.plan.push(SubscriptionEffect::Note { event: "wrong_fleet", detail });
            self.dial_another(now);
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
        } else if now < self.redirected_from() {
            self.redirect = Some(tail_address);
        } else {
            self.dial(tail_address, now);
        }
    }

    /// From when on the keeper dialled last is believed that another is the tail: two that name each other must
    /// not be dialled without a pause.
    fn redirected_from(&self) -> Instant {
        Instant(self.next_dial.0.saturating_sub(DIAL_SPAN.0)) + REDIRECT_SPAN
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;
    use coordinator::prelude::Command;

    fn at(seconds: u64) -> Instant {
        Instant(0) + Span::seconds(seconds)
    }

    /// What the router is told of a push that says "just now", heard at an instant.
    fn committed(subscription: &mut Subscription, now: Instant) -> Option<Instant> {
        let submission =
            Submission { request: RequestId(1), command: Command::Merge { base: None, patch: "{}".into() } };
        let push = NodeDown::Push { number: Edition(1), submission, age: Some(Span(0)) };
        let plan = subscription.step(SubscriptionInput::Core(push), now);
        plan.into_iter().find_map(|effect| match effect {
            SubscriptionEffect::SayRouter(RouterDown::Push { committed, .. }) => committed,
            _ => None,
        })
    }

    #[test]
    fn what_waited_for_a_sleeping_machine_is_not_new() {
        let mut subscription = Subscription::new(vec!["k".into()], 0);
        subscription.step(SubscriptionInput::Pulse, at(1));
        subscription.step(SubscriptionInput::CoreUp, at(1));
        subscription.step(SubscriptionInput::RouterUp, at(1));
        subscription.step(SubscriptionInput::Router(RouterUp::Applied { edition: Edition(0) }), at(1));
        let granted = |sent| {
            SubscriptionInput::Core(NodeDown::Granted {
                sent,
                span: Span::seconds(2),
                life: 1,
                undisturbed: Span::seconds(60),
            })
        };
        subscription.step(granted(at(2)), at(2));
        assert_eq!(committed(&mut subscription, at(2)), Some(at(2)));
        assert_eq!(committed(&mut subscription, at(14)), Some(at(2)), "it slept for twelve seconds");
        subscription.step(granted(at(14)), at(14));
        assert_eq!(committed(&mut subscription, at(14)), Some(at(14)));
    }
}
