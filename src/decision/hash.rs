//! Hash functions that give the same result at every gateway.

/// Hashes a number with the finalizer of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014).
pub(crate) fn mix_bits(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Hashes a number to a fraction from 0 to 1.
pub(crate) fn hash_to_fraction(value: u64) -> f64 {
    mix_bits(value) as f64 / u64::MAX as f64
}
