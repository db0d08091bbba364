//! The view as known to connected nodes. A node that loses its tail looks for the next one among the members of the
//! last view it received, so it gets every view, even if the tail is unchanged.

use crate::prelude::*;

/// Stands for no view sent yet.
pub(crate) const NO_VIEW: ViewNumber = ViewNumber(0);

impl Coordinator {
    /// Sends the current view to every connected node that does not have it.
    pub(crate) fn send_view(&mut self) {
        let view_number = self.view.number;
        let Some(tail) = self.tail.as_mut() else { return };
        for (node, place) in tail.pushed.iter_mut().filter(|(_, place)| place.view != view_number) {
            place.view = view_number;
            let message = KeeperToAgent::Membership(self.view.clone());
            self.effects.push(Effect::SendToNode { node: *node, message, until: None });
        }
    }
}
