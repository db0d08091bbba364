//! The linearizability checker accepts histories that one register can produce and rejects all others.

use verdict::prelude::*;

fn change(change: u64, base: u64, revision: u64) -> RegisterOperation {
    RegisterOperation::Change { change, base, revision }
}

fn call(called: u64, returned: u64, operation: RegisterOperation, answer: RegisterAnswer) -> RegisterCall {
    RegisterCall { called, returned, operation, answer }
}

fn unclear(called: u64, operation: RegisterOperation) -> RegisterCall {
    call(called, NEVER, operation, RegisterAnswer::Unclear)
}

fn read(called: u64, returned: u64, revision: u64) -> RegisterCall {
    call(called, returned, RegisterOperation::Read, RegisterAnswer::Revision(revision))
}

use RegisterAnswer::{Stale, Taken};

#[test]
fn linearizable_histories_pass() {
    let first = change(1, 0, 3);
    let histories = [
        vec![call(1, 2, first, Taken), read(3, 4, 3)],
        // A read concurrent with a change may see either revision.
        vec![call(1, 9, first, Taken), read(2, 3, 0), read(4, 5, 3)],
        // Of two concurrent changes on one base, one is applied.
        vec![call(1, 5, first, Taken), call(1, 5, change(2, 0, 4), Stale), read(6, 7, 3)],
        // The same change sent again: concurrently, later, and after another change.
        vec![
            call(1, 5, first, Taken),
            call(2, 4, first, Taken),
            call(6, 7, change(2, 3, 8), Taken),
            call(8, 9, first, Taken),
            read(10, 11, 8),
        ],
        // An unclear change: applied at once, applied later, never applied.
        vec![unclear(1, first), read(2, 3, 3)],
        vec![unclear(1, first), read(2, 3, 0), read(4, 5, 3)],
        vec![unclear(1, first), call(2, 3, change(2, 0, 4), Taken), read(4, 5, 4)],
        // An unclear change that is applied only when it is sent again.
        vec![unclear(1, first), read(2, 3, 0), call(4, 5, first, Taken), read(6, 7, 3)],
    ];
    for history in histories {
        assert_eq!(check_register(&history, 0), Ok(()), "{history:?}");
    }
}

#[test]
fn histories_that_are_not_linearizable_are_rejected() {
    let first = change(1, 0, 3);
    let histories = [
        ("a read of an older revision after a newer one", vec![call(1, 2, first, Taken), read(3, 4, 0)]),
        ("reads that go backwards", vec![call(1, 9, first, Taken), read(2, 3, 3), read(4, 5, 0)]),
        ("two concurrent changes on one base", vec![call(1, 2, first, Taken), call(1, 2, change(2, 0, 4), Taken)]),
        ("two successive changes on one base", vec![call(1, 2, first, Taken), call(3, 4, change(2, 0, 4), Taken)]),
        ("one revision for two changes", vec![call(1, 2, first, Taken), call(3, 4, change(2, 0, 3), Taken)]),
        (
            "a lost acknowledged change",
            vec![call(1, 2, first, Taken), call(3, 4, change(2, 0, 4), Taken), read(5, 6, 4)],
        ),
        ("a resent change refused after it was applied", vec![call(1, 2, first, Taken), call(3, 4, first, Stale)]),
        ("a change refused though its base is in force", vec![call(1, 2, first, Stale), read(3, 4, 0)]),
        ("a refused change in force", vec![call(1, 2, change(1, 5, 6), Stale), read(3, 4, 6)]),
        ("a revision that no change produces", vec![read(1, 2, 7)]),
        (
            "an unclear change applied twice",
            vec![unclear(1, first), read(2, 3, 3), call(4, 5, change(2, 3, 8), Taken), read(6, 7, 3)],
        ),
    ];
    for (what, history) in histories {
        assert!(check_register(&history, 0).is_err(), "{what} passes");
    }
}

/// Many unclear calls do not make the search exponential.
#[test]
fn a_long_history_with_many_unclear_calls_is_checked() {
    let mut history = Vec::new();
    let mut base = 0;
    for number in 0..200u64 {
        let at = number * 10;
        let next = base + 1;
        history.push(unclear(at, change(1000 + number, base, 100_000 + number)));
        history.push(call(at + 1, at + 8, change(number, base, next), Taken));
        history.push(call(at + 2, at + 9, change(5000 + number, base, 200_000 + number), Stale));
        base = next;
    }
    history.push(read(5000, 5001, base));
    assert_eq!(check_register(&history, 0), Ok(()));
    history.push(read(5002, 5003, base - 1));
    assert!(check_register(&history, 0).is_err());
}
