//! Claims of idempotency keys, remembered for a stated time at least. The book has two pages; the chain's
//! tail has it turned at every span, and what stood on the page before is forgotten. A page that is
//! full takes no more: a key is refused rather than another forgotten early.

use crate::prelude::*;

/// How long a claim is remembered at least; at most twice as long, if the core stands.
pub const CLAIM_RETENTION: Span = Span::seconds(300);
/// How many claims one page takes.
pub const MAX_CLAIMS_PER_GENERATION: usize = 32_768;
const MAX_REMEMBERED_RELEASES: usize = 1024;

/// Which run made a claim: its router, and its number there.
pub type Claimant = (NodeId, u64);

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClaimTable {
    /// How often the book was turned.
    #[serde(rename = "turn")]
    pub rotation: u64,
    #[serde(rename = "present")]
    current: BTreeMap<BlockHash, Claimant>,
    #[serde(rename = "before")]
    previous: BTreeMap<BlockHash, Claimant>,
    /// Runs that gave their claim back: one that comes later, on a slower way, is void.
    released: VecDeque<Claimant>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimError {
    Held(Claimant),
    Released,
    Full,
}

impl ClaimTable {
    pub fn empty_at(rotation: u64) -> ClaimTable {
        ClaimTable { rotation, ..ClaimTable::default() }
    }

    /// A claim made again by its own run is the same claim.
    pub fn acquire(&mut self, claim: BlockHash, claimant: Claimant) -> Result<(), ClaimError> {
        let known = self.current.get(&claim).or_else(|| self.previous.get(&claim));
        if let Some(known_claimant) = known {
            return if *known_claimant == claimant { Ok(()) } else { Err(ClaimError::Held(*known_claimant)) };
        }
        if self.released.contains(&claimant) {
            return Err(ClaimError::Released);
        }
        if self.current.len() >= MAX_CLAIMS_PER_GENERATION {
            return Err(ClaimError::Full);
        }
        self.current.insert(claim, claimant);
        Ok(())
    }

    pub fn release(&mut self, claim: BlockHash, claimant: Claimant) {
        for generation in [&mut self.current, &mut self.previous] {
            if generation.get(&claim) == Some(&claimant) {
                generation.remove(&claim);
            }
        }
        self.released.push_back(claimant);
        if self.released.len() > MAX_REMEMBERED_RELEASES {
            self.released.pop_front();
        }
    }

    /// Turns the page; false if it was turned already.
    pub fn rotate_from(&mut self, rotation: u64) -> bool {
        let is_next = rotation == self.rotation;
        if is_next {
            self.rotation += 1;
            self.previous = std::mem::take(&mut self.current);
        }
        is_next
    }

    pub fn count(&self) -> usize {
        self.current.len() + self.previous.len()
    }
}

impl FleetState {
    /// A run claims a key.
    pub(crate) fn claim(&mut self, number: Edition, claim: BlockHash, claimant: Claimant) -> CommandOutcome {
        let (path, reason) = match self.claim_table.acquire(claim, claimant) {
            Ok(()) => return CommandOutcome::Applied(number),
            Err(ClaimError::Held((router, run))) => (format!("{router}.{run}"), "claimed"),
            Err(ClaimError::Released) => (format!("{}.{}", claimant.0, claimant.1), "given back before"),
            Err(ClaimError::Full) => (String::new(), CLAIMS_FULL),
        };
        CommandOutcome::refused(&path, reason)
    }

    /// A run gives its claim back.
    pub(crate) fn release(&mut self, number: Edition, claim: BlockHash, claimant: Claimant) -> CommandOutcome {
        self.claim_table.release(claim, claimant);
        CommandOutcome::Applied(number)
    }

    /// The tail has the book turned, once from each turn.
    pub(crate) fn rotate_claims(&mut self, number: Edition, rotation: u64) -> CommandOutcome {
        match self.claim_table.rotate_from(rotation) {
            true => CommandOutcome::Applied(number),
            false => CommandOutcome::refused("turn", "turned already"),
        }
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn a_claim_is_remembered_over_one_turn_and_no_other_is_forgotten_for_it() {
        let mut table = ClaimTable::default();
        let run = |number| (NodeId(1), number);
        for number in 0..MAX_CLAIMS_PER_GENERATION as u64 {
            assert_eq!(table.acquire(BlockHash(number), run(number)), Ok(()));
        }
        assert_eq!(table.acquire(BlockHash(u64::MAX), run(0)), Err(ClaimError::Full));
        assert_eq!(table.acquire(BlockHash(0), run(7)), Err(ClaimError::Held(run(0))), "the first of many");
        assert_eq!(table.acquire(BlockHash(0), run(0)), Ok(()), "the same claim again");
        assert!(table.rotate_from(0) && !table.rotate_from(0), "a page is turned once");
        assert_eq!(table.acquire(BlockHash(0), run(7)), Err(ClaimError::Held(run(0))));
        assert_eq!(table.acquire(BlockHash(u64::MAX), run(8)), Ok(()), "there is room again");
        assert!(table.rotate_from(1));
        assert_eq!(table.acquire(BlockHash(0), run(7)), Ok(()));
        assert_eq!(table.count(), 2);
    }

    #[test]
    fn a_claim_that_comes_after_its_giving_back_is_void() {
        let mut table = ClaimTable::default();
        table.release(BlockHash(7), (NodeId(1), 1));
        assert_eq!(table.acquire(BlockHash(7), (NodeId(1), 1)), Err(ClaimError::Released));
        assert_eq!(table.acquire(BlockHash(7), (NodeId(1), 2)), Ok(()));
    }
}
