//! The cost of placing a request on an engine: cost = weight x prefill blocks + decode blocks.

use crate::prelude::*;

/// Computes the cost. Prefill blocks are those of the prompt that the engine does not cache; decode blocks are those
/// it is already working on.
pub fn cost(weight: f64, prefill_blocks: BlockCount, decode_blocks: BlockCount) -> f64 {
    weight * prefill_blocks.0 as f64 + decode_blocks.0 as f64
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn the_weight_decides_between_cached_prefix_and_idle_engine() {
        let engines = [("busy", 10, 300), ("middle", 50, 170), ("idle", 100, 40)];
        let expected_picks =
            [(0.5, "idle"), (1.0, "idle"), (2.0, "idle"), (3.0, "middle"), (4.0, "busy"), (8.0, "busy")];
        for (weight, expected_engine) in expected_picks {
            let chosen_engine = engines
                .iter()
                .min_by(|left, right| {
                    let left_cost = cost(weight, BlockCount(left.1), BlockCount(left.2));
                    let right_cost = cost(weight, BlockCount(right.1), BlockCount(right.2));
                    left_cost.total_cmp(&right_cost)
                })
                .map(|engine| engine.0);
            assert_eq!(chosen_engine, Some(expected_engine), "weight {weight}");
        }
    }
}
