//! Callers that come back for the rest of a run.

use crate::prelude::*;

impl World {
    /// A caller asks a router for the rest of its run.
    pub fn resume(&mut self, node: usize, caller: usize, carried: bool) {
        let woken_at = self.nodes[node].frozen_until;
        if woken_at > self.now {
            return self.defer(woken_at, SimEvent::Resumes { node, caller, carried });
        }
        let local_now = self.nodes[node].clock.read(self.now);
        let Some(router) = self.nodes[node].router.as_mut() else {
            return self.caller_gets(caller, CallerNews::Refused);
        };
        if !is_leased(router.lease_until, local_now) {
            return self.caller_gets(caller, CallerNews::Refused);
        }
        let line = &self.callers[caller].line;
        let Some(tenant) = router.sight.tenants_by_key.get(&line.key).cloned() else {
            return self.caller_gets(caller, CallerNews::Gone);
        };
        let Some(named) = EventId::read(&line.run) else { return self.caller_gets(caller, CallerNews::Gone) };
        if named.router != router.id {
            let is_listed = !carried && router.routers.iter().any(|listed| listed.router == named.router);
            let holds = |other: &SimNode| other.router.as_ref().is_some_and(|known| known.id == named.router);
            let found = self.nodes.iter().position(holds).filter(|_| is_listed);
            let delay = self.net.delay(&mut self.draw);
            return match found {
                Some(holder) => self.later(delay, SimEvent::Resumes { node: holder, caller, carried: true }),
                None => self.caller_gets(caller, CallerNews::Gone),
            };
        }
        let last_piece = line.pieces.checked_sub(1);
        let Some(run) = router.runs.get_mut(&named.run).filter(|run| run.request.tenant == tenant) else {
            return self.caller_gets(caller, CallerNews::Gone);
        };
        let Some(held) = &run.held else { return self.caller_gets(caller, CallerNews::Gone) };
        let Some(place) = resume_index(last_piece, held.count()) else {
            return self.caller_gets(caller, CallerNews::Gone);
        };
        let (pieces, end) = held.from(place);
        run.caller = Some((caller, self.callers[caller].attach()));
        let cut_kind = run.cut_kind;
        for piece in pieces {
            self.caller_gets(caller, CallerNews::Piece(piece));
        }
        match end {
            Some(HeldEnd::Whole) => self.caller_gets(caller, CallerNews::End),
            Some(HeldEnd::Cut(_)) => self.caller_gets(caller, CallerNews::Cut(cut_kind)),
            None => {}
        }
    }
}
