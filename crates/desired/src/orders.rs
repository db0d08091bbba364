//! How operators' submissions were settled. An operator that got no answer sends the same again, after seconds or
//! after hours, so these are remembered apart from what the fleet's own members submit by the thousand.

use crate::prelude::*;

/// How many submissions of operators are remembered, the latest: at six hundred changes a day those of six days.
pub const REMEMBERED_ORDERS: usize = 4096;

/// How an operator's submission was settled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SettledOrder {
    /// The record it was settled in.
    number: Edition,
    /// What was submitted: the same id with other content is another submission.
    fingerprint: BlockHash,
    outcome: Settled,
}

/// What is remembered of operators' submissions, by their ids.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SettledOrders {
    by_request: BTreeMap<RequestId, SettledOrder>,
}

impl SettledOrders {
    /// How a request was settled, if it is remembered.
    pub fn outcome(&self, request: RequestId) -> Option<&Settled> {
        self.by_request.get(&request).map(|order| &order.outcome)
    }

    /// Whether a request id was used for something else than this.
    pub fn is_taken_by_another(&self, request: RequestId, fingerprint: BlockHash) -> bool {
        self.by_request.get(&request).is_some_and(|order| order.fingerprint != fingerprint)
    }

    /// All that is remembered: the requests, and how each was settled.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &Settled)> {
        self.by_request.iter().map(|(request, order)| (*request, &order.outcome))
    }

    /// The request that was settled in a record, if an order was.
    fn settled_in(&self, number: Edition) -> Option<RequestId> {
        self.by_request.iter().find(|(_, order)| order.number == number).map(|(request, _)| *request)
    }

    /// Remembers a request; the one settled longest ago makes room.
    pub(crate) fn remember(&mut self, number: Edition, request: RequestId, fingerprint: BlockHash, outcome: Settled) {
        self.by_request.insert(request, SettledOrder { number, fingerprint, outcome });
        if self.by_request.len() <= REMEMBERED_ORDERS {
            return;
        }
        let oldest = self.by_request.iter().min_by_key(|(_, order)| order.number).map(|(request, _)| *request);
        if let Some(oldest) = oldest {
            self.by_request.remove(&oldest);
        }
    }
}

impl FleetState {
    /// The request that was settled last.
    pub fn last_settled(&self) -> Option<RequestId> {
        let order = self.orders.settled_in(self.edition);
        order.or_else(|| self.settled.back().map(|(request, _)| *request))
    }
}

impl Command {
    /// What an operator submits under an id of the operator's own; nothing for what is known by its content, or
    /// comes from the fleet's own members.
    pub fn order_fingerprint(&self) -> Option<BlockHash> {
        let base_bytes = |base: &Option<Edition>| base.map_or(u64::MAX, |base| base.0).to_le_bytes();
        match self {
            Command::Replace { base, text } => {
                Some(BlockHash::of_parts(&[b"replace", &base_bytes(base), text.as_bytes()]))
            }
            Command::Merge { base, patch } => {
                Some(BlockHash::of_parts(&[b"merge", &base_bytes(base), patch.as_bytes()]))
            }
            Command::Intend(intent) => Some(BlockHash::of_parts(&[b"intend", format!("{intent:?}").as_bytes()])),
            Command::Confirm { plan } => Some(BlockHash::of_parts(&[b"confirm", &plan.0.to_le_bytes()])),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn the_order_settled_longest_ago_makes_room() {
        let mut orders = SettledOrders::default();
        let fingerprint = BlockHash(1);
        let count = REMEMBERED_ORDERS as u64 + 3;
        for number in 1..=count {
            let taken = Settled::Taken(Edition(number));
            orders.remember(Edition(number), RequestId(u64::MAX - number), fingerprint, taken);
        }
        for number in 1..=count {
            let is_kept = number > 3;
            assert_eq!(orders.outcome(RequestId(u64::MAX - number)).is_some(), is_kept, "{number}");
        }
    }
}
