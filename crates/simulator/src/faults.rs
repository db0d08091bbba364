//! The faults a seed may draw, each with its undoing.

use crate::prelude::*;

#[derive(Clone, Debug, PartialEq, strum::IntoStaticStr, strum::VariantNames)]
pub enum Fault {
    /// The process ends; the disk stays.
    KillKeeper(usize),
    /// Several at once, control included.
    KillKeepers(Vec<usize>),
    StartKeepers,
    /// Told to stop: it hands its duties over and ends.
    StopKeeper(usize),
    /// The machine is lost and replaced by an empty one, here or at another address.
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
    /// Keepers split into two groups; nodes go with the first.
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
    /// Power fails in the whole core right after the next acknowledgement.
    PowerLoss,
    /// A zone is lost whole: its keeper, its nodes, its engines.
    LoseZone(usize),
    CrashEngine(usize),
    /// The machine with its engine is gone without a word.
    LoseEngine(usize),
    StartEngines,
    Misbehave {
        engine: usize,
        manner: EngineBehavior,
        span: Span,
    },
    /// Every engine misbehaves alike, so that second attempts meet the same.
    MisbehaveAll {
        manner: EngineBehavior,
        span: Span,
    },
    HideEvents {
        engine: usize,
        span: Span,
    },
    /// An engine that keeps its blocks over the next load.
    KeepOnLoad(usize),
    LoseStore,
    /// The platform lists many engines away at once.
    ListAway,
    /// One way or both between two keepers alone.
    CutPair {
        keeper: usize,
        other: usize,
        both_ways: bool,
    },
    /// At the next campaign for a view, keepers are lost in the midst of it.
    KillInCampaign,
    /// The conductor is cut off from core and nodes, not from engines, and new weights are named; at times
    /// its successor too, and nodes that sleep through it.
    IsolateHolder,
    /// A node is cut off, frozen or lost, and the key of a caller it streams to is withdrawn.
    WithdrawBehind(usize),
    /// A node is frozen just when one of its attempts connects, and what the attempt was chosen on changes.
    FreezeInConnect(usize),
}

/// The names of every kind of fault.
pub fn fault_kinds() -> &'static [&'static str] {
    <Fault as strum::VariantNames>::VARIANTS
}

impl Fault {
    pub fn kind(&self) -> &'static str {
        self.into()
    }

    /// Draws a fault: half of them meet the core, half the edge and the engines.
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
