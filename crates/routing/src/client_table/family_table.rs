use super::{address_int::AddressInt, candidate_domains::CandidateDomains};
use crate::ClientHome;
use mangospindle_model::{FailureDomainId, RegionId};

/// Value in `segment_ranges` for a segment outside all ranges.
const NO_RANGE: u32 = u32::MAX;
/// Value of `Range::first_domain` for a range whose preferred failure domains are computed at each
/// lookup.
const DOMAINS_NOT_STORED: u32 = u32::MAX;
/// Largest number of blocks per address family whose preferred failure domains are stored. Bounds
/// the memory use when a short IPv6 prefix is divided into blocks with a long prefix.
const MAX_STORED_BLOCKS: usize = 1 << 20;

/// A client range from which the table is built.
#[derive(Clone, Copy, Debug)]
pub(super) struct RangeInput<A> {
    /// First address.
    pub(super) start: A,
    /// Last address.
    pub(super) end: A,
    /// Prefix length of the range.
    pub(super) prefix: u8,
    /// Prefix length of the blocks in the range.
    pub(super) block_prefix: u8,
    /// Home region of the clients in the range.
    pub(super) region: RegionId,
}

#[derive(Clone, Copy, Debug)]
struct Range<A> {
    start: A,
    /// Index in `FamilyTable::domains` of the first block of the range, or [`DOMAINS_NOT_STORED`].
    first_domain: u32,
    region: RegionId,
    block_prefix: u8,
}

/// Client table of one address family.
///
/// Nested ranges are flattened into disjoint segments, so that a longest prefix match takes one
/// binary search.
#[derive(Clone, Debug)]
pub(super) struct FamilyTable<A> {
    /// First address of each segment, sorted.
    segment_starts: Vec<A>,
    /// For each segment, the index in `ranges` of its innermost range, or [`NO_RANGE`].
    segment_ranges: Vec<u32>,
    ranges: Vec<Range<A>>,
    /// Preferred failure domain of each stored block.
    domains: Vec<FailureDomainId>,
}

impl<A> FamilyTable<A>
where
    A: AddressInt,
{
    /// Builds the table. If two ranges are equal, the later one takes precedence.
    pub(super) fn build(mut inputs: Vec<RangeInput<A>>, candidates: &CandidateDomains) -> Self {
        // Sorts enclosing ranges before the ranges they contain. The sort is stable, so that equal
        // ranges keep their order.
        inputs.sort_by_key(|r| (r.start, r.prefix));
        let mut table = FamilyTable {
            segment_starts: Vec::with_capacity(inputs.len()),
            segment_ranges: Vec::with_capacity(inputs.len()),
            ranges: Vec::with_capacity(inputs.len()),
            domains: Vec::new(),
        };
        let mut open: Vec<u32> = Vec::new();
        for (i, input) in inputs.iter().enumerate() {
            table.close_ranges_before(&inputs, &mut open, Some(input.start));
            open.push(i as u32);
            table.push_segment(input.start, i as u32);
            table.push_range(input, candidates);
        }
        table.close_ranges_before(&inputs, &mut open, None);
        table.segment_starts.shrink_to_fit();
        table.segment_ranges.shrink_to_fit();
        table.domains.shrink_to_fit();
        table
    }

    /// Closes the open ranges that end before `next`, or all open ranges if there is no next range.
    fn close_ranges_before(
        &mut self,
        inputs: &[RangeInput<A>],
        open: &mut Vec<u32>,
        next: Option<A>,
    ) {
        while let Some(&top) = open.last() {
            let end = inputs[top as usize].end;
            if next.is_some_and(|start| end >= start) {
                return;
            }
            open.pop();
            let outer = open.last().copied().unwrap_or(NO_RANGE);
            let after = end.to_u128().wrapping_add(1);
            let past_last_address = after == 0 || after.checked_shr(u32::from(A::BITS)) == Some(1);
            if !past_last_address {
                self.push_segment(A::from_u128(after), outer);
            }
        }
    }

    fn push_segment(&mut self, start: A, range: u32) {
        match (self.segment_starts.last(), self.segment_ranges.last_mut()) {
            (Some(last), Some(slot)) if *last == start => *slot = range,
            _ => {
                self.segment_starts.push(start);
                self.segment_ranges.push(range);
            }
        }
    }

    fn push_range(&mut self, input: &RangeInput<A>, candidates: &CandidateDomains) {
        let blocks = 1u128
            .checked_shl(u32::from(input.block_prefix - input.prefix))
            .unwrap_or(u128::MAX);
        let stored = blocks <= (MAX_STORED_BLOCKS - self.domains.len()) as u128;
        let first_domain = match stored {
            true => self.domains.len() as u32,
            false => DOMAINS_NOT_STORED,
        };
        if stored {
            let host_bits = u32::from(A::BITS - input.block_prefix);
            for i in 0..blocks {
                let address = input.start.to_u128() + i.checked_shl(host_bits).unwrap_or(0);
                let key = CandidateDomains::block_key(address, A::BITS, input.block_prefix);
                self.domains
                    .push(candidates.preferred_in_region(key, input.region));
            }
        }
        self.ranges.push(Range {
            start: input.start,
            first_domain,
            region: input.region,
            block_prefix: input.block_prefix,
        });
    }

    /// Finds the placement of an address. Returns `None` if no range contains it.
    pub(super) fn lookup(&self, address: A, candidates: &CandidateDomains) -> Option<ClientHome> {
        let after = self.segment_starts.partition_point(|s| *s <= address);
        let segment = after.checked_sub(1)?;
        // `NO_RANGE` is out of bounds of `ranges`, so the lookup returns `None`.
        let range = self.ranges.get(self.segment_ranges[segment] as usize)?;
        let block = CandidateDomains::block_key(address.to_u128(), A::BITS, range.block_prefix);
        let offset = address.to_u128() - range.start.to_u128();
        let position = (offset.checked_shr(u32::from(A::BITS - range.block_prefix))).unwrap_or(0);
        let stored = match range.first_domain {
            DOMAINS_NOT_STORED => None,
            first => self
                .domains
                .get(first as usize + position as usize)
                .copied(),
        };
        Some(ClientHome {
            region: range.region,
            preferred_domain: stored
                .unwrap_or_else(|| candidates.preferred_in_region(block, range.region)),
            block,
            known: true,
        })
    }

    pub(super) fn block_count(&self) -> usize {
        self.domains.len()
    }

    pub(super) fn heap_bytes(&self) -> usize {
        self.segment_starts.capacity() * size_of::<A>()
            + self.segment_ranges.capacity() * size_of::<u32>()
            + self.ranges.capacity() * size_of::<Range<A>>()
            + self.domains.capacity() * size_of::<FailureDomainId>()
    }
}
