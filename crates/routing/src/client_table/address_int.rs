/// An IP address as an unsigned integer of its address family's width.
pub(super) trait AddressInt: Copy + Ord {
    /// Number of bits in an address.
    const BITS: u8;

    /// Converts the address to a `u128`.
    fn to_u128(self) -> u128;

    /// Converts a value of at most [`Self::BITS`] bits to an address.
    fn from_u128(value: u128) -> Self;
}

impl AddressInt for u32 {
    const BITS: u8 = 32;

    fn to_u128(self) -> u128 {
        u128::from(self)
    }

    fn from_u128(value: u128) -> Self {
        value as u32
    }
}

impl AddressInt for u128 {
    const BITS: u8 = 128;

    fn to_u128(self) -> u128 {
        self
    }

    fn from_u128(value: u128) -> Self {
        value
    }
}
