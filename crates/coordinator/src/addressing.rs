//! Addressing of messages between keepers. A connection leads to an address, and by the time a message arrives
//! another incarnation of the process, or an empty keeper that replaced a lost one, may listen there. Each message
//! names its receiver's id and incarnation, and any other receiver drops it.

use crate::prelude::*;

/// Minimum time between two log lines about dropped messages.
const LOG_INTERVAL: Span = Span::seconds(1);

/// Messages that reached this keeper but were addressed to another.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Misdirected {
    pub(crate) count: u64,
    logged_at: Option<Instant>,
    /// When this keeper's status was last sent in reply. Replies are rate-limited because each may make the sender
    /// send again.
    answered_at: Option<Instant>,
}

impl Coordinator {
    /// This keeper's id and incarnation.
    pub fn own_incarnation(&self) -> KeeperIncarnation {
        KeeperIncarnation { id: self.me.id, incarnation: self.incarnation }
    }

    /// How many messages were dropped because they were addressed to another keeper, incarnation or fleet.
    pub fn misdirected(&self) -> u64 {
        self.misdirected.count
    }

    /// Sends to the known incarnation of a keeper: the one being replied to, or else the one heard last.
    pub(crate) fn send(&mut self, to: NodeId, message: CoreMessage) {
        self.send_until(to, message, None);
    }

    /// Sends a message that is valid only until an instant; it is dropped if it would be sent later.
    pub(crate) fn send_until(&mut self, to: NodeId, message: CoreMessage, until: Option<Instant>) {
        if to == self.me.id {
            self.inbox.push_back(message);
            return;
        }
        let receiver = self.known_incarnation(to);
        if receiver.is_some() || message.is_broadcast() {
            self.send_envelope(to, receiver, message, until);
        }
    }

    /// Sends to exactly one incarnation of a keeper.
    pub(crate) fn send_to_incarnation(
        &mut self,
        to: KeeperIncarnation,
        message: CoreMessage,
        until: Option<Instant>,
    ) {
        if to.id == self.me.id {
            self.inbox.push_back(message);
            return;
        }
        self.send_envelope(to.id, Some(to), message, until);
    }

    fn send_envelope(
        &mut self,
        to: NodeId,
        incarnation: Option<KeeperIncarnation>,
        message: CoreMessage,
        until: Option<Instant>,
    ) {
        let Some(address) = self.address_of(to) else { return };
        let receiver = incarnation.filter(|_| !message.is_broadcast());
        let envelope = self.envelope(receiver, message);
        self.effects.push(Effect::Send { address, envelope, until });
    }

    /// Sends a broadcast message to whichever keeper listens at an address.
    pub(crate) fn send_to_address(&mut self, address: String, message: CoreMessage) {
        let envelope = self.envelope(None, message);
        self.effects.push(Effect::Send { address, envelope, until: None });
    }

    fn envelope(&self, to: Option<KeeperIncarnation>, message: CoreMessage) -> Envelope {
        Envelope { fleet: self.view.fleet, from: self.own_incarnation(), to, message }
    }

    fn known_incarnation(&self, id: NodeId) -> Option<KeeperIncarnation> {
        let answered = self.replying_to.filter(|answered| answered.id == id);
        answered.or_else(|| self.peers.get(&id).map(|peer| KeeperIncarnation { id, incarnation: peer.incarnation }))
    }

    fn address_of(&self, node: NodeId) -> Option<String> {
        let known_member = self.known_members.get(&node).or_else(|| self.view.member(node))?;
        Some(known_member.address.clone())
    }

    /// Handles another keeper's message if it is addressed to this incarnation of this keeper.
    pub(crate) fn receive(&mut self, envelope: Envelope, now: Instant) {
        if !self.is_addressed_to_us(&envelope) {
            self.drop_misdirected(&envelope, now);
            return;
        }
        self.replying_to = Some(envelope.from);
        self.handle_message(envelope.from, envelope.message, now);
        self.replying_to = None;
    }

    fn is_addressed_to_us(&self, envelope: &Envelope) -> bool {
        let own_fleet = self.view.fleet;
        let is_other_fleet = own_fleet != FleetId(0) && envelope.fleet != FleetId(0) && envelope.fleet != own_fleet;
        let is_addressed = match envelope.to {
            Some(receiver) => receiver == self.own_incarnation(),
            None => envelope.message.is_broadcast(),
        };
        !is_other_fleet && is_addressed && envelope.from.id != self.me.id
    }

    /// Counts a misdirected message. A sender of the same fleet gets this keeper's status, from which it learns the
    /// current incarnation.
    fn drop_misdirected(&mut self, envelope: &Envelope, now: Instant) {
        self.misdirected.count += 1;
        let is_due = self.misdirected.logged_at.is_none_or(|noted| now.since(noted) >= LOG_INTERVAL);
        if is_due {
            self.misdirected.logged_at = Some(now);
            let meant = envelope.to.map_or("nobody".to_owned(), |receiver| receiver.id.to_string());
            let detail = format!(
                "from={} fleet={} for={meant} count={}",
                envelope.from.id, envelope.fleet, self.misdirected.count
            );
            self.log_event("misdirected", detail);
        }
        let is_of_this_fleet = envelope.fleet == self.view.fleet && envelope.from.id != self.me.id;
        let may_answer =
            self.misdirected.answered_at.is_none_or(|answered| now.since(answered) >= HEARTBEAT_INTERVAL);
        if is_of_this_fleet && envelope.to.is_some() && may_answer {
            self.misdirected.answered_at = Some(now);
            let status = CoreMessage::Heartbeat(self.own_status(now));
            self.send(envelope.from.id, status);
        }
    }
}
