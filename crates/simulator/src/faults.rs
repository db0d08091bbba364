//! The faults that a run can inject, and their random choice.

use crate::prelude::*;

/// A fault that a run can inject.
#[derive(Clone, Debug, PartialEq, strum::IntoStaticStr, strum::VariantNames)]
pub enum Fault {
    /// The process crashes; the disk is kept.
    KillKeeper(usize),
    /// Several crash at once, possibly the whole core.
    KillKeepers(Vec<usize>),
    StartKeepers,
    /// Told to stop: it hands over its duties and exits.
    StopKeeper(usize),
    /// The machine is lost and replaced by an empty one, at the same or at another address.
    ReplaceKeeper {
        keeper: usize,
        moves: bool,
    },
    FreezeKeeper {
        keeper: usize,
        span: Span,
    },
    SlowDisk {
        keeper: usize,
        span: Span,
    },
    StallDisk {
        keeper: usize,
        span: Span,
    },
    KillNode(usize),
    KillRouter(usize),
    FreezeNode {
        node: usize,
        span: Span,
    },
    /// Partitions the keepers into two groups; the nodes may be cut off from the listed one.
    SplitCore(Vec<usize>),
    IsolateKeeper {
        keeper: usize,
        both_ways: bool,
    },
    IsolateNode {
        node: usize,
        both_ways: bool,
    },
    CutOffCore,
    SlowNet,
    Heal,
    /// The whole core loses power right after the next acknowledgement.
    PowerLoss,
    /// A whole zone is lost: its keeper, nodes and engines.
    LoseZone(usize),
    CrashEngine(usize),
    /// The engine's machine is lost; its connections go silent.
    LoseEngine(usize),
    StartEngines,
    Misbehave {
        engine: usize,
        manner: EngineBehavior,
        span: Span,
    },
    /// All engines misbehave alike, so that retries meet the same behavior.
    MisbehaveAll {
        manner: EngineBehavior,
        span: Span,
    },
    HideEvents {
        engine: usize,
        span: Span,
    },
    /// The engine keeps its cached blocks over the next load of weights.
    KeepOnLoad(usize),
    LoseStore,
    /// The platform lists many engines as leaving or gone at once.
    ListAway,
    /// Cuts one or both directions between two keepers.
    CutPair {
        keeper: usize,
        other: usize,
        both_ways: bool,
    },
    /// Keepers crash in the middle of the next view change.
    KillInCampaign,
    /// The conductor is cut off from the core and the nodes, but not from the engines, and new weights are set. Its
    /// successor may be cut off too, and some nodes may be frozen meanwhile.
    IsolateHolder,
    /// A node is cut off, frozen or lost, and the key of a caller that it streams to is withdrawn.
    WithdrawBehind(usize),
    /// A node is frozen just when one of its attempts connects, and what the attempt was placed on changes.
    FreezeInConnect(usize),
}

/// The names of all kinds of faults.
pub fn fault_kinds() -> &'static [&'static str] {
    <Fault as strum::VariantNames>::VARIANTS
}

impl Fault {
    /// The name of the fault's kind.
    pub fn kind(&self) -> &'static str {
        self.into()
    }

    /// Draws a random fault: about half of them hit the core, the others the nodes and the engines.
    pub fn random(rng: &mut SeededRng, keepers: usize, nodes: usize, engines: usize) -> Fault {
        let keeper = rng.below(keepers as u64) as usize;
        let node = rng.below(nodes as u64) as usize;
        let engine = rng.below(engines as u64) as usize;
        let span = Span::millis(rng.between(300, 5_000));
        let both_ways = rng.chance(60);
        match rng.below(50) {
            0 => Fault::KillKeeper(keeper),
            1 => Fault::StopKeeper(keeper),
            2 => {
                let other = (keeper + 1 + rng.below(keepers as u64 - 1) as usize) % keepers;
                Fault::KillKeepers(vec![keeper, other])
            }
            3 => Fault::KillKeepers((0..keepers).collect()),
            4 | 5 => Fault::StartKeepers,
            6 => Fault::FreezeKeeper { keeper, span },
            7 => Fault::SlowDisk { keeper, span: Span::millis(rng.between(20, 200)) },
            8 => Fault::StallDisk { keeper, span },
            9 => Fault::KillNode(node),
            10 => Fault::KillRouter(node),
            11 => Fault::FreezeNode { node, span: Span(span.0 * 2) },
            12 => {
                let other = (keeper + 1) % keepers;
                Fault::SplitCore(if rng.chance(50) { vec![keeper] } else { vec![keeper, other] })
            }
            13 => Fault::IsolateKeeper { keeper, both_ways },
            14 | 15 => Fault::IsolateNode { node, both_ways },
            16 if rng.chance(50) => Fault::CutOffCore,
            16 => Fault::SlowNet,
            17 => Fault::ReplaceKeeper { keeper, moves: rng.chance(50) },
            18 | 19 => Fault::Heal,
            20 => Fault::PowerLoss,
            21 => Fault::LoseZone(keeper),
            22 => Fault::CrashEngine(engine),
            23 => Fault::LoseEngine(engine),
            24 | 25 => Fault::StartEngines,
            26 | 27 => Fault::Misbehave { engine, manner: EngineBehavior::random(rng), span },
            28 | 29 => Fault::MisbehaveAll { manner: EngineBehavior::random(rng), span },
            30 => Fault::HideEvents { engine, span },
            31 => Fault::KeepOnLoad(engine),
            32 => Fault::LoseStore,
            33 => Fault::ListAway,
            34 | 35 => {
                let other = (keeper + 1 + rng.below(keepers as u64 - 1) as usize) % keepers;
                Fault::CutPair { keeper, other, both_ways }
            }
            36 | 37 => Fault::KillInCampaign,
            38 | 39 => Fault::IsolateHolder,
            40..=42 => Fault::WithdrawBehind(node),
            43..=45 => Fault::FreezeInConnect(node),
            _ => Fault::MisbehaveAll { manner: EngineBehavior::random(rng), span },
        }
    }
}

impl EngineBehavior {
    fn random(rng: &mut SeededRng) -> EngineBehavior {
        let after = rng.below(4);
        match rng.below(9) {
            0 => EngineBehavior::Breaks(after),
            1 => EngineBehavior::EndsEarly(after),
            2 => EngineBehavior::Foreign,
            3 => EngineBehavior::ForeignPiece(after),
            4 => EngineBehavior::GoesOn,
            5 => EngineBehavior::Partial,
            6 => EngineBehavior::Refuses,
            7 => EngineBehavior::Silent,
            _ => EngineBehavior::Late,
        }
    }
}
