//! The numbered fleet state and the commands that move it. Applying never fails: a command that does
//! not fit the state is settled as refused or stale and changes nothing but the number. The state
//! remembers the latest submissions, so the same request id is settled the same way again.

use crate::prelude::*;

const REMEMBERED_SUBMISSIONS: usize = 512;

/// How the platform lists an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Listed {
    Open,
    Leaving,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    #[default]
    Whole,
    Prefill,
    Decode,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEngine {
    pub address: String,
    pub zone: Zone,
    pub model: ModelName,
    pub role: Role,
    pub listed: Listed,
}

/// The platform's listing, whole; an engine that is not in it is gone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    pub boot: String,
    pub number: ListingNumber,
    pub engines: BTreeMap<EngineName, ListedEngine>,
}

/// What the conductor has settled about an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// The weights the engine confirmed to the conductor, and the boot it confirmed them in.
    pub confirmed: Option<(WeightsEdition, String)>,
    /// Closed by the conductor for an order under way.
    pub closed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DutyKind {
    Census,
    Conductor,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    pub holder: NodeId,
    pub term: Term,
}

/// The wall a tenant's memory stands behind; number 0 is shared by all unwalled tenants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Wall {
    pub id: WallId,
    pub edition: WallEdition,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A whole document.
    Replace {
        base: Option<Edition>,
        text: String,
    },
    /// A merge patch.
    Merge {
        base: Option<Edition>,
        patch: String,
    },
    List(Listing),
    Appoint {
        kind: DutyKind,
        from_term: Term,
        holder: NodeId,
    },
    /// The conductor's word on an engine, valid under its term alone.
    Stand {
        term: Term,
        engine: EngineName,
        standing: Standing,
    },
}

impl Command {
    /// The size of the operators' text in it, for bounds on what is kept.
    pub fn text_bytes(&self) -> usize {
        match self {
            Command::Replace { text, .. } => text.len(),
            Command::Merge { patch, .. } => patch.len(),
            _ => 0,
        }
    }
}

/// One record of the chain: who asked, and for what.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    pub request: RequestId,
    pub command: Command,
}

/// How a submission was settled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settled {
    Taken(Edition),
    Stale { now: Edition },
    Refused(Vec<Complaint>),
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetState {
    pub edition: Edition,
    /// The edition in which the operators' document last changed: its ETag.
    pub desired_edition: Edition,
    pub desired_text: String,
    pub desired: DesiredState,
    pub shared_wall: WallEdition,
    pub walls: BTreeMap<TenantName, Wall>,
    pub listing: Listing,
    /// The edition in which the listing was taken.
    pub listing_edition: Edition,
    pub standings: BTreeMap<EngineName, Standing>,
    pub duties: BTreeMap<DutyKind, Duty>,
    pub settled: VecDeque<(RequestId, Settled)>,
}

impl FleetState {
    pub fn apply(&mut self, submission: &Submission) -> Settled {
        if let Some(earlier) = self.settled_before(submission.request) {
            self.edition = self.edition.next();
            return earlier;
        }
        let number = self.edition.next();
        let outcome = self.settle(number, &submission.command);
        self.edition = number;
        self.settled.push_back((submission.request, outcome.clone()));
        if self.settled.len() > REMEMBERED_SUBMISSIONS {
            self.settled.pop_front();
        }
        outcome
    }

    pub fn settled_before(&self, request: RequestId) -> Option<Settled> {
        self.settled.iter().rev().find(|(earlier, _)| *earlier == request).map(|(_, outcome)| outcome.clone())
    }

    fn settle(&mut self, number: Edition, command: &Command) -> Settled {
        match command {
            Command::Replace { base, text } => {
                let Some(stale) = self.stale(*base) else { return self.take_document(number, text, None) };
                stale
            }
            Command::Merge { base, patch } => {
                let Some(stale) = self.stale(*base) else {
                    let current_text = self.desired_text.clone();
                    return self.take_document(number, &current_text, Some(patch));
                };
                stale
            }
            Command::List(listing) => self.take_listing(number, listing),
            Command::Appoint { kind, from_term, holder } => {
                let held_term = self.duties.get(kind).map_or(Term(0), |duty| duty.term);
                if held_term != *from_term {
                    return Settled::Refused(vec![Complaint::at("duty", format!("term is {held_term}"))]);
                }
                self.duties.insert(*kind, Duty { holder: *holder, term: held_term.next() });
                Settled::Taken(number)
            }
            Command::Stand { term, engine, standing } => {
                let held_term = self.duties.get(&DutyKind::Conductor).map(|duty| duty.term);
                if held_term != Some(*term) {
                    return Settled::Refused(vec![Complaint::at("duty", "another term holds the conductor's duty")]);
                }
                if self.listing.engines.contains_key(engine) {
                    self.standings.insert(engine.clone(), standing.clone());
                }
                Settled::Taken(number)
            }
        }
    }

    fn stale(&self, base: Option<Edition>) -> Option<Settled> {
        base.filter(|base| *base != self.desired_edition).map(|_| Settled::Stale { now: self.desired_edition })
    }

    fn take_document(&mut self, number: Edition, text: &str, patch: Option<&String>) -> Settled {
        let base_text = if text.is_empty() { "{}" } else { text };
        let checked = parse_bounded(base_text, DOCUMENT_BOUNDS).and_then(|mut document| {
            if let Some(patch_text) = patch {
                merge(&mut document, &parse_bounded(patch_text, DOCUMENT_BOUNDS)?);
            }
            Ok(document)
        });
        let document = match checked {
            Ok(document) => document,
            Err(complaint) => return Settled::Refused(vec![complaint]),
        };
        let desired_text = write_sorted(&document);
        if desired_text.len() > DOCUMENT_BOUNDS.bytes {
            return Settled::Refused(vec![Complaint::at("", "too large once merged")]);
        }
        let mut next_desired = match read_document(&document) {
            Ok(next_desired) => next_desired,
            Err(complaints) => return Settled::Refused(complaints),
        };
        let complaints = self.check_move(&next_desired);
        if !complaints.is_empty() {
            return Settled::Refused(complaints);
        }
        self.move_walls(number, &next_desired);
        std::mem::swap(&mut self.desired, &mut next_desired);
        self.desired_text = desired_text;
        self.desired_edition = number;
        Settled::Taken(number)
    }

    /// What no document may do to the one before it: take weights back, or lock every operator out.
    fn check_move(&self, next_desired: &DesiredState) -> Vec<Complaint> {
        let mut complaints = Vec::new();
        for (model, wish) in &next_desired.models {
            let Some(current_wish) = self.desired.models.get(model) else { continue };
            if wish.weights < current_wish.weights {
                let reason =
                    format!("weights editions only grow: {} is below {}", wish.weights, current_wish.weights);
                complaints.push(Complaint::at(&format!("models.{model}.weights"), reason));
            }
        }
        if next_desired.operators.is_empty() && !self.desired.operators.is_empty() {
            complaints.push(Complaint::at("operators", "at least one operator key must stay"));
        }
        complaints
    }

    /// A tenant newly walled gets a wall of its own, and shared memory, which may hold what it made
    /// before, starts over for everybody else.
    fn move_walls(&mut self, number: Edition, next_desired: &DesiredState) {
        for (tenant, wish) in &next_desired.tenants {
            let was_walled = self.walls.contains_key(tenant);
            if wish.walled && !was_walled {
                let own_wall = BlockHash::over(&[b"wall", tenant.as_str().as_bytes(), &number.0.to_le_bytes()]);
                let wall = Wall { id: WallId(own_wall.0.max(1)), edition: WallEdition(number.0) };
                self.walls.insert(tenant.clone(), wall);
                if self.desired.tenants.contains_key(tenant) {
                    self.shared_wall = WallEdition(number.0);
                }
            }
        }
        self.walls.retain(|tenant, _| next_desired.tenants.get(tenant).is_some_and(|wish| wish.walled));
    }

    fn take_listing(&mut self, number: Edition, listing: &Listing) -> Settled {
        if listing.boot == self.listing.boot && listing.number <= self.listing.number {
            return Settled::Refused(vec![Complaint::at("listing", format!("already at {}", self.listing.number))]);
        }
        for (engine, known) in &self.listing.engines {
            let moved = listing.engines.get(engine).is_none_or(|listed| listed.address != known.address);
            if moved {
                self.standings.remove(engine);
            }
        }
        self.listing = listing.clone();
        self.listing_edition = number;
        Settled::Taken(number)
    }

    pub fn wall_of(&self, tenant: &TenantName) -> Wall {
        self.walls.get(tenant).copied().unwrap_or(Wall { id: WallId(0), edition: self.shared_wall })
    }

    /// The tenant whose key has this hash, if the key is in force.
    pub fn tenant_of_key(&self, key_hash: &str) -> Option<&TenantName> {
        self.desired
            .tenants
            .iter()
            .find(|(_, wish)| wish.keys.values().any(|known_hash| known_hash == key_hash))
            .map(|(tenant, _)| tenant)
    }

    pub fn is_operator(&self, key_hash: &str) -> bool {
        self.desired.operators.values().any(|known_hash| known_hash == key_hash)
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    fn submit(state: &mut FleetState, command: Command) -> Settled {
        state.apply(&Submission { request: RequestId::random(), command })
    }

    fn merge_in(state: &mut FleetState, patch: &str) -> Settled {
        submit(state, Command::Merge { base: None, patch: patch.into() })
    }

    #[test]
    fn walling_a_tenant_starts_shared_memory_over() {
        let mut state = FleetState::default();
        merge_in(&mut state, r#"{"tenants":{"a":{},"b":{}}}"#);
        let wall_before = state.wall_of(&"b".into());
        assert_eq!(state.wall_of(&"a".into()), wall_before);
        merge_in(&mut state, r#"{"tenants":{"a":{"walled":true}}}"#);
        assert_ne!(state.wall_of(&"a".into()).id, state.wall_of(&"b".into()).id);
        assert_ne!(state.wall_of(&"b".into()), wall_before, "what a made unwalled must not serve b");
        let first_wall = state.wall_of(&"a".into());
        merge_in(&mut state, r#"{"tenants":{"a":{"walled":false}}}"#);
        merge_in(&mut state, r#"{"tenants":{"a":{"walled":true}}}"#);
        assert_ne!(state.wall_of(&"a".into()), first_wall);
    }

    #[test]
    fn tenants_walled_at_once_get_walls_of_their_own() {
        let mut state = FleetState::default();
        merge_in(&mut state, r#"{"tenants":{"a":{"walled":true},"b":{"walled":true}}}"#);
        assert_ne!(state.wall_of(&"a".into()), state.wall_of(&"b".into()));
    }

    #[test]
    fn a_repeated_submission_is_settled_once() {
        let mut state = FleetState::default();
        let submission = Submission {
            request: RequestId(7),
            command: Command::Merge { base: Some(Edition(0)), patch: r#"{"kinds":["x"]}"#.into() },
        };
        assert_eq!(state.apply(&submission), Settled::Taken(Edition(1)));
        assert_eq!(state.apply(&submission), Settled::Taken(Edition(1)));
        assert_eq!(state.desired_edition, Edition(1));
        let late = Command::Merge { base: Some(Edition(0)), patch: "{}".into() };
        assert_eq!(submit(&mut state, late), Settled::Stale { now: Edition(1) });
    }

    #[test]
    fn a_refused_document_changes_nothing() {
        let mut state = FleetState::default();
        merge_in(&mut state, r#"{"models":{"m":{"weights":2}}}"#);
        let state_before = state.clone();
        for patch in [r#"{"models":{"m":{"weights":1}}}"#, r#"{"x":1}"#, "{", "[]"] {
            assert!(matches!(merge_in(&mut state, patch), Settled::Refused(_)), "{patch}");
        }
        assert_eq!(state.desired, state_before.desired);
        assert_eq!(state.desired_edition, state_before.desired_edition);
    }

    #[test]
    fn an_older_listing_is_not_taken_back() {
        let mut state = FleetState::default();
        let listing = |number| Listing { boot: "b".into(), number: ListingNumber(number), ..Listing::default() };
        assert!(matches!(submit(&mut state, Command::List(listing(5))), Settled::Taken(_)));
        assert!(matches!(submit(&mut state, Command::List(listing(4))), Settled::Refused(_)));
        assert_eq!(state.listing.number, ListingNumber(5));
    }
}
