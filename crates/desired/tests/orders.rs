//! What operators sent is known again under its id, however much else was submitted since.

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
fn an_order_sent_again_after_thousands_of_claims_and_listings_is_the_same_order() {
    let mut state = FleetState::default();
    let taken = submit(&mut state, REQUEST, merge(0, "a"));
    assert_eq!(taken, CommandOutcome::Applied(Edition(1)));
    for number in 0..2000 {
        let command = match number % 2 {
            0 => Command::Claim { claim: BlockHash(number), router: NodeId(1), run: number },
            _ => Command::List(Listing { boot: "b".into(), number: ListingNumber(number), ..Listing::default() }),
        };
        submit(&mut state, RequestId(1000 + number), command);
    }
    assert_eq!(submit(&mut state, REQUEST, merge(0, "a")), taken, "refused as stale, though it was taken");
    assert_eq!(state.desired_edition, Edition(1));
}

#[test]
fn another_change_under_a_used_id_is_not_taken_for_the_first() {
    let mut state = FleetState::default();
    submit(&mut state, REQUEST, merge(0, "a"));
    let (same, other) = (merge(0, "a").order_fingerprint(), merge(0, "b").order_fingerprint());
    assert_eq!(state.request_id_conflict(REQUEST, same), None);
    assert!(matches!(state.request_id_conflict(REQUEST, other), Some(CommandOutcome::Refused(_))));
    assert_eq!(state.request_id_conflict(RequestId(8), other), None);
    assert_eq!(state.request_id_conflict(REQUEST, None), None, "a question about the id alone");
}

/// Each kind of order differs from each other by all that it says.
#[test]
fn orders_that_differ_have_fingerprints_that_differ() {
    let text = || r#"{"kinds":["a"]}"#.to_owned();
    let engine = |name: &str| Intent::Drain { engine: name.into() };
    let orders = [
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
    let fingerprints: Vec<_> = orders.iter().map(Command::order_fingerprint).collect();
    for (place, fingerprint) in fingerprints.iter().enumerate() {
        assert!(fingerprint.is_some());
        assert!(!fingerprints[..place].contains(fingerprint), "{:?}", orders[place]);
    }
}
