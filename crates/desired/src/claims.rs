//! Claims of idempotency keys, kept for a guaranteed minimum time.
//!
//! The table has two generations. The chain's tail rotates it every [`CLAIM_RETENTION`], which drops the previous
//! generation. A full generation accepts no further claims: refusing a new key is safe, forgetting a claimed one
//! early is not.

use crate::prelude::*;

/// The minimum time a claim is kept; the maximum is twice that while the core makes progress.
pub const CLAIM_RETENTION: Span = Span::seconds(300);
/// The capacity of one generation.
pub const MAX_CLAIMS_PER_GENERATION: usize = 32_768;
/// Runs whose release is remembered.
const MAX_REMEMBERED_RELEASES: usize = 1024;

/// The run that made a claim: its router, and its number on that router.
pub type Claimant = (NodeId, u64);

/// The claims of the current and the previous generation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClaimTable {
    /// The number of rotations so far.
    #[serde(rename = "turn")]
    pub rotation: u64,
    #[serde(rename = "present")]
    current: BTreeMap<BlockHash, Claimant>,
    #[serde(rename = "before")]
    previous: BTreeMap<BlockHash, Claimant>,
    /// Runs that released their claim. A claim of such a run that arrives later, over a slower path, is refused.
    released: VecDeque<Claimant>,
}

/// The reason a claim is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimError {
    /// Another run holds the key.
    Held(Claimant),
    /// The run released its claim before.
    Released,
    /// The current generation is full.
    Full,
}

impl ClaimTable {
    /// A table without claims after this number of rotations.
    pub fn empty_at(rotation: u64) -> ClaimTable {
        ClaimTable { rotation, ..ClaimTable::default() }
    }

    /// Claims a key for a run; a repeated claim by the same run succeeds.
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

    /// Releases a run's claim and remembers the release.
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

    /// Starts a new generation and drops the previous one; false if `rotation` is not the current number.
    pub fn rotate_from(&mut self, rotation: u64) -> bool {
        let is_next = rotation == self.rotation;
        if is_next {
            self.rotation += 1;
            self.previous = std::mem::take(&mut self.current);
        }
        is_next
    }

    /// The number of claims in both generations.
    pub fn count(&self) -> usize {
        self.current.len() + self.previous.len()
    }
}

impl FleetState {
    /// Applies `Command::Claim`.
    pub(crate) fn claim(&mut self, number: Edition, claim: BlockHash, claimant: Claimant) -> CommandOutcome {
        let (path, reason) = match self.claim_table.acquire(claim, claimant) {
            Ok(()) => return CommandOutcome::Applied(number),
            Err(ClaimError::Held((router, run))) => (format!("{router}.{run}"), "claimed"),
            Err(ClaimError::Released) => (format!("{}.{}", claimant.0, claimant.1), "the claim was released before"),
            Err(ClaimError::Full) => (String::new(), CLAIMS_FULL),
        };
        CommandOutcome::refused(&path, reason)
    }

    /// Applies `Command::Release`.
    pub(crate) fn release(&mut self, number: Edition, claim: BlockHash, claimant: Claimant) -> CommandOutcome {
        self.claim_table.release(claim, claimant);
        CommandOutcome::Applied(number)
    }

    /// Applies `Command::RotateClaims`, once for each rotation number.
    pub(crate) fn rotate_claims(&mut self, number: Edition, rotation: u64) -> CommandOutcome {
        match self.claim_table.rotate_from(rotation) {
            true => CommandOutcome::Applied(number),
            false => CommandOutcome::refused("turn", "already rotated"),
        }
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn a_claim_survives_one_rotation_and_a_full_generation_drops_none() {
        let mut table = ClaimTable::default();
        let run = |number| (NodeId(1), number);
        for number in 0..MAX_CLAIMS_PER_GENERATION as u64 {
            assert_eq!(table.acquire(BlockHash(number), run(number)), Ok(()));
        }
        assert_eq!(table.acquire(BlockHash(u64::MAX), run(0)), Err(ClaimError::Full));
        assert_eq!(table.acquire(BlockHash(0), run(7)), Err(ClaimError::Held(run(0))), "the first of many");
        assert_eq!(table.acquire(BlockHash(0), run(0)), Ok(()), "the same claim again");
        assert!(table.rotate_from(0) && !table.rotate_from(0), "each rotation happens once");
        assert_eq!(table.acquire(BlockHash(0), run(7)), Err(ClaimError::Held(run(0))));
        assert_eq!(table.acquire(BlockHash(u64::MAX), run(8)), Ok(()), "the new generation has room");
        assert!(table.rotate_from(1));
        assert_eq!(table.acquire(BlockHash(0), run(7)), Ok(()));
        assert_eq!(table.count(), 2);
    }

    #[test]
    fn a_claim_that_arrives_after_its_release_is_refused() {
        let mut table = ClaimTable::default();
        table.release(BlockHash(7), (NodeId(1), 1));
        assert_eq!(table.acquire(BlockHash(7), (NodeId(1), 1)), Err(ClaimError::Released));
        assert_eq!(table.acquire(BlockHash(7), (NodeId(1), 2)), Ok(()));
    }
}
