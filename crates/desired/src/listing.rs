//! The platform's listing of engines, and what the conductor has settled about each of them.

use crate::prelude::*;

/// How the platform lists an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Listed {
    /// It takes requests.
    #[default]
    Open,
    /// It is about to go, and takes no more requests.
    Leaving,
}

/// Which part of the work an engine does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Whole,
    /// Prefill alone, for decoding engines to fetch from.
    Prefill,
    /// Decode alone.
    Decode,
}

/// An engine as the platform lists it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEngine {
    pub address: String,
    pub zone: Zone,
    pub model: ModelName,
    pub role: Role,
    pub listed: Listed,
    /// The service whose requests it takes; none where services are not told apart.
    #[serde(default)]
    pub service: ServiceName,
    /// Requests it works on at once; 0 if the list does not say.
    #[serde(default)]
    pub slots: u64,
    /// The weights the list shows for it.
    #[serde(default)]
    pub weights: Option<WeightsEdition>,
    /// Models that it holds besides, with the weights the list shows for each.
    #[serde(default)]
    pub further_models: BTreeMap<ModelName, WeightsEdition>,
}

impl ListedEngine {
    /// All models that the engine holds.
    pub fn models(&self) -> impl Iterator<Item = &ModelName> {
        std::iter::once(&self.model).chain(self.further_models.keys())
    }

    /// Whether the list names any model that the engine holds.
    pub fn has_model(&self) -> bool {
        !self.model.as_str().is_empty()
    }

    /// Whether the engine holds this model.
    pub fn serves(&self, model: &ModelName) -> bool {
        self.model == *model || self.further_models.contains_key(model)
    }

    /// The weights of a model that the list shows.
    pub fn listed_weights(&self, model: &ModelName) -> Option<WeightsEdition> {
        if self.model == *model { self.weights } else { self.further_models.get(model).copied() }
    }
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
pub struct EngineStatus {
    /// The weights the engine confirmed to the conductor, and the boot it confirmed them in.
    pub confirmed: Option<(WeightsEdition, String)>,
    /// Closed by the conductor for an order under way.
    pub closed: bool,
    /// The weights it confirmed of the models that it holds besides its first.
    #[serde(default)]
    pub further_confirmed: BTreeMap<ModelName, WeightsEdition>,
}

impl EngineStatus {
    /// The newest weights of a model that the engine is known to hold, by its own word or by the list.
    pub fn held_weights(&self, listed: &ListedEngine, model: &ModelName) -> Option<WeightsEdition> {
        let confirmed = match listed.model == *model {
            true => self.confirmed.as_ref().map(|(weights, _)| *weights),
            false => self.further_confirmed.get(model).copied(),
        };
        confirmed.max(listed.listed_weights(model))
    }
}

impl FleetState {
    /// Takes a newer listing whole; engines that are gone or have moved lose what was settled about them.
    pub(crate) fn apply_listing(&mut self, number: Edition, listing: &Listing) -> CommandOutcome {
        if listing.boot == self.listing.boot && listing.number <= self.listing.number {
            return CommandOutcome::refused("listing", format!("already at {}", self.listing.number));
        }
        self.drained.retain(|engine| listing.engines.contains_key(engine));
        for (engine, known) in &self.listing.engines {
            let moved = listing.engines.get(engine).is_none_or(|listed| listed.address != known.address);
            if moved {
                self.engine_statuses.remove(engine);
                self.adapters.forget_engine(engine);
            }
        }
        self.listing = listing.clone();
        self.listing_edition = number;
        CommandOutcome::Applied(number)
    }

    /// Takes the conductor's word on an engine, if the engine is still listed.
    pub(crate) fn set_engine_status(
        &mut self,
        number: Edition,
        term: Term,
        engine: &EngineName,
        status: &EngineStatus,
    ) -> CommandOutcome {
        if !self.holds_conductor_term(term) {
            return conductor_term_mismatch();
        }
        if self.listing.engines.contains_key(engine) {
            self.engine_statuses.insert(engine.clone(), status.clone());
        }
        CommandOutcome::Applied(number)
    }
}
