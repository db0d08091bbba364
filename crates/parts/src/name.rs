//! The name of a prompt part. Names only affect the selection of an engine. Engines find a part by its salt and id,
//! so a collision of two names costs time at most and never mixes answers. The hash is therefore fast and not
//! cryptographic; it is the same in every process and build.

/// A hash of a part's salt and id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartName(pub u64);

impl PartName {
    /// The name of the part with this salt and id.
    pub fn of(salt: &str, id: &str) -> PartName {
        PartName(stable_hash(&[salt.as_bytes(), id.as_bytes()]))
    }
}

/// The 64-bit FNV-1a hash of the pieces, separated by the byte 0xff, which never occurs in UTF-8. The finalizer of
/// MurmurHash3 then makes every output bit depend on every input bit.
pub fn stable_hash(pieces: &[&[u8]]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut running_hash = OFFSET_BASIS;
    for (position, piece) in pieces.iter().enumerate() {
        if position > 0 {
            running_hash = (running_hash ^ 0xff).wrapping_mul(PRIME);
        }
        for byte in *piece {
            running_hash = (running_hash ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }
    running_hash = (running_hash ^ (running_hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    running_hash = (running_hash ^ (running_hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    running_hash ^ (running_hash >> 33)
}
