//! Commands on plans: stating an intent, confirming its plan, executing the steps in order, and ending the plan.

use crate::prelude::*;

impl FleetState {
    /// Applies a command on plans.
    pub(crate) fn apply_plan_command(&mut self, number: Edition, command: &Command) -> CommandOutcome {
        match command {
            Command::Intend(intent) => self.intend(number, intent),
            Command::Confirm { plan } => self.confirm(number, *plan),
            Command::DoStep { term, plan, step } => self.do_step(number, *term, *plan, *step),
            Command::EndPlan { term, plan, halted } => self.end_plan(number, *term, plan, halted.clone()),
            _ => CommandOutcome::refused("", "not a command on plans"),
        }
    }

    /// Makes a plan from an intent; `number` identifies the plan.
    fn intend(&mut self, number: Edition, intent: &Intent) -> CommandOutcome {
        let steps = match self.plan_steps(intent) {
            Ok(steps) => steps,
            Err(errors) => return CommandOutcome::Refused(errors),
        };
        let (intent, base) = (intent.clone(), self.desired_edition);
        let plan = Plan { intent, base, steps, done: 0, status: PlanStatus::Stated, confirmed: None };
        self.plans.insert(number, plan);
        self.drop_old_plans();
        CommandOutcome::Applied(number)
    }

    /// Removes the oldest plans beyond [`MAX_PLANS`], those that are over first.
    fn drop_old_plans(&mut self) {
        while self.plans.len() > MAX_PLANS {
            let oldest_finished = self.plans.iter().find(|(_, plan)| plan.is_over()).map(|(number, _)| *number);
            let Some(dropped) = oldest_finished.or_else(|| self.plans.keys().next().copied()) else { return };
            self.plans.remove(&dropped);
        }
    }

    /// Confirms a plan; stale if the document has changed since the plan was made.
    fn confirm(&mut self, number: Edition, plan_number: Edition) -> CommandOutcome {
        let desired_edition = self.desired_edition;
        let Some(plan) = self.plans.get_mut(&plan_number) else {
            return CommandOutcome::refused("plan", "unknown plan");
        };
        if let Some(confirmed) = plan.confirmed {
            return CommandOutcome::Applied(confirmed);
        }
        match &plan.status {
            PlanStatus::Stated if plan.base != desired_edition => CommandOutcome::Stale { now: desired_edition },
            PlanStatus::Stated => {
                plan.status = PlanStatus::Confirmed;
                plan.confirmed = Some(number);
                CommandOutcome::Applied(number)
            }
            PlanStatus::Expired => CommandOutcome::refused("plan", "the plan has expired"),
            other => CommandOutcome::refused("plan", format!("the plan is {other:?}")),
        }
    }

    /// Executes a plan's next step and marks it as done in the same record.
    fn do_step(&mut self, number: Edition, term: Term, plan_number: Edition, step_number: usize) -> CommandOutcome {
        if !self.holds_conductor_term(term) {
            return conductor_term_mismatch();
        }
        let plan = self.plans.get(&plan_number).filter(|plan| plan.done == step_number);
        let Some(step) = plan.and_then(Plan::next_step).cloned() else {
            return CommandOutcome::refused("step", "not the plan's next step");
        };
        let outcome = self.apply_step(number, step);
        if let Some(plan) = self.plans.get_mut(&plan_number) {
            plan.record_step(&outcome);
        }
        outcome
    }

    /// Applies the effect of a step to the state.
    fn apply_step(&mut self, number: Edition, step: Step) -> CommandOutcome {
        match step {
            Step::Patch(patch) => return self.patch_document(number, &patch),
            Step::Drain { engine } => {
                self.drained.insert(engine);
            }
            Step::Undrain { engine } => {
                self.drained.remove(&engine);
            }
            Step::WaitWeights { .. } | Step::WaitIdle { .. } => {}
        }
        CommandOutcome::Applied(number)
    }

    /// Ends a plan: halted if a reason is given, expired otherwise.
    fn end_plan(&mut self, number: Edition, term: Term, plan: &Edition, halted: Option<String>) -> CommandOutcome {
        if !self.holds_conductor_term(term) {
            return conductor_term_mismatch();
        }
        let Some(ended) = self.plans.get_mut(plan).filter(|plan| !plan.is_over()) else {
            return CommandOutcome::refused("plan", "the plan is unknown or has ended");
        };
        ended.status = halted.map_or(PlanStatus::Expired, PlanStatus::Halted);
        CommandOutcome::Applied(number)
    }
}

impl Plan {
    /// Marks a step as done, or halts the plan if the step was refused.
    fn record_step(&mut self, outcome: &CommandOutcome) {
        if let CommandOutcome::Refused(errors) = outcome {
            let reasons: Vec<String> = errors.iter().map(ValidationError::to_string).collect();
            self.status = PlanStatus::Halted(reasons.join("; "));
            return;
        }
        self.done += 1;
        if self.done == self.steps.len() {
            self.status = PlanStatus::Done;
        }
    }
}
