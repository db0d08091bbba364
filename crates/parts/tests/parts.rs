//! Names, events, cached prefixes and sent records of prompt parts.

use parts::prelude::*;
use std::collections::BTreeMap;

fn name(number: u64) -> PartName {
    PartName::of("s1", &format!("{number:x}"))
}

fn event(number: u64, part: u64, tokens: u64) -> PartEvent {
    PartEvent { number, kept: tokens > 0, name: name(part), tokens }
}

#[test]
fn a_name_is_stable_and_depends_on_salt_and_id() {
    assert_eq!(PartName::of("s1", "5c1e07a2"), PartName::of("s1", "5c1e07a2"));
    assert_ne!(PartName::of("s1", "5c1e07a2"), PartName::of("s2", "5c1e07a2"));
    assert_ne!(PartName::of("ab", "c"), PartName::of("a", "bc"));
    assert_ne!(PartName::of("", "a"), PartName::of("a", ""));
    assert_eq!(stable_hash(&[]), 0xefd0_1f60_ba99_2926, "the same in every build");
}

#[test]
fn the_cached_prefix_is_the_leading_whole_parts_and_the_cached_tokens_of_the_next() {
    let prompt = [(name(1), 800), (name(2), 410), (name(3), 250)];
    let mut index = PartIndex::default();
    index.replace_all(1, &[(name(1), 800), (name(2), 410), (name(3), 250)]);
    assert_eq!(index.kept_tokens(1, &prompt), 1460);
    index.apply(1, &PartEvent { number: 7, kept: false, name: name(2), tokens: 128 });
    assert_eq!(index.kept_tokens(1, &prompt), 928, "the third part follows an incomplete one");
    assert_eq!((index.part_count(1), index.token_count(1)), (3, 1178));
    index.apply(1, &PartEvent { number: 8, kept: false, name: name(1), tokens: 0 });
    assert_eq!(index.kept_tokens(1, &prompt), 0);
    assert_eq!((index.part_count(1), index.token_count(1)), (2, 378));
    index.apply(1, &PartEvent { number: 9, kept: true, name: name(1), tokens: 5000 });
    assert_eq!(index.kept_tokens(1, &prompt), 928, "at most the part's size counts");
    assert_eq!(index.kept_tokens(2, &prompt), 0, "another source");
    index.drop_source(1);
    assert_eq!((index.kept_tokens(1, &prompt), index.source_count(), index.entry_count()), (0, 0, 0));
}

#[test]
fn a_source_is_followed_until_the_epoch_changes_or_events_are_lost() {
    let mut index = PartIndex::default();
    let mut position = SourcePosition { epoch: 77120, next: 118 };
    index.replace_all(1, &[(name(1), 10)]);
    let batch = PartBatch { epoch: 77120, next: 120, lost: false, events: vec![event(119, 2, 20), event(120, 1, 0)] };
    assert_eq!(index.follow(1, &mut position, &batch), FollowOutcome::Followed);
    assert_eq!((position.next, index.tokens_of(1, name(1)), index.tokens_of(1, name(2))), (120, 0, 20));

    let later = PartBatch { next: 123, events: vec![event(120, 1, 99), event(123, 1, 30)], ..batch.clone() };
    assert_eq!(index.follow(1, &mut position, &later), FollowOutcome::Followed, "a gap in the numbers is no loss");
    assert_eq!(index.tokens_of(1, name(1)), 30, "a known event is skipped");
    assert_eq!(
        index.follow(1, &mut position, &batch),
        FollowOutcome::Followed,
        "a batch that arrives late is harmless"
    );
    assert_eq!((position.next, index.tokens_of(1, name(1))), (123, 30));

    let lost = PartBatch { next: 900, lost: true, ..later.clone() };
    assert_eq!(index.follow(1, &mut position, &lost), FollowOutcome::Lost);
    assert_eq!((position.next, index.part_count(1)), (123, 0));
    index.replace_all(1, &[(name(1), 10)]);
    let restarted = PartBatch { epoch: 77121, ..later };
    assert_eq!(index.follow(1, &mut position, &restarted), FollowOutcome::Lost);
    assert_eq!(index.part_count(1), 0);
}

#[test]
fn the_sent_record_is_limited_and_first_in_first_out() {
    let mut sent = SentParts::new(3);
    let prompt = [(name(1), 100), (name(2), 50)];
    sent.record(1, &prompt);
    assert_eq!(sent.kept_tokens(1, &prompt), 150);
    assert_eq!(sent.kept_tokens(1, &[(name(1), 100), (name(3), 9), (name(2), 50)]), 100);
    assert_eq!(sent.kept_tokens(2, &prompt), 0);
    sent.record(1, &[(name(1), 100), (name(3), 9), (name(4), 9)]);
    assert_eq!(sent.part_count(1), 3);
    assert_eq!(sent.kept_tokens(1, &prompt), 0, "the oldest part was removed");
    sent.drop_source(1);
    assert_eq!(sent.part_count(1), 0);
}

/// Compares the index with a plain map over arbitrary sequences of changes.
#[test]
fn the_index_agrees_with_a_plain_map() {
    let changes = std::cell::Cell::new(0);
    for seed in 0..200_u64 {
        arbtest::arbtest(|source| {
            let mut index = PartIndex::default();
            let mut plain: BTreeMap<(u32, u64), u64> = BTreeMap::new();
            for number in 0..source.int_in_range(0..=60)? {
                let from = source.int_in_range(0..=2)?;
                let (part, tokens) = (source.int_in_range(0..=5)?, source.int_in_range(0..=3)?);
                match source.int_in_range(0..=9)? {
                    0 => {
                        index.drop_source(from);
                        plain.retain(|(known, _), _| *known != from);
                    }
                    1 => {
                        index.replace_all(from, &[(name(part), tokens)]);
                        plain.retain(|(known, _), _| *known != from);
                        plain.insert((from, part), tokens);
                    }
                    _ => {
                        index.apply(from, &event(number, part, tokens));
                        plain.insert((from, part), tokens);
                    }
                }
                plain.retain(|_, tokens| *tokens > 0);
                for from in 0..3 {
                    let of_source = || plain.iter().filter(|((known, _), _)| *known == from);
                    assert_eq!(index.part_count(from), of_source().count());
                    assert_eq!(index.token_count(from), of_source().map(|(_, tokens)| tokens).sum::<u64>());
                    for ((_, part), tokens) in of_source() {
                        assert_eq!(index.tokens_of(from, name(*part)), *tokens);
                    }
                }
                assert_eq!(index.entry_count(), plain.len());
                changes.set(changes.get() + 1);
            }
            Ok(())
        })
        .seed(seed << 32 | 200)
        .run();
    }
    assert!(changes.get() > 2000, "only {} changes", changes.get());
}
