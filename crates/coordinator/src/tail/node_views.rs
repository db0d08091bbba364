//! The view as linked nodes know it. A node that loses its tail looks for the next one among the members of
//! the view it was told last, so it is told each view, also while its tail stays the same.

use crate::prelude::*;

/// The number of no view that was ever told.
pub(crate) const NO_VIEW: ViewNumber = ViewNumber(0);

impl Coordinator {
    /// Tells every linked node the present view, if it was not told yet.
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
