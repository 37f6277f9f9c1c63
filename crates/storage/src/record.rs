//! Framing of records.
//!
//! The header holds the payload length, a CRC32C checksum, the sequence number of the record, and
//! the sequence number of the last record that was synced when this one was written. The latter
//! distinguishes a torn write from corruption: a record must be readable if a later record was
//! written after it was synced.

use std::ops::Range;

const HEADER_BYTES: usize = 24;

/// A record of a segment, or the only record of a snapshot or identity file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Record<'a> {
    pub(crate) sequence: u64,
    /// All records up to this sequence number were synced when this one was written.
    pub(crate) synced_sequence: u64,
    pub(crate) payload: &'a [u8],
}

impl<'a> Record<'a> {
    /// Appends the header and the payload to `buf`.
    pub(crate) fn encode(&self, buf: &mut Vec<u8>) {
        let start = buf.len();
        // The length fits 32 bits: the transport rejects commands and snapshots long before 4 GiB.
        buf.extend((self.payload.len() as u32).to_le_bytes());
        buf.extend([0; 4]);
        buf.extend(self.sequence.to_le_bytes());
        buf.extend(self.synced_sequence.to_le_bytes());
        buf.extend(self.payload);
        let checksum = checksum(&buf[start..]);
        buf[start + 4..start + 8].copy_from_slice(&checksum.to_le_bytes());
    }

    /// Decodes the record at the start of `bytes`. Returns it with its length in bytes, or `None`
    /// if it is truncated or does not match its checksum.
    pub(crate) fn decode(bytes: &'a [u8]) -> Option<(Self, usize)> {
        let read_u64 = |range: Range<usize>| {
            let field: [u8; 8] = bytes.get(range)?.try_into().ok()?;
            Some(u64::from_le_bytes(field))
        };
        let length_and_checksum = read_u64(0..8)?;
        let length = usize::try_from(length_and_checksum & u64::from(u32::MAX)).ok()?;
        let end = HEADER_BYTES.checked_add(length)?;
        let record = Self {
            sequence: read_u64(8..16)?,
            synced_sequence: read_u64(16..24)?,
            payload: bytes.get(HEADER_BYTES..end)?,
        };
        let intact = length > 0 && u64::from(checksum(&bytes[..end])) == length_and_checksum >> 32;
        intact.then_some((record, end))
    }

    /// Returns whether an intact record after the first byte of `bytes` proves that the record with
    /// this sequence number was synced.
    pub(crate) fn later_record_proves_sync(bytes: &[u8], sequence: u64) -> bool {
        let possible_sequences = sequence..sequence.saturating_add(bytes.len() as u64);
        (1..bytes.len()).any(|offset| {
            let rest = &bytes[offset..];
            // Compare the sequence number first: computing a checksum at every offset would be
            // slow.
            let field = rest.get(8..16).and_then(|f| f.try_into().ok());
            let candidate =
                field.is_some_and(|f| possible_sequences.contains(&u64::from_le_bytes(f)));
            candidate
                && Record::decode(rest)
                    .is_some_and(|(record, _)| record.synced_sequence >= sequence)
        })
    }
}

/// Computes the checksum of a record without its checksum field.
fn checksum(record: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&record[..4]), &record[8..])
}
