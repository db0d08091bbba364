//! An operator's retry gets the outcome of its first submission, however many other submissions came in between.

use desired::prelude::*;
use units::prelude::*;

const REQUEST: RequestId = RequestId(7);

fn merge(base: u64, kind: &str) -> Command {
    Command::Merge { base: Some(Edition(base)), patch: format!(r#"{{"kinds":["{kind}"]}}"#) }
}

fn submit(state: &mut FleetState, request: RequestId, command: Command) -> CommandOutcome {
    state.apply(&Submission { request, command })
}

#[test]
fn a_retry_after_thousands_of_claims_and_listings_gets_the_same_outcome() {
    let mut state = FleetState::default();
    let applied = submit(&mut state, REQUEST, merge(0, "a"));
    assert_eq!(applied, CommandOutcome::Applied(Edition(1)));
    for number in 0..2000 {
        let command = match number % 2 {
            0 => Command::Claim { claim: BlockHash(number), router: NodeId(1), run: number },
            _ => Command::List(Listing { boot: "b".into(), number: ListingNumber(number), ..Listing::default() }),
        };
        submit(&mut state, RequestId(1000 + number), command);
    }
    assert_eq!(submit(&mut state, REQUEST, merge(0, "a")), applied, "the retry was not recognised");
    assert_eq!(state.desired_edition, Edition(1));
}

#[test]
fn another_change_under_a_used_request_id_is_refused() {
    let mut state = FleetState::default();
    submit(&mut state, REQUEST, merge(0, "a"));
    let (same, other) = (merge(0, "a").order_fingerprint(), merge(0, "b").order_fingerprint());
    assert_eq!(state.request_id_conflict(REQUEST, same), None);
    assert!(matches!(state.request_id_conflict(REQUEST, other), Some(CommandOutcome::Refused(_))));
    assert_eq!(state.request_id_conflict(RequestId(8), other), None);
    assert_eq!(state.request_id_conflict(REQUEST, None), None, "no content to compare");
}

/// The fingerprint covers the kind of the command and every field of it.
#[test]
fn different_commands_have_different_fingerprints() {
    let text = || r#"{"kinds":["a"]}"#.to_owned();
    let engine = |name: &str| Intent::Drain { engine: name.into() };
    let commands = [
        Command::Replace { base: Some(Edition(0)), text: text() },
        Command::Replace { base: Some(Edition(1)), text: text() },
        Command::Replace { base: None, text: text() },
        Command::Merge { base: Some(Edition(0)), patch: text() },
        Command::Merge { base: Some(Edition(0)), patch: "{}".into() },
        Command::Intend(engine("e1")),
        Command::Intend(engine("e2")),
        Command::Confirm { plan: Edition(1) },
        Command::Confirm { plan: Edition(2) },
    ];
    let fingerprints: Vec<_> = commands.iter().map(Command::order_fingerprint).collect();
    for (index, fingerprint) in fingerprints.iter().enumerate() {
        assert!(fingerprint.is_some());
        assert!(!fingerprints[..index].contains(fingerprint), "{:?}", commands[index]);
    }
}
