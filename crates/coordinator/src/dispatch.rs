//! What of a plan still leaves this machine. A message that is true only until an instant is dropped once
//! that has passed, as after a slow sync; the machine that planned it counts it as sent, so it is told.

use crate::prelude::*;

/// Passes the effects of one plan on, in order, and keeps what was to go to nodes and did not.
#[derive(Debug, Default)]
pub struct Dispatch {
    unsent: BTreeMap<NodeId, Vec<KeeperToAgent>>,
}

impl Dispatch {
    /// The effect, if it may be carried out at `now`. Once something for a node was dropped, so is all that
    /// follows it for the same node: a node takes changes without gaps only.
    pub fn admit(&mut self, effect: Effect, now: Instant) -> Option<Effect> {
        match effect {
            Effect::Send { until: Some(until), .. } if now >= until => None,
            Effect::SendToNode { node, message, until } => {
                let is_late = until.is_some_and(|until| now >= until);
                if is_late || self.unsent.contains_key(&node) {
                    self.unsent.entry(node).or_default().push(message);
                    return None;
                }
                Some(Effect::SendToNode { node, message, until })
            }
            other => Some(other),
        }
    }

    /// What the machine must be told before its next step, once the whole plan was passed on.
    pub fn into_inputs(self) -> impl Iterator<Item = Input> {
        self.unsent.into_iter().map(|(node, messages)| Input::NotSent { node, messages })
    }
}
