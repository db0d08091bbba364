//! Estimates converge on the observed quantity, track its changes, and drop impossible observations.

use estimates::prelude::*;
use units::prelude::*;

const SEEDS: u64 = 50;
const OBSERVATIONS: usize = 400;

/// A small pseudorandom generator of numbers between 0 and 1; deterministic for each seed.
struct Generator(u64);

impl Generator {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The time to the first event on an engine of this speed; a third of the requests wait in the queue first.
fn waited(random: &mut Generator, tokens: u64, tokens_per_ms: f64) -> Span {
    let prefill_ms = tokens as f64 / tokens_per_ms;
    let queue_ms = if random.next() < 0.33 { prefill_ms * random.next() * 2.0 } else { 0.0 };
    Span((((prefill_ms + queue_ms) * (1.0 + 0.1 * random.next()) + 2.0) * 1e6) as u64)
}

fn observe_prefills(speed: &mut PrefillSpeed, random: &mut Generator, tokens_per_ms: f64) {
    for _ in 0..OBSERVATIONS {
        let tokens = 2048 + (random.next() * 20_000.0) as u64;
        speed.observe(tokens, waited(random, tokens, tokens_per_ms));
    }
}

#[test]
fn any_prefill_speed_is_estimated_and_its_changes_are_tracked() {
    for seed in 0..SEEDS {
        let mut random = Generator(seed);
        let mut speed = PrefillSpeed::default();
        let first = 5.0 * 100.0_f64.powf(random.next());
        let second = 5.0 * 100.0_f64.powf(random.next());
        for truth in [first, second] {
            observe_prefills(&mut speed, &mut random, truth);
            let found = speed.tokens_per_ms();
            assert!((0.6..1.3).contains(&(found / truth)), "seed {seed}: {found} for {truth}");
        }
    }
}

#[test]
fn a_prefill_speed_equals_its_prior_until_there_are_enough_observations() {
    let mut speed = PrefillSpeed::default();
    let prior = speed.tokens_per_ms();
    for _ in 0..7 {
        speed.observe(4096, Span::millis(1));
        assert_eq!(speed.tokens_per_ms(), prior);
    }
    for _ in 0..100 {
        speed.observe(100, Span::millis(1));
    }
    assert_eq!(speed.observations(), 7, "a short prefill is no observation");
}

#[test]
fn impossible_observations_are_dropped_and_counted() {
    let mut estimate = QuantileEstimate::new(0.5, 7.0);
    for impossible in [0.0, -1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        estimate.observe(impossible);
    }
    assert_eq!((estimate.value(), estimate.observations(), estimate.dropped()), (7.0, 0, 5));
    let mut speed = PrefillSpeed::default();
    for _ in 0..100 {
        speed.observe(u64::MAX, Span(0));
        speed.observe(4096, Span(0));
    }
    assert_eq!(speed.observations(), 0, "a duration of zero is no observation");
    for _ in 0..100 {
        speed.observe(u64::MAX, Span(1));
    }
    assert!(speed.tokens_per_ms() <= 5000.0, "an impossible speed is clamped");
}

#[test]
fn a_single_outlier_moves_an_estimate_little() {
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
fn an_estimate_stays_positive_and_finite_for_any_observations() {
    arbtest::arbtest(|source| {
        let mut estimate = QuantileEstimate::new(f64::from(source.arbitrary::<u8>()?) / 255.0, 1.0);
        for _ in 0..200 {
            estimate.observe(source.arbitrary()?);
            assert!(estimate.value() > 0.0 && estimate.value().is_finite());
        }
        Ok(())
    });
}
