//! Initial state of a world: bootstraps the core with a first configuration and starts every machine.

use crate::prelude::*;

impl World {
    /// Bootstraps the core and starts every machine.
    pub(crate) fn bootstrap(&mut self) {
        self.store.restart();
        self.bootstrap_core();
        for number in 0..KEEPERS {
            self.start_keeper(number);
        }
        for number in 0..ENGINES {
            self.start_engine(number);
        }
        for number in 0..NODES {
            self.start_node(number);
            self.schedule_after(Span::millis(number as u64), SimEvent::Traffic { node: number });
        }
        self.schedule_after(Span::millis(100), SimEvent::Sample);
        if self.scenario.is_some() {
            (0..NODES).for_each(|node| self.schedule_after(Span::seconds(1), SimEvent::ReportDemand { node }));
        }
    }

    fn bootstrap_core(&mut self) {
        let mut state = FleetState::default();
        let tenants: Vec<String> = self
            .keys
            .iter()
            .map(|(key, tenant)| {
                let walled = tenant == "t5";
                format!(r#""{tenant}":{{"walled":{walled},"share":400,"keys":{{"main":"{key}"}}}}"#)
            })
            .collect();
        let document = format!(
            r#"{{"operators":{{"o":"{:064}"}},"models":{{"model":{{"weights":1}}}},"tenants":{{{}}},
                "kinds":["k"],"store":"127.0.0.1:9","routing":{{"fetch":{{"setup_us":100}}}}}}"#,
            0,
            tenants.join(",")
        );
        let at = self.millis();
        self.record.events.push(EventLine::Walled { at, tenant: "t5".into() });
        let command = Command::Replace { base: None, text: document };
        state.apply(&Submission { request: RequestId(1), command });
        self.configure_adapters(&mut state);
        let founder = self.member(0);
        for stored in Coordinator::bootstrap(&founder, FleetId(77), state) {
            persist(&mut self.keepers[0].disk, stored);
        }
    }

    pub fn member(&self, keeper: usize) -> Member {
        let address = self.keepers[keeper].address.clone();
        Member { id: self.keepers[keeper].id, door: address.clone(), address, zone: Zone(ZONES[keeper].into()) }
    }
}
