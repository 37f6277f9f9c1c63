//! Write-ahead log, snapshot files and exported lines of a control replica.
//!
//! A data directory holds `lock`, `identity` (the storage identifier), `snapshot-*` (the latest
//! snapshot) and `wal-*` (the segments of the log, named after the sequence number of their first
//! record). [`RotatedLines`] are files for operators beside them; the replica does not read them
//! back.
//!
//! Invariants:
//! - Everything written before a successful [`Wal::sync`] survives a crash. The log syncs its data
//!   files, and syncs the directory after it creates, renames or removes files.
//! - A crash may lose records that were not synced. If it loses a record, it loses all later ones
//!   as well.
//! - [`Wal::open`] returns [`StorageError::Corrupted`] for a synced record that cannot be read, if
//!   a later record proves that it was synced. No record proves this for the records of the last
//!   sync, so corruption there cannot be told from a torn write.
//! - After the first failed write or sync, every further operation fails, because the state of the
//!   file is unknown. Opening the directory again recovers what can be read back, and makes that
//!   durable.
//! - A directory is open at most once at a time, and its storage identifier never changes.

mod corruption;
mod data_directory;
mod disk_format;
mod error;
mod file_system;
mod options;
mod record;
mod replay;
mod rotated_lines;
mod segment;
mod wal;

pub use corruption::Corruption;
pub use data_directory::DataDirectory;
pub use error::StorageError;
pub use file_system::FileSystem;
pub use options::WalOptions;
pub use rotated_lines::{OpenedLines, RotatedLines, RotationLimits};
pub use wal::Wal;

use record::Record;
use replay::Replay;
use segment::Segment;
