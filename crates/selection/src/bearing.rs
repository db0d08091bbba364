//! Whether an engine can bear one request more, and when it may if it cannot now.

use crate::prelude::*;

const MEMORY_PERCENT: u128 = 90;
/// The longest queue, of the most urgent, in quarters of the slots; and the shortest.
const LONGEST_QUEUE_QUARTERS: u64 = 6;
const SHORTEST_QUEUE_QUARTERS: u64 = 2;
/// When to come back to an engine at which too many prompts wait, at the soonest.
const RETRY_WHEN_READ: Span = Span::millis(50);
const RETRY_BASE: Span = Span::millis(200);
const RETRY_LONGEST: Span = Span::seconds(2);

/// Of prompts that wait to be read at an engine, how many milliseconds a request bears: those of its target, fewer
/// if it is less urgent. Behind more of them it would come late, and so would all that come after it.
pub(crate) fn longest_wait_ms(request: &SelectionRequest) -> f64 {
    if request.target == Span(0) {
        return f64::INFINITY;
    }
    let urgency = LONGEST_QUEUE_QUARTERS.saturating_sub(request.priority).max(SHORTEST_QUEUE_QUARTERS);
    request.target.0 as f64 / 1e6 * urgency as f64 / LONGEST_QUEUE_QUARTERS as f64
}

/// How an engine passes, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Bearing {
    /// A place is free.
    Free,
    /// A place is free, but the engine has far more to do than others have.
    Crowded,
    /// No place is free, but its queue takes the request. The number is the queue's length.
    Queued(u64),
    /// It failed a moment ago and rests until then; taken only when there is nothing else.
    Resting(Instant),
}

/// How many requests an engine may have, waiting ones included, before it gets no more: a long queue makes
/// all of them late. The less urgent are turned away first.
fn queue_bound(slots: u64, priority: u64) -> u64 {
    let quarters = LONGEST_QUEUE_QUARTERS.saturating_sub(priority).max(SHORTEST_QUEUE_QUARTERS);
    slots.saturating_add((slots.saturating_mul(quarters) / 4).max(1))
}

/// How the engine passes, or else when it may.
pub(crate) fn bearing_of(
    candidate: &Candidate,
    known: &Known,
    request: &SelectionRequest,
    crowd: u64,
    others: &NodeLoad,
    now: Instant,
) -> Result<Bearing, Span> {
    if request.prompt_tokens > candidate.cache_tokens {
        return Err(RETRY_LONGEST);
    }
    if now < known.full_until {
        return Err(known.full_until.since(now));
    }
    let told_slots = known.told_slots(now).unwrap_or(u64::MAX);
    let listed_slots = if candidate.slots == 0 { told_slots } else { candidate.slots };
    let slots = if listed_slots == u64::MAX { 1 } else { listed_slots.min(told_slots) };
    let load = known.own_requests.saturating_add(others.requests);
    let has_memory = u128::from(known.own_tokens) + u128::from(others.tokens) + u128::from(request.tokens())
        <= u128::from(candidate.cache_tokens) * MEMORY_PERCENT / 100;
    let is_full = load >= slots || !has_memory;
    let own_bound = slots.saturating_add(slots / 2);
    if is_full && (known.own_requests >= own_bound || load >= queue_bound(slots, request.priority)) {
        let queue_spans = 1 + load.saturating_sub(slots) / slots;
        return Err(Span(RETRY_BASE.0.saturating_mul(queue_spans)).min(RETRY_LONGEST));
    }
    if now < known.rest_until {
        return Ok(Bearing::Resting(known.rest_until));
    }
    if is_full {
        return Ok(Bearing::Queued(load.saturating_sub(slots)));
    }
    if load >= crowd { Ok(Bearing::Crowded) } else { Ok(Bearing::Free) }
}

/// When an engine may take the request at which prompts wait for so much longer than the request bears.
pub(crate) fn retry_when_read(excess_ms: f64) -> Span {
    Span((excess_ms.max(0.0) * 1e6) as u64).clamp(RETRY_WHEN_READ, RETRY_LONGEST)
}

/// When to come back: as soon as the first engine may take it, later for the less urgent.
pub(crate) fn retry_after(spans: impl Iterator<Item = Span>, priority: u64) -> Span {
    let soonest = spans.min().unwrap_or(RETRY_LONGEST);
    let share = 4 + priority.min(4);
    Span(soonest.0.saturating_mul(share) / 4).min(RETRY_LONGEST)
}
