//! Configurations with revisions that operators number themselves.
//!
//! A change names the revision it is based on; of two changes with the same base only one is applied. A retried
//! change is recognised by its fingerprint, even after later changes or a restart, and gets the same outcome.

use crate::prelude::*;

/// The number of applied changes that are remembered.
const MAX_REMEMBERED_CHANGES: usize = 4096;

/// A revision number chosen by operators; increasing, with gaps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}", self.0)
    }
}

/// A new configuration and the source it was translated from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    pub base: Revision,
    pub revision: Revision,
    /// Identifies the change, whichever way it was sent.
    pub fingerprint: BlockHash,
    /// The desired-state document that the configuration translates to.
    pub document: String,
    /// The configuration as operators wrote it, returned when it is read.
    pub source: String,
}

/// The current configuration and the latest changes that led to it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    pub revision: Revision,
    pub source: String,
    /// Fingerprints of the applied changes, with the edition in which each was applied.
    #[serde(rename = "taken")]
    applied: VecDeque<(BlockHash, Edition)>,
}

impl Configuration {
    /// A copy without the source and the applied changes, for routers.
    pub fn without_source(&self) -> Configuration {
        Configuration { revision: self.revision, source: String::new(), applied: VecDeque::new() }
    }

    /// The edition in which this change was applied, if it was.
    pub fn applied_at(&self, fingerprint: BlockHash) -> Option<Edition> {
        self.applied.iter().rev().find(|(known, _)| *known == fingerprint).map(|(_, number)| *number)
    }

    /// Makes the change's configuration the current one and remembers its fingerprint.
    pub(crate) fn record(&mut self, number: Edition, change: &ConfigurationChange) {
        self.revision = change.revision;
        self.source = change.source.clone();
        self.applied.push_back((change.fingerprint, number));
        if self.applied.len() > MAX_REMEMBERED_CHANGES {
            self.applied.pop_front();
        }
    }
}

impl FleetState {
    /// Applies `Command::Configure`.
    pub(crate) fn configure(&mut self, number: Edition, change: &ConfigurationChange) -> CommandOutcome {
        if let Some(applied) = self.configuration.applied_at(change.fingerprint) {
            return CommandOutcome::Applied(applied);
        }
        if change.base != self.configuration.revision {
            return CommandOutcome::Stale { now: Edition(self.configuration.revision.0) };
        }
        if change.revision <= self.configuration.revision {
            let reason = format!("must be above the current revision, {}", self.configuration.revision);
            return CommandOutcome::Refused(vec![ValidationError::at("revision", reason)]);
        }
        let outcome = self.apply_document(number, &change.document, None, CONFIGURATION_BOUNDS);
        if matches!(outcome, CommandOutcome::Applied(_)) {
            self.configuration.record(number, change);
        }
        outcome
    }

    /// Applies `Command::QueryChange`, which changes nothing. A change that was not applied is stale against the
    /// current revision, which may equal its base by then.
    pub(crate) fn query_change(&self, base: Revision, fingerprint: BlockHash) -> CommandOutcome {
        let current = self.configuration.revision;
        let applied = self.configuration.applied_at(fingerprint).filter(|_| base <= current);
        applied.map_or(CommandOutcome::Stale { now: Edition(current.0) }, CommandOutcome::Applied)
    }

    /// Applies `Command::RaiseWeights`. Weights never decrease; setting the current ones again is accepted.
    pub(crate) fn raise_weights(
        &mut self,
        number: Edition,
        model: &ModelName,
        weights: WeightsEdition,
    ) -> CommandOutcome {
        if !self.has_room_for_minimum_weights(model) {
            return CommandOutcome::refused("model", "the weights of too many models are remembered");
        }
        let minimum = self.minimum_weights.entry(model.clone()).or_default();
        if weights < *minimum {
            let reason = format!("weights must not decrease: {weights} is below {minimum}");
            return CommandOutcome::Refused(vec![ValidationError::at("weights", reason)]);
        }
        *minimum = weights;
        if let Some(spec) = self.desired.models.get_mut(model) {
            spec.weights = spec.weights.max(weights);
        }
        CommandOutcome::Applied(number)
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

    fn submit(state: &mut FleetState, command: Command) -> CommandOutcome {
        state.apply(&Submission { request: RequestId::random(), command })
    }

    #[test]
    fn one_of_two_changes_with_the_same_base_is_applied_and_a_retry_gets_its_outcome() {
        let mut state = FleetState::default();
        assert_eq!(submit(&mut state, change(0, 3, "{}")), CommandOutcome::Applied(Edition(1)));
        assert_eq!(submit(&mut state, change(3, 7, r#"{"kinds":["a"]}"#)), CommandOutcome::Applied(Edition(2)));
        assert_eq!(submit(&mut state, change(3, 8, "{}")), CommandOutcome::Stale { now: Edition(7) });
        assert_eq!(submit(&mut state, change(0, 3, "{}")), CommandOutcome::Applied(Edition(1)), "a late retry");
        assert!(
            matches!(submit(&mut state, change(7, 7, "{}")), CommandOutcome::Refused(_)),
            "the revision must increase"
        );
        assert!(matches!(submit(&mut state, change(7, 9, r#"{"x":1}"#)), CommandOutcome::Refused(_)));
        assert_eq!((state.configuration.revision, state.configuration.source.as_str()), (Revision(7), "source 7"));
    }

    #[test]
    fn a_query_returns_the_outcome_of_an_applied_change_and_stale_otherwise() {
        let mut state = FleetState::default();
        let first = change(0, 3, "{}");
        let Command::Configure(taken) = &first else { panic!("{first:?}") };
        let query = Command::QueryChange { base: Revision(0), fingerprint: taken.fingerprint };
        assert_eq!(submit(&mut state, query.clone()), CommandOutcome::Stale { now: Edition(0) });
        assert_eq!(submit(&mut state, first.clone()), CommandOutcome::Applied(Edition(2)));
        assert_eq!(submit(&mut state, query), CommandOutcome::Applied(Edition(2)));
        assert_eq!(state.configuration.revision, Revision(3));
    }

    #[test]
    fn raised_weights_outlast_later_documents_and_never_decrease() {
        let mut state = FleetState::default();
        let raise = |weights| Command::RaiseWeights { model: "m".into(), weights: WeightsEdition(weights) };
        submit(&mut state, change(0, 1, r#"{"models":{"m":{}}}"#));
        assert!(matches!(submit(&mut state, raise(3)), CommandOutcome::Applied(_)));
        assert!(matches!(submit(&mut state, raise(2)), CommandOutcome::Refused(_)));
        submit(&mut state, change(1, 2, r#"{"models":{"m":{}}}"#));
        assert_eq!(state.desired.models[&ModelName::from("m")].weights, WeightsEdition(3));
    }
}
