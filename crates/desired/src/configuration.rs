//! Configurations under revisions of the operators' own. A change names the revision it builds on; of two
//! on the same one a single one is taken. A change sent again is known by its fingerprint, also after
//! later changes and after a restart, and is settled as it was.

use crate::prelude::*;

/// How many taken changes are remembered.
const REMEMBERED_CHANGES: usize = 4096;

/// A revision as operators number them: rising, by uneven steps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}", self.0)
    }
}

/// A new configuration and what it was made of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    pub base: Revision,
    pub revision: Revision,
    /// Equal for the very same change, whichever way it came.
    pub fingerprint: BlockHash,
    /// The document that holds from now on.
    pub document: String,
    /// The configuration in the operators' own words, given back to whoever reads it.
    pub source: String,
}

/// The configuration in force, and the changes that led to it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    pub revision: Revision,
    pub source: String,
    /// Fingerprints of the changes taken, and the state's number in which each was.
    taken: VecDeque<(BlockHash, Edition)>,
}

impl Configuration {
    /// What routers need of it.
    pub fn without_source(&self) -> Configuration {
        Configuration { revision: self.revision, source: String::new(), taken: VecDeque::new() }
    }

    /// When this very change was taken, if it was.
    pub fn taken_at(&self, fingerprint: BlockHash) -> Option<Edition> {
        self.taken.iter().rev().find(|(known, _)| *known == fingerprint).map(|(_, number)| *number)
    }

    pub(crate) fn take(&mut self, number: Edition, change: &ConfigurationChange) {
        self.revision = change.revision;
        self.source = change.source.clone();
        self.taken.push_back((change.fingerprint, number));
        if self.taken.len() > REMEMBERED_CHANGES {
            self.taken.pop_front();
        }
    }
}

impl FleetState {
    pub(crate) fn configure(&mut self, number: Edition, change: &ConfigurationChange) -> Settled {
        if let Some(taken) = self.configuration.taken_at(change.fingerprint) {
            return Settled::Taken(taken);
        }
        if change.base != self.configuration.revision {
            return Settled::Stale { now: Edition(self.configuration.revision.0) };
        }
        if change.revision <= self.configuration.revision {
            let reason = format!("not above the current one, {}", self.configuration.revision);
            return Settled::Refused(vec![Complaint::at("revision", reason)]);
        }
        let outcome = self.take_document(number, &change.document, None, CONFIGURATION_BOUNDS);
        if matches!(outcome, Settled::Taken(_)) {
            self.configuration.take(number, change);
        }
        outcome
    }

    /// Changes nothing; a change that was not taken is stale on whatever holds now, which may be its base by then.
    pub(crate) fn recall_change(&self, base: Revision, fingerprint: BlockHash) -> Settled {
        let in_force = self.configuration.revision;
        let taken = self.configuration.taken_at(fingerprint).filter(|_| base <= in_force);
        taken.map_or(Settled::Stale { now: Edition(in_force.0) }, Settled::Taken)
    }

    /// Weights only rise; naming those that are wanted already is no fault.
    pub(crate) fn name_weights(&mut self, number: Edition, model: &ModelName, weights: WeightsEdition) -> Settled {
        let named = self.named_weights.entry(model.clone()).or_default();
        if weights < *named {
            let reason = format!("weights only rise: {weights} is below {named}");
            return Settled::Refused(vec![Complaint::at("weights", reason)]);
        }
        *named = weights;
        if let Some(wish) = self.desired.models.get_mut(model) {
            wish.weights = wish.weights.max(weights);
        }
        Settled::Taken(number)
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    fn change(base: u64, revision: u64, document: &str) -> Command {
        let fingerprint = BlockHash::of_parts(&[&base.to_le_bytes(), &revision.to_le_bytes(), document.as_bytes()]);
        let (document, source) = (document.to_owned(), format!("source {revision}"));
        let (base, revision) = (Revision(base), Revision(revision));
        Command::Configure(Box::new(ConfigurationChange { base, revision, fingerprint, document, source }))
    }

    fn submit(state: &mut FleetState, command: Command) -> Settled {
        state.apply(&Submission { request: RequestId::random(), command })
    }

    #[test]
    fn of_two_changes_on_one_base_one_is_taken_and_the_same_one_again_is_the_same() {
        let mut state = FleetState::default();
        assert_eq!(submit(&mut state, change(0, 3, "{}")), Settled::Taken(Edition(1)));
        assert_eq!(submit(&mut state, change(3, 7, r#"{"kinds":["a"]}"#)), Settled::Taken(Edition(2)));
        assert_eq!(submit(&mut state, change(3, 8, "{}")), Settled::Stale { now: Edition(7) });
        assert_eq!(submit(&mut state, change(0, 3, "{}")), Settled::Taken(Edition(1)), "sent again, later");
        assert!(matches!(submit(&mut state, change(7, 7, "{}")), Settled::Refused(_)), "does not rise");
        assert!(matches!(submit(&mut state, change(7, 9, r#"{"x":1}"#)), Settled::Refused(_)));
        assert_eq!((state.configuration.revision, state.configuration.source.as_str()), (Revision(7), "source 7"));
    }

    #[test]
    fn a_change_is_recalled_as_it_was_settled_and_else_is_stale() {
        let mut state = FleetState::default();
        let first = change(0, 3, "{}");
        let Command::Configure(taken) = &first else { panic!("{first:?}") };
        let recall = Command::RecallChange { base: Revision(0), fingerprint: taken.fingerprint };
        assert_eq!(submit(&mut state, recall.clone()), Settled::Stale { now: Edition(0) });
        assert_eq!(submit(&mut state, first.clone()), Settled::Taken(Edition(2)));
        assert_eq!(submit(&mut state, recall), Settled::Taken(Edition(2)));
        assert_eq!(state.configuration.revision, Revision(3));
    }

    #[test]
    fn named_weights_hold_through_later_documents_and_never_fall() {
        let mut state = FleetState::default();
        let name = |weights| Command::NameWeights { model: "m".into(), weights: WeightsEdition(weights) };
        submit(&mut state, change(0, 1, r#"{"models":{"m":{}}}"#));
        assert!(matches!(submit(&mut state, name(3)), Settled::Taken(_)));
        assert!(matches!(submit(&mut state, name(2)), Settled::Refused(_)));
        submit(&mut state, change(1, 2, r#"{"models":{"m":{}}}"#));
        assert_eq!(state.desired.models[&ModelName::from("m")].weights, WeightsEdition(3));
    }
}
