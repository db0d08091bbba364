//! Decides which effects of a step are still carried out. A message with an expired validity is dropped, for example
//! after a slow sync. The state machine assumes that it was sent, so each drop is reported to it.

use crate::prelude::*;

/// Filters the effects of one step, in order, and collects messages to nodes that were dropped.
#[derive(Debug, Default)]
pub struct Dispatch {
    unsent: BTreeMap<NodeId, Vec<KeeperToAgent>>,
}

impl Dispatch {
    /// Returns the effect if it may be carried out at `now`. After one message to a node is dropped, all later ones
    /// to that node are dropped too, because nodes accept changes without gaps only.
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

    /// The inputs that report dropped messages; the state machine must process them before its next step.
    pub fn into_inputs(self) -> impl Iterator<Item = Input> {
        self.unsent.into_iter().map(|(node, messages)| Input::NotSent { node, messages })
    }
}
