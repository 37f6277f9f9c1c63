//! Write-ahead log and snapshot files of a control replica.
//!
//! A data directory holds `lock`, `identity` (the storage identifier), `snapshot-*` (the latest
//! snapshot) and `wal-*` (segments of the log, named by their first record).
//!
//! Invariants:
//! - What [`Wal::sync`] has returned for survives a crash: data files are synced, and so is the
//!   directory after files are created or renamed.
//! - A record that was not synced may be lost, and everything after it with it. A record that was
//!   synced and cannot be read stops [`Wal::open`] with [`StorageError::Corrupted`], as long as a
//!   later record shows that it was synced. The last synced records have no such witness: damage
//!   there looks like a torn write.
//! - After the first failed write or sync, every further one fails, because the state of the file
//!   is not known any more.
//! - A directory is open at most once, and its storage identifier never changes.

mod corruption;
mod data_directory;
mod disk_format;
mod error;
mod file_system;
mod options;
mod record;
mod replay;
mod segment;
mod wal;

pub use corruption::Corruption;
pub use data_directory::DataDirectory;
pub use error::StorageError;
pub use file_system::FileSystem;
pub use options::WalOptions;
pub use wal::Wal;

use record::Record;
use replay::Replay;
use segment::Segment;
