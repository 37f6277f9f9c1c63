//! Framing of records: length, CRC32C, number, and the number up to which records were synced when
//! this one was written. The last one tells a torn write from damage: a record that is followed by
//! one that was written after its sync must be readable.

use std::ops::Range;

const HEADER_BYTES: usize = 24;

/// One record of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Record<'a> {
    pub(crate) number: u64,
    /// All records up to this number were synced when this one was written.
    pub(crate) synced: u64,
    pub(crate) payload: &'a [u8],
}

impl<'a> Record<'a> {
    pub(crate) fn encode(&self, buf: &mut Vec<u8>) {
        let start = buf.len();
        // A payload is far below 4 GiB: the transport refuses longer commands and snapshots.
        buf.extend((self.payload.len() as u32).to_le_bytes());
        buf.extend([0; 4]);
        buf.extend(self.number.to_le_bytes());
        buf.extend(self.synced.to_le_bytes());
        buf.extend(self.payload);
        let checksum = checksum(&buf[start..]);
        buf[start + 4..start + 8].copy_from_slice(&checksum.to_le_bytes());
    }

    /// Reads the record at the start of `bytes`, and its length. `None` if it is not intact.
    pub(crate) fn decode(bytes: &'a [u8]) -> Option<(Self, usize)> {
        let number = |range: Range<usize>| {
            let field: [u8; 8] = bytes.get(range)?.try_into().ok()?;
            Some(u64::from_le_bytes(field))
        };
        let lead = number(0..8)?;
        let length = usize::try_from(lead & u64::from(u32::MAX)).ok()?;
        let end = HEADER_BYTES.checked_add(length)?;
        let record = Self {
            number: number(8..16)?,
            synced: number(16..24)?,
            payload: bytes.get(HEADER_BYTES..end)?,
        };
        let intact = length > 0 && u64::from(checksum(&bytes[..end])) == lead >> 32;
        intact.then_some((record, end))
    }

    /// Whether an intact record later in `bytes` shows that record `number` was synced.
    pub(crate) fn shows_synced(bytes: &[u8], number: u64) -> bool {
        let plausible = number..number.saturating_add(bytes.len() as u64);
        (1..bytes.len()).any(|offset| {
            let rest = &bytes[offset..];
            // The number is compared first, because a checksum at every offset would be slow.
            let field = rest.get(8..16).and_then(|f| f.try_into().ok());
            let candidate = field.is_some_and(|f| plausible.contains(&u64::from_le_bytes(f)));
            candidate && Record::decode(rest).is_some_and(|(record, _)| record.synced >= number)
        })
    }
}

/// Checksum of everything but the checksum's own place.
fn checksum(record: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&record[..4]), &record[8..])
}
