//! The feed: the duty that holds the loopback stream to the agent, applies snapshots and numbered
//! changes in order, never backwards, publishes each, and says which edition is in force here.

use crate::prelude::*;

const REDIAL_PAUSE: Duration = Duration::from_millis(100);

pub fn keep_feed(agent_address: String, router: NodeId, stand: Arc<Stand>, table: TableAsker) {
    duty("feed", move || {
        let (pause_end, pause) = ring::<()>(1);
        let feed = Mutex::new(Feed { stand, table, link: None });
        let tell = |link_event| {
            feed.lock().expect("no holder of this lock panics").take(link_event);
            true
        };
        loop {
            let own_hello = Hello::new(FleetId(0), router, Purpose::Router);
            if let Err(reason) = dial_and_hold(&agent_address, own_hello, &tell) {
                event!(debug, "agent_unreachable", reason = reason);
            }
            let _ = pause.recv_timeout(REDIAL_PAUSE);
            let _ = &pause_end;
        }
    });
}

struct Feed {
    stand: Arc<Stand>,
    table: TableAsker,
    link: Option<Link>,
}

impl Feed {
    fn take(&mut self, link_event: LinkEvent<RouterDown>) {
        match link_event {
            LinkEvent::Up(link, _) => {
                self.link = Some(link);
                event!(info, "agent_up");
                let edition = self.stand.sight().state.edition;
                if edition > Edition(0) {
                    self.say_applied(edition);
                }
            }
            LinkEvent::Down(_, reason) => {
                self.link = None;
                event!(warn, "agent_down", reason = reason);
            }
            LinkEvent::Said(_, RouterDown::Lease { until }) => self.stand.extend_lease(until),
            LinkEvent::Said(_, RouterDown::Snapshot(state)) => {
                if state.edition > self.stand.sight().state.edition {
                    self.put_in_force(*state, None);
                }
            }
            LinkEvent::Said(_, RouterDown::Push { number, submission, age }) => {
                let current = self.stand.sight();
                if number <= current.state.edition {
                    return;
                }
                if number != current.state.edition.next() {
                    event!(warn, "push_gap", expected = current.state.edition.next(), got = number);
                    if let Some(link) = &self.link {
                        link.close();
                    }
                    return;
                }
                let mut state = (*current.state).clone();
                state.apply(&submission);
                self.put_in_force(state, age);
            }
        }
    }

    fn put_in_force(&mut self, state: FleetState, age: Option<Span>) {
        let edition = state.edition;
        let sight = self.stand.sight().following(state, age, boot_now());
        self.stand.publish(sight);
        self.table.tell(TableCommand::Fleet);
        self.say_applied(edition);
        event!(debug, "applied", edition = edition);
    }

    fn say_applied(&self, edition: Edition) {
        if let Some(link) = &self.link {
            link.say(&RouterUp::Applied { edition });
        }
    }
}
