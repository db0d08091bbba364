//! Routers following the news of engines and of the store.

use crate::prelude::*;

impl World {
    /// A router's followers ask every source for its news, and now and then for its count.
    pub fn poll_sources(&mut self, node: usize, life: u64) {
        let now = self.now;
        let polled_node = &mut self.nodes[node];
        if polled_node.life != life {
            return;
        }
        if polled_node.frozen_until <= now
            && let Some(router) = polled_node.router.as_mut()
        {
            let local_now = polled_node.clock.read(now);
            for engine in self.engines.iter().filter(|engine| engine.up && engine.listed.is_some()) {
                let hides = engine.hides_until > now;
                follow(&mut router.picker, &engine.name, &engine.memory, hides, local_now);
                router.picker.record_running_count(&engine.name, engine.attempts.len() as u64, local_now);
            }
            if self.store_up {
                follow(&mut router.picker, &EngineName::from(STORE_SOURCE), &self.store, false, local_now);
            }
        }
        let pause = Span::millis(self.draw.between(300, 600));
        self.later(pause, SimEvent::Polls { node, life });
    }
}

fn follow(picker: &mut Picker, source: &EngineName, memory: &SimMemory, hides: bool, local_now: Instant) {
    let boot = memory.boot.to_string();
    match picker.event_position(source) {
        None => picker.apply_snapshot(source, &boot, memory.next_number(), memory.names(), local_now),
        Some(place) => {
            let (first, events) = memory.news_from(place.next_number);
            let events = if hides { Vec::new() } else { events };
            let first = if hides { place.next_number } else { first };
            picker.apply_events(source, &boot, first, &events, local_now);
        }
    }
}
