//! Decides whether an engine can accept another request, and estimates when it will if it can't.

use crate::prelude::*;

/// The share of an engine's memory that requests may use.
const MEMORY_PERCENT: u128 = 90;
/// The queue bound of the most urgent requests, in quarters of the slots.
const LONGEST_QUEUE_QUARTERS: u64 = 6;
/// The queue bound of the least urgent requests, in quarters of the slots.
const SHORTEST_QUEUE_QUARTERS: u64 = 2;
/// The shortest retry delay when too much prefill is pending.
const PREFILL_RETRY_MIN: Span = Span::millis(50);
const RETRY_BASE: Span = Span::millis(200);
const RETRY_MAX: Span = Span::seconds(2);

/// The longest wait for pending prefill that a request accepts, in milliseconds: its target, less if it is less
/// urgent. After a longer wait the request would be late, and so would all requests queued behind it.
pub(crate) fn max_wait_ms(request: &SelectionRequest) -> f64 {
    if request.target == Span(0) {
        return f64::INFINITY;
    }
    let urgency = LONGEST_QUEUE_QUARTERS.saturating_sub(request.priority).max(SHORTEST_QUEUE_QUARTERS);
    request.target.0 as f64 / 1e6 * urgency as f64 / LONGEST_QUEUE_QUARTERS as f64
}

/// How well an engine can accept a request, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Availability {
    /// A slot and memory are free.
    Free,
    /// A slot and memory are free, but the engine has far more requests than the average.
    Overloaded,
    /// No slot or memory is free, but the queue accepts the request. Holds the queue's length.
    Queued(u64),
    /// The engine failed recently and backs off until this instant; used only if there is no other engine.
    BackingOff(Instant),
}

/// The number of requests, running and waiting, from which on an engine gets no more: a long queue makes all of
/// them late. Less urgent requests are rejected first.
fn queue_bound(slots: u64, priority: u64) -> u64 {
    let quarters = LONGEST_QUEUE_QUARTERS.saturating_sub(priority).max(SHORTEST_QUEUE_QUARTERS);
    slots.saturating_add((slots.saturating_mul(quarters) / 4).max(1))
}

/// The engine's availability, or the delay after which it may accept the request.
pub(crate) fn availability_of(
    candidate: &Candidate,
    state: &SourceState,
    request: &SelectionRequest,
    overload_bound: u64,
    others: &NodeLoad,
    now: Instant,
) -> Result<Availability, Span> {
    if request.prompt_tokens > candidate.cache_tokens {
        return Err(RETRY_MAX);
    }
    if now < state.full_until {
        return Err(state.full_until.since(now));
    }
    let reported_slots = state.reported_slots(now).unwrap_or(u64::MAX);
    let listed_slots = if candidate.slots == 0 { reported_slots } else { candidate.slots };
    let slots = if listed_slots == u64::MAX { 1 } else { listed_slots.min(reported_slots) };
    let load = state.own_requests.saturating_add(others.requests);
    let has_memory = u128::from(state.own_tokens) + u128::from(others.tokens) + u128::from(request.tokens())
        <= u128::from(candidate.cache_tokens) * MEMORY_PERCENT / 100;
    let is_full = load >= slots || !has_memory;
    let own_bound = slots.saturating_add(slots / 2);
    if is_full && (state.own_requests >= own_bound || load >= queue_bound(slots, request.priority)) {
        let queue_lengths = 1 + load.saturating_sub(slots) / slots;
        return Err(Span(RETRY_BASE.0.saturating_mul(queue_lengths)).min(RETRY_MAX));
    }
    if now < state.backoff_until {
        return Ok(Availability::BackingOff(state.backoff_until));
    }
    if is_full {
        return Ok(Availability::Queued(load.saturating_sub(slots)));
    }
    if load >= overload_bound { Ok(Availability::Overloaded) } else { Ok(Availability::Free) }
}

/// The retry delay if the pending prefill exceeds the wait that the request accepts by this much.
pub(crate) fn prefill_retry_delay(excess_ms: f64) -> Span {
    Span((excess_ms.max(0.0) * 1e6) as u64).clamp(PREFILL_RETRY_MIN, RETRY_MAX)
}

/// The retry delay: when the first engine may accept the request, longer for less urgent requests.
pub(crate) fn retry_delay(delays: impl Iterator<Item = Span>, priority: u64) -> Span {
    let shortest = delays.min().unwrap_or(RETRY_MAX);
    let quarters = 4 + priority.min(4);
    Span(shortest.0.saturating_mul(quarters) / 4).min(RETRY_MAX)
}
