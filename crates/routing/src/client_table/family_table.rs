use super::{address_int::AddressInt, sites::Sites};
use crate::ClientHome;
use mangospindle_model::{FailureDomainId, RegionId};

/// Position that stands for "no range".
const NO_RANGE: u32 = u32::MAX;
/// Position that stands for "compute the site at each look-up".
const NOT_STORED: u32 = u32::MAX;
/// Most blocks per family whose sites are stored. Bounds memory when a short IPv6 prefix is split
/// into long ones.
const MAX_STORED_BLOCKS: usize = 1 << 20;

/// A client range as the table's input.
#[derive(Clone, Copy, Debug)]
pub(super) struct RangeInput<A> {
    /// First address.
    pub(super) start: A,
    /// Last address.
    pub(super) end: A,
    /// Prefix length of the range.
    pub(super) prefix: u8,
    /// Prefix length of its blocks.
    pub(super) block_prefix: u8,
    /// Home region.
    pub(super) region: RegionId,
}

#[derive(Clone, Copy, Debug)]
struct Range<A> {
    start: A,
    first_site: u32,
    region: RegionId,
    block_prefix: u8,
}

/// The client table of one address family.
///
/// Nested ranges are flattened into disjoint segments, so that the longest prefix match is one
/// binary search.
#[derive(Clone, Debug)]
pub(super) struct FamilyTable<A> {
    segment_starts: Vec<A>,
    segment_ranges: Vec<u32>,
    ranges: Vec<Range<A>>,
    sites: Vec<FailureDomainId>,
}

impl<A> FamilyTable<A>
where
    A: AddressInt,
{
    /// Builds the table. Of two equal ranges, the later one counts.
    pub(super) fn build(mut inputs: Vec<RangeInput<A>>, sites: &Sites) -> Self {
        // A stable sort puts enclosing ranges before the ranges in them.
        inputs.sort_by_key(|r| (r.start, r.prefix));
        let mut table = FamilyTable {
            segment_starts: Vec::with_capacity(inputs.len()),
            segment_ranges: Vec::with_capacity(inputs.len()),
            ranges: Vec::with_capacity(inputs.len()),
            sites: Vec::new(),
        };
        let mut open: Vec<u32> = Vec::new();
        for (i, input) in inputs.iter().enumerate() {
            table.close_ranges(&inputs, &mut open, Some(input.start));
            open.push(i as u32);
            table.push_segment(input.start, i as u32);
            table.push_range(input, sites);
        }
        table.close_ranges(&inputs, &mut open, None);
        table.segment_starts.shrink_to_fit();
        table.segment_ranges.shrink_to_fit();
        table.sites.shrink_to_fit();
        table
    }

    /// Closes the open ranges that end before `next`, or all of them.
    fn close_ranges(&mut self, inputs: &[RangeInput<A>], open: &mut Vec<u32>, next: Option<A>) {
        while let Some(&top) = open.last() {
            let end = inputs[top as usize].end;
            if next.is_some_and(|start| end >= start) {
                return;
            }
            open.pop();
            let outer = open.last().copied().unwrap_or(NO_RANGE);
            let after = end.widen().wrapping_add(1);
            let past_the_last = after == 0 || after.checked_shr(u32::from(A::BITS)) == Some(1);
            if !past_the_last {
                self.push_segment(A::narrow(after), outer);
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

    fn push_range(&mut self, input: &RangeInput<A>, sites: &Sites) {
        let blocks = 1u128
            .checked_shl(u32::from(input.block_prefix - input.prefix))
            .unwrap_or(u128::MAX);
        let stored = blocks <= (MAX_STORED_BLOCKS - self.sites.len()) as u128;
        let first_site = match stored {
            true => self.sites.len() as u32,
            false => NOT_STORED,
        };
        if stored {
            let host_bits = u32::from(A::BITS - input.block_prefix);
            for i in 0..blocks {
                let address = input.start.widen() + i.checked_shl(host_bits).unwrap_or(0);
                let key = Sites::block_key(address, A::BITS, input.block_prefix);
                self.sites.push(sites.in_region(key, input.region));
            }
        }
        self.ranges.push(Range {
            start: input.start,
            first_site,
            region: input.region,
            block_prefix: input.block_prefix,
        });
    }

    /// Finds the home of an address that is in a range.
    pub(super) fn lookup(&self, address: A, sites: &Sites) -> Option<ClientHome> {
        let after = self.segment_starts.partition_point(|s| *s <= address);
        let segment = after.checked_sub(1)?;
        // `NO_RANGE` is beyond the end of `ranges`.
        let range = self.ranges.get(self.segment_ranges[segment] as usize)?;
        let block = Sites::block_key(address.widen(), A::BITS, range.block_prefix);
        let offset = address.widen() - range.start.widen();
        let position = (offset.checked_shr(u32::from(A::BITS - range.block_prefix))).unwrap_or(0);
        let stored = match range.first_site {
            NOT_STORED => None,
            first => self.sites.get(first as usize + position as usize).copied(),
        };
        Some(ClientHome {
            region: range.region,
            preferred_domain: stored.unwrap_or_else(|| sites.in_region(block, range.region)),
            block,
            known: true,
        })
    }

    pub(super) fn block_count(&self) -> usize {
        self.sites.len()
    }

    pub(super) fn heap_bytes(&self) -> usize {
        self.segment_starts.capacity() * size_of::<A>()
            + self.segment_ranges.capacity() * size_of::<u32>()
            + self.ranges.capacity() * size_of::<Range<A>>()
            + self.sites.capacity() * size_of::<FailureDomainId>()
    }
}
