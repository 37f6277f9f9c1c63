/// An IP address as an integer, in the width of its family.
pub(super) trait AddressInt: Copy + Ord {
    /// Number of bits.
    const BITS: u8;

    /// Widens the address.
    fn widen(self) -> u128;

    /// Narrows a value of at most [`Self::BITS`] bits.
    fn narrow(value: u128) -> Self;
}

impl AddressInt for u32 {
    const BITS: u8 = 32;

    fn widen(self) -> u128 {
        u128::from(self)
    }

    fn narrow(value: u128) -> Self {
        value as u32
    }
}

impl AddressInt for u128 {
    const BITS: u8 = 128;

    fn widen(self) -> u128 {
        self
    }

    fn narrow(value: u128) -> Self {
        value
    }
}
