//! The retry budget: each first attempt adds a fraction of a retry, and the balance is capped, so that
//! retries stay below their share of the traffic over any interval.

/// The balance of retries, in hundredths of an attempt.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: u64,
    max_balance: u64,
}

/// The cost of one attempt in units of the balance.
const ATTEMPT_COST: u64 = 100;
/// Two attempts.
const DEFAULT_MAX_BALANCE: u64 = 200;

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { balance: ATTEMPT_COST, max_balance: DEFAULT_MAX_BALANCE }
    }
}

impl RetryBudget {
    /// Caps the balance at this many whole attempts, at least one.
    pub fn set_max_attempts(&mut self, attempts: u64) {
        self.max_balance = attempts.max(1) * ATTEMPT_COST;
        self.balance = self.balance.min(self.max_balance);
    }

    /// Adds this percentage of an attempt to the balance, up to the cap.
    pub fn deposit(&mut self, percent: u64) {
        self.balance = (self.balance + percent).min(self.max_balance);
    }

    /// Takes one attempt from the balance and returns true, or returns false if the balance is too low.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(remaining) = self.balance.checked_sub(ATTEMPT_COST) else { return false };
        self.balance = remaining;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::RetryBudget;

    #[test]
    fn retries_stay_within_their_share() {
        let mut budget = RetryBudget::default();
        let granted_count = (0..1000)
            .filter(|_| {
                budget.deposit(10);
                budget.try_withdraw()
            })
            .count();
        assert!((100..=102).contains(&granted_count), "{granted_count}");
        let mut idle_budget = RetryBudget::default();
        (0..1000).for_each(|_| idle_budget.deposit(10));
        assert_eq!((0..10).filter(|_| idle_budget.try_withdraw()).count(), 2, "the balance is capped");
    }
}
