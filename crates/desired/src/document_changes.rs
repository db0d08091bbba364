//! Changes of the operators' document: parsed, merged, validated against the current one, and applied atomically.

use crate::prelude::*;

/// The number of models whose minimum weights are remembered.
pub const MAX_MINIMUM_WEIGHTS: usize = 4096;

impl FleetState {
    /// Replaces the document, if its current edition is still `base`.
    pub(crate) fn replace_document(&mut self, number: Edition, base: Option<Edition>, text: &str) -> CommandOutcome {
        match self.stale(base) {
            Some(stale) => stale,
            None => self.apply_document(number, text, None, DOCUMENT_BOUNDS),
        }
    }

    /// Applies a merge patch to the document, if its current edition is still `base`.
    pub(crate) fn merge_document(&mut self, number: Edition, base: Option<Edition>, patch: &str) -> CommandOutcome {
        match self.stale(base) {
            Some(stale) => stale,
            None => self.patch_document(number, patch),
        }
    }

    /// Applies a merge patch to the current document, whatever its edition.
    pub(crate) fn patch_document(&mut self, number: Edition, patch: &str) -> CommandOutcome {
        let current_text = self.desired_text.clone();
        self.apply_document(number, &current_text, Some(patch), DOCUMENT_BOUNDS)
    }

    /// Validates a document, with a merge patch applied to it if there is one, and makes it the current one.
    pub(crate) fn apply_document(
        &mut self,
        number: Edition,
        text: &str,
        patch: Option<&str>,
        bounds: Bounds,
    ) -> CommandOutcome {
        let document = match merged(text, patch, bounds) {
            Ok(document) => document,
            Err(error) => return CommandOutcome::Refused(vec![error]),
        };
        let desired_text = write_sorted(&document);
        if desired_text.len() > bounds.bytes {
            return CommandOutcome::refused("", "too large once merged");
        }
        let mut next_desired = match read_document(&document) {
            Ok(next_desired) => next_desired,
            Err(errors) => return CommandOutcome::Refused(errors),
        };
        self.apply_minimum_weights(&mut next_desired);
        let errors = self.check_changes(&next_desired);
        if !errors.is_empty() {
            return CommandOutcome::Refused(errors);
        }
        self.update_walls(number, &next_desired);
        self.minimum_weights = self.minimum_weights_after(&next_desired);
        self.adapters.apply_document(&self.desired, &next_desired);
        self.desired = next_desired;
        self.desired_text = desired_text;
        self.desired_edition = number;
        CommandOutcome::Applied(number)
    }

    /// The stale outcome, if a base is given that is not the current edition.
    fn stale(&self, base: Option<Edition>) -> Option<CommandOutcome> {
        base.filter(|base| *base != self.desired_edition).map(|_| CommandOutcome::Stale { now: self.desired_edition })
    }

    /// Raises the weights of the document's models to the minimum weights set by `Command::RaiseWeights`.
    fn apply_minimum_weights(&self, next_desired: &mut DesiredState) {
        for (model, weights) in &self.minimum_weights {
            if let Some(spec) = next_desired.models.get_mut(model) {
                spec.weights = spec.weights.max(*weights);
            }
        }
    }

    /// The minimum weights once a document is in force. A model that it removes keeps its weights as their minimum: its
    /// name may return.
    fn minimum_weights_after(&self, next_desired: &DesiredState) -> BTreeMap<ModelName, WeightsEdition> {
        let mut minimum_weights = self.minimum_weights.clone();
        let removed = self.desired.models.iter().filter(|(model, _)| !next_desired.models.contains_key(*model));
        for (model, spec) in removed.filter(|(_, spec)| spec.weights > FIRST_WEIGHTS) {
            let minimum = minimum_weights.entry(model.clone()).or_default();
            *minimum = spec.weights.max(*minimum);
        }
        minimum_weights
    }

    /// Whether the minimum weights of another model may be remembered.
    pub(crate) fn has_room_for_minimum_weights(&self, model: &ModelName) -> bool {
        self.minimum_weights.len() < MAX_MINIMUM_WEIGHTS || self.minimum_weights.contains_key(model)
    }

    /// Rejects changes that lower a model's weights, remove the last operator key, or break the rules on adapters'
    /// revisions.
    fn check_changes(&self, next_desired: &DesiredState) -> Vec<ValidationError> {
        let mut errors = Vec::new();
        for (model, spec) in &next_desired.models {
            let Some(current_spec) = self.desired.models.get(model) else { continue };
            if spec.weights < current_spec.weights {
                let reason =
                    format!("weights editions only grow: {} is below {}", spec.weights, current_spec.weights);
                errors.push(ValidationError::at(&format!("models.{model}.weights"), reason));
            }
        }
        if self.minimum_weights_after(next_desired).len() > MAX_MINIMUM_WEIGHTS {
            errors.push(ValidationError::at("models", "too many models were removed whose weights are remembered"));
        }
        if next_desired.operators.is_empty() && !self.desired.operators.is_empty() {
            errors.push(ValidationError::at("operators", "at least one operator key must stay"));
        }
        errors.extend(self.desired.check_adapter_changes(next_desired, &self.adapters.retired_revisions));
        errors
    }
}

/// Parses a document and applies a merge patch to it, if there is one.
fn merged(text: &str, patch: Option<&str>, bounds: Bounds) -> Result<JsonValue, ValidationError> {
    let base_text = if text.is_empty() { "{}" } else { text };
    let mut document = parse_bounded(base_text, bounds)?;
    if let Some(patch_text) = patch {
        merge(&mut document, &parse_bounded(patch_text, bounds)?);
    }
    Ok(document)
}
