//! The check of operators' answers against one register: what can have happened passes, and what cannot is found.

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
fn what_one_register_can_have_answered_passes() {
    let first = change(1, 0, 3);
    let histories = [
        vec![call(1, 2, first, Taken), read(3, 4, 3)],
        // A read beside a change may see either.
        vec![call(1, 9, first, Taken), read(2, 3, 0), read(4, 5, 3)],
        // Two on one base: one is taken.
        vec![call(1, 5, first, Taken), call(1, 5, change(2, 0, 4), Stale), read(6, 7, 3)],
        // The same sent again, beside itself, later and after another change.
        vec![
            call(1, 5, first, Taken),
            call(2, 4, first, Taken),
            call(6, 7, change(2, 3, 8), Taken),
            call(8, 9, first, Taken),
            read(10, 11, 8),
        ],
        // Without an answer: done at once, done later, never done.
        vec![unclear(1, first), read(2, 3, 3)],
        vec![unclear(1, first), read(2, 3, 0), read(4, 5, 3)],
        vec![unclear(1, first), call(2, 3, change(2, 0, 4), Taken), read(4, 5, 4)],
        // Sent again after no answer, and only then done.
        vec![unclear(1, first), read(2, 3, 0), call(4, 5, first, Taken), read(6, 7, 3)],
    ];
    for history in histories {
        assert_eq!(check_register(&history, 0), Ok(()), "{history:?}");
    }
}

#[test]
fn what_no_register_can_have_answered_is_found() {
    let first = change(1, 0, 3);
    let histories = [
        ("an older state after a newer one", vec![call(1, 2, first, Taken), read(3, 4, 0)]),
        ("reads that go back", vec![call(1, 9, first, Taken), read(2, 3, 3), read(4, 5, 0)]),
        ("two on one base", vec![call(1, 2, first, Taken), call(1, 2, change(2, 0, 4), Taken)]),
        ("two on one base, apart", vec![call(1, 2, first, Taken), call(3, 4, change(2, 0, 4), Taken)]),
        ("one number for two changes", vec![call(1, 2, first, Taken), call(3, 4, change(2, 0, 3), Taken)]),
        (
            "an acknowledged one lost",
            vec![call(1, 2, first, Taken), call(3, 4, change(2, 0, 4), Taken), read(5, 6, 4)],
        ),
        ("refused after it was taken", vec![call(1, 2, first, Taken), call(3, 4, first, Stale)]),
        ("refused though its base holds", vec![call(1, 2, first, Stale), read(3, 4, 0)]),
        ("in force though refused", vec![call(1, 2, change(1, 5, 6), Stale), read(3, 4, 6)]),
        ("a state that nobody made", vec![read(1, 2, 7)]),
        (
            "an unclear one done twice",
            vec![unclear(1, first), read(2, 3, 3), call(4, 5, change(2, 3, 8), Taken), read(6, 7, 3)],
        ),
    ];
    for (what, history) in histories {
        assert!(check_register(&history, 0).is_err(), "{what} passes");
    }
}

/// Many calls without an answer do not make the search grow beyond reason.
#[test]
fn a_long_history_with_many_unclear_calls_is_judged() {
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
