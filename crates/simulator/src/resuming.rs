//! Callers that resume a run.

use crate::prelude::*;

impl World {
    /// A caller asks a router for the rest of its run. A router that does not hold the run carries the request on to
    /// the one that does, once.
    pub fn resume(&mut self, node: usize, caller: usize, forwarded: bool) {
        let woken_at = self.nodes[node].frozen_until;
        if woken_at > self.now {
            return self.defer(woken_at, SimEvent::ResumeArrives { node, caller, forwarded });
        }
        let local_now = self.nodes[node].clock.read(self.now);
        let Some(router) = self.nodes[node].router.as_mut() else {
            return self.deliver_to_caller(caller, CallerMessage::Refused);
        };
        if !is_leased(router.lease_until, local_now) {
            return self.deliver_to_caller(caller, CallerMessage::Refused);
        }
        let line = &self.callers[caller].line;
        let Some(tenant) = router.snapshot.tenants_by_key.get(&line.key).cloned() else {
            return self.deliver_to_caller(caller, CallerMessage::Gone);
        };
        let Some(named) = EventId::read(&line.run) else {
            return self.deliver_to_caller(caller, CallerMessage::Gone);
        };
        if named.router != router.id {
            let is_listed = !forwarded && router.routers.iter().any(|listed| listed.router == named.router);
            let holds = |other: &SimNode| other.router.as_ref().is_some_and(|known| known.id == named.router);
            let found = self.nodes.iter().position(holds).filter(|_| is_listed);
            let delay = self.net.delay(&mut self.rng);
            return match found {
                Some(holder) => {
                    self.schedule_after(delay, SimEvent::ResumeArrives { node: holder, caller, forwarded: true })
                }
                None => self.deliver_to_caller(caller, CallerMessage::Gone),
            };
        }
        let last_piece = line.pieces.checked_sub(1);
        let Some(run) = router.runs.get_mut(&named.run).filter(|run| run.request.tenant == tenant) else {
            return self.deliver_to_caller(caller, CallerMessage::Gone);
        };
        let Some(held) = &run.held else { return self.deliver_to_caller(caller, CallerMessage::Gone) };
        let Some(index) = resume_index(last_piece, held.count()) else {
            return self.deliver_to_caller(caller, CallerMessage::Gone);
        };
        let (pieces, end) = held.from(index);
        run.caller = Some((caller, self.callers[caller].attach()));
        let cut_kind = run.cut_kind;
        for piece in pieces {
            self.deliver_to_caller(caller, CallerMessage::Piece(piece));
        }
        match end {
            Some(HeldEnd::Whole) => self.deliver_to_caller(caller, CallerMessage::End),
            Some(HeldEnd::Cut(_)) => self.deliver_to_caller(caller, CallerMessage::Cut(cut_kind)),
            None => {}
        }
    }
}
