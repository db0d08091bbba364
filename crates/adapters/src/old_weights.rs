//! Until when routers may use engines on weights that gave way to newer ones, as a keeper knows it: from when
//! it saw the newer ones wanted. What gave way before this keeper looked first counts from that look.

use crate::prelude::*;

/// How long routers use weights after newer ones were wanted.
pub const OLD_WEIGHTS_SPAN: Span = Span::seconds(15);

/// The weights that gave way lately, and when. Every keeper follows the state, so that whichever becomes the
/// conductor knows.
#[derive(Clone, Debug, Default)]
pub struct OldWeights {
    /// When the state was seen first.
    began: Option<Instant>,
    wanted: BTreeMap<ModelName, WeightsEdition>,
    /// By the first edition of those that gave way at once.
    gave_way: BTreeMap<(ModelName, WeightsEdition), GaveWay>,
}

/// Editions that gave way at once: a keeper that lags behind sees several changes as one.
#[derive(Clone, Copy, Debug)]
struct GaveWay {
    /// The edition that took over; all from the first one to this gave way.
    to: WeightsEdition,
    since: Instant,
}

impl OldWeights {
    /// Notes which weights have given way since the state was seen last.
    pub fn follow(&mut self, state: &FleetState, now: Instant) {
        self.began.get_or_insert(now);
        for (model, wish) in &state.desired.models {
            let known = self.wanted.insert(model.clone(), wish.weights);
            if let Some(weights) = known.filter(|known| *known < wish.weights) {
                self.gave_way.insert((model.clone(), weights), GaveWay { to: wish.weights, since: now });
            }
        }
        self.gave_way.retain(|_, gave_way| now.since(gave_way.since) < OLD_WEIGHTS_SPAN);
    }

    /// Whether routers may still use an engine at a moment for the sake of the weights it confirmed.
    pub(crate) fn is_usable(
        &self,
        state: &FleetState,
        engine: &EngineName,
        model: &ModelName,
        moment: Instant,
    ) -> bool {
        let standing = state.engine_statuses.get(engine);
        let Some((weights, _)) = standing.and_then(|standing| standing.confirmed.as_ref()) else { return false };
        let is_wanted = state.desired.models.get(model).is_some_and(|wish| wish.weights == *weights);
        let since = self.gave_way_at(model, *weights).or(self.began).unwrap_or(moment);
        is_wanted || moment.since(since) < OLD_WEIGHTS_SPAN
    }

    /// When weights gave way, if that was lately.
    fn gave_way_at(&self, model: &ModelName, weights: WeightsEdition) -> Option<Instant> {
        let up_to = self.gave_way.range(..=(model.clone(), weights));
        let ((known, _), gave_way) = up_to.last()?;
        (known == model && weights < gave_way.to).then_some(gave_way.since)
    }
}
