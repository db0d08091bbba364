//! Routers poll the cache events of the engines and of the store.

use crate::prelude::*;

impl World {
    /// Polls every source for its cache events and every engine for its number of running attempts.
    pub fn poll_sources(&mut self, node: usize, incarnation: u64) {
        let now = self.now;
        let polled_node = &mut self.nodes[node];
        if polled_node.incarnation != incarnation {
            return;
        }
        if polled_node.frozen_until <= now
            && let Some(router) = polled_node.router.as_mut()
        {
            let local_now = polled_node.clock.read(now);
            for engine in self.engines.iter().filter(|engine| engine.up && engine.listed.is_some()) {
                let hides_events = engine.events_hidden_until > now;
                follow_source(&mut router.picker, &engine.name, &engine.cache, hides_events, local_now);
                router.picker.record_running_count(&engine.name, engine.attempts.len() as u64, local_now);
            }
            if self.store_up {
                follow_source(&mut router.picker, &EngineName::from(STORE_SOURCE), &self.store, false, local_now);
            }
        }
        let pause = Span::millis(self.rng.between(300, 600));
        self.schedule_after(pause, SimEvent::PollSources { node, incarnation });
    }
}

fn follow_source(
    picker: &mut Picker,
    source: &EngineName,
    cache: &SimBlockCache,
    hides_events: bool,
    local_now: Instant,
) {
    let boot = cache.boot.to_string();
    match picker.event_position(source) {
        None => picker.apply_snapshot(source, &boot, cache.next_number(), cache.hashes(), local_now),
        Some(place) => {
            let (first, events) = cache.events_from(place.next_number);
            let events = if hides_events { Vec::new() } else { events };
            let first = if hides_events { place.next_number } else { first };
            picker.apply_events(source, &boot, first, &events, local_now);
        }
    }
}
