//! Estimates find what is there, follow what changes, and drop what cannot be.

use estimates::prelude::*;
use units::prelude::*;

const SEEDS: u64 = 50;
const READS: usize = 400;

/// A small generator of numbers between 0 and 1; the same for the same seed.
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The time to the first event of a read on an engine that reads so fast; a third of the requests wait first.
fn waited(draws: &mut Draws, tokens: u64, tokens_per_ms: f64) -> Span {
    let reading_ms = tokens as f64 / tokens_per_ms;
    let queue_ms = if draws.next() < 0.33 { reading_ms * draws.next() * 2.0 } else { 0.0 };
    Span((((reading_ms + queue_ms) * (1.0 + 0.1 * draws.next()) + 2.0) * 1e6) as u64)
}

fn observe_reads(speed: &mut PrefillSpeed, draws: &mut Draws, tokens_per_ms: f64) {
    for _ in 0..READS {
        let tokens = 2048 + (draws.next() * 20_000.0) as u64;
        speed.observe(tokens, waited(draws, tokens, tokens_per_ms));
    }
}

#[test]
fn a_reading_speed_is_found_whatever_it_is_and_followed_when_it_changes() {
    for seed in 0..SEEDS {
        let mut draws = Draws(seed);
        let mut speed = PrefillSpeed::default();
        let first = 5.0 * 100.0_f64.powf(draws.next());
        let second = 5.0 * 100.0_f64.powf(draws.next());
        for truth in [first, second] {
            observe_reads(&mut speed, &mut draws, truth);
            let found = speed.tokens_per_ms();
            assert!((0.6..1.3).contains(&(found / truth)), "seed {seed}: {found} for {truth}");
        }
    }
}

#[test]
fn a_reading_speed_says_its_prior_until_enough_was_seen() {
    let mut speed = PrefillSpeed::default();
    let prior = speed.tokens_per_ms();
    for _ in 0..7 {
        speed.observe(4096, Span::millis(1));
        assert_eq!(speed.tokens_per_ms(), prior);
    }
    for _ in 0..100 {
        speed.observe(100, Span::millis(1));
    }
    assert_eq!(speed.seen(), 7, "short reads tell nothing");
}

#[test]
fn absurd_observations_are_dropped_and_counted() {
    let mut estimate = QuantileEstimate::new(0.5, 7.0);
    for absurd in [0.0, -1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        estimate.observe(absurd);
    }
    assert_eq!((estimate.value(), estimate.seen(), estimate.dropped()), (7.0, 0, 5));
    let mut speed = PrefillSpeed::default();
    for _ in 0..100 {
        speed.observe(u64::MAX, Span(0));
        speed.observe(4096, Span(0));
    }
    assert_eq!(speed.seen(), 0, "no time at all is no observation");
    for _ in 0..100 {
        speed.observe(u64::MAX, Span(1));
    }
    assert!(speed.tokens_per_ms() <= 5000.0, "a speed that no engine has is bounded");
}

#[test]
fn one_wild_observation_moves_an_estimate_little() {
    let mut estimate = QuantileEstimate::new(0.5, 1.0);
    for number in 0..1000 {
        estimate.observe(if number % 2 == 0 { 90.0 } else { 110.0 });
    }
    let before = estimate.value();
    estimate.observe(1e12);
    assert!((estimate.value() / before - 1.0).abs() < 0.05);
    assert!((85.0..115.0).contains(&before), "{before}");
}

#[test]
fn an_estimate_stays_positive_and_finite_whatever_comes() {
    arbtest::arbtest(|draws| {
        let mut estimate = QuantileEstimate::new(f64::from(draws.arbitrary::<u8>()?) / 255.0, 1.0);
        for _ in 0..200 {
            estimate.observe(draws.arbitrary()?);
            assert!(estimate.value() > 0.0 && estimate.value().is_finite());
        }
        Ok(())
    });
}
