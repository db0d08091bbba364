//! The platform's listing of engines, and the conductor's status of each engine.

use crate::prelude::*;

/// The state of an engine in the platform's listing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Listed {
    /// It accepts requests.
    #[default]
    Open,
    /// It is shutting down and accepts no new requests.
    Leaving,
}

/// The phases of inference that an engine runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Whole,
    /// Prefill only; decoding engines fetch the resulting blocks.
    Prefill,
    /// Decode only.
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
    /// The service whose requests it accepts; empty where services are not distinguished.
    #[serde(default)]
    pub service: ServiceName,
    /// The number of requests it runs at once; 0 if the listing does not say.
    #[serde(default)]
    pub slots: u64,
    /// The weights of `model` according to the listing.
    #[serde(default)]
    pub weights: Option<WeightsEdition>,
    /// The other models it holds, with their weights according to the listing.
    #[serde(default)]
    pub further_models: BTreeMap<ModelName, WeightsEdition>,
}

impl ListedEngine {
    /// All models that the engine holds, the first one first.
    pub fn models(&self) -> impl Iterator<Item = &ModelName> {
        std::iter::once(&self.model).chain(self.further_models.keys())
    }

    /// Whether the listing names a model for the engine.
    pub fn has_model(&self) -> bool {
        !self.model.as_str().is_empty()
    }

    /// Whether the engine holds this model.
    pub fn serves(&self, model: &ModelName) -> bool {
        self.model == *model || self.further_models.contains_key(model)
    }

    /// The weights of a model according to the listing.
    pub fn listed_weights(&self, model: &ModelName) -> Option<WeightsEdition> {
        if self.model == *model { self.weights } else { self.further_models.get(model).copied() }
    }
}

/// The platform's complete listing; an engine that is not in it is gone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Identifies the run of the platform; listing numbers are comparable only within one.
    pub boot: String,
    pub number: ListingNumber,
    pub engines: BTreeMap<EngineName, ListedEngine>,
}

/// The conductor's status of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The weights that the engine confirmed to the conductor, and the boot id it confirmed them under.
    pub confirmed: Option<(WeightsEdition, String)>,
    /// Closed by the conductor while an order to the engine is in progress.
    pub closed: bool,
    /// The weights that it confirmed for its other models.
    #[serde(default)]
    pub further_confirmed: BTreeMap<ModelName, WeightsEdition>,
}

impl EngineStatus {
    /// The newest weights of a model that the engine confirmed or the listing shows.
    pub fn held_weights(&self, listed: &ListedEngine, model: &ModelName) -> Option<WeightsEdition> {
        let confirmed = match listed.model == *model {
            true => self.confirmed.as_ref().map(|(weights, _)| *weights),
            false => self.further_confirmed.get(model).copied(),
        };
        confirmed.max(listed.listed_weights(model))
    }
}

impl FleetState {
    /// Replaces the listing by a newer one. Engines that are gone or changed their address lose their status and
    /// their adapter copies.
    pub(crate) fn apply_listing(&mut self, number: Edition, listing: &Listing) -> CommandOutcome {
        if listing.boot == self.listing.boot && listing.number <= self.listing.number {
            return CommandOutcome::refused("listing", format!("already at {}", self.listing.number));
        }
        self.drained.retain(|engine| listing.engines.contains_key(engine));
        for (engine, known) in &self.listing.engines {
            let is_gone_or_moved = listing.engines.get(engine).is_none_or(|listed| listed.address != known.address);
            if is_gone_or_moved {
                self.engine_statuses.remove(engine);
                self.adapters.forget_engine(engine);
            }
        }
        self.listing = listing.clone();
        self.listing_edition = number;
        CommandOutcome::Applied(number)
    }

    /// Applies `Command::SetEngineStatus`; ignored if the engine is no longer listed.
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
