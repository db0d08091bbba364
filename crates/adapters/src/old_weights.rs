//! Until when routers may use engines on superseded weights, as far as a keeper knows. The time counts from when
//! the keeper saw newer weights wanted; for weights superseded before it first saw the state, from then.

use crate::prelude::*;

/// How long routers use weights after newer ones became wanted.
pub const OLD_WEIGHTS_SPAN: Span = Span::seconds(15);

/// The recently superseded weights. Every keeper tracks them, so that whichever becomes the conductor knows.
#[derive(Clone, Debug, Default)]
pub struct OldWeights {
    /// When the state was first seen.
    first_seen: Option<Instant>,
    wanted: BTreeMap<ModelName, WeightsEdition>,
    /// Keyed by the first edition of those superseded together.
    superseded: BTreeMap<(ModelName, WeightsEdition), Superseded>,
}

/// Editions superseded together: a keeper that lags behind sees several changes as one.
#[derive(Clone, Copy, Debug)]
struct Superseded {
    /// The edition that replaced them; all from the first one up to this are superseded.
    to: WeightsEdition,
    since: Instant,
}

impl OldWeights {
    /// Records which weights were superseded since the state was last seen.
    pub fn follow(&mut self, state: &FleetState, now: Instant) {
        self.first_seen.get_or_insert(now);
        for (model, spec) in &state.desired.models {
            let known = self.wanted.insert(model.clone(), spec.weights);
            if let Some(weights) = known.filter(|known| *known < spec.weights) {
                self.superseded.insert((model.clone(), weights), Superseded { to: spec.weights, since: now });
            }
        }
        self.superseded.retain(|_, superseded| now.since(superseded.since) < OLD_WEIGHTS_SPAN);
    }

    /// Whether routers may still use an engine at `moment`, judged by the weights that it confirmed.
    pub(crate) fn is_usable(
        &self,
        state: &FleetState,
        engine: &EngineName,
        model: &ModelName,
        moment: Instant,
    ) -> bool {
        let status = state.engine_statuses.get(engine);
        let Some((weights, _)) = status.and_then(|status| status.confirmed.as_ref()) else { return false };
        let is_wanted = state.desired.models.get(model).is_some_and(|spec| spec.weights == *weights);
        let since = self.superseded_at(model, *weights).or(self.first_seen).unwrap_or(moment);
        is_wanted || moment.since(since) < OLD_WEIGHTS_SPAN
    }

    /// When the weights were superseded, if that was recently.
    fn superseded_at(&self, model: &ModelName, weights: WeightsEdition) -> Option<Instant> {
        let up_to = self.superseded.range(..=(model.clone(), weights));
        let ((known, _), superseded) = up_to.last()?;
        (known == model && weights < superseded.to).then_some(superseded.since)
    }
}
