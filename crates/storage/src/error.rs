use crate::Corruption;
use std::{io, path::PathBuf};

/// An error of the write-ahead log or its data directory.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// A file operation failed. The most likely cause is a full disk.
    #[error("cannot {operation} {file}")]
    Io {
        /// The operation, as a verb.
        operation: &'static str,
        /// Name of the file or directory.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The directory is open in another process, or in another `Wal` of this process.
    #[error("data directory {} is locked by another process or another open log", path.display())]
    Locked {
        /// Path of the directory.
        path: PathBuf,
    },
    /// A file does not hold what was written to it. The replica must not start with this directory.
    #[error("{file} is corrupted at byte {offset}: {corruption}")]
    Corrupted {
        /// Name of the file.
        file: String,
        /// Offset of the record in bytes.
        offset: u64,
        /// The kind of corruption.
        corruption: Corruption,
    },
    /// A record cannot be encoded.
    #[error("cannot encode a record")]
    Encode(#[from] postcard::Error),
    /// An earlier operation failed. The log rejects every further operation.
    #[error("the log rejects further operations because an earlier one failed")]
    AlreadyFailed,
}

impl StorageError {
    pub(crate) fn io(operation: &'static str, file: &str) -> impl FnOnce(io::Error) -> Self {
        let file = String::from(file);
        move |source| Self::Io {
            operation,
            file,
            source,
        }
    }

    pub(crate) fn corrupted(file: &str, offset: usize, corruption: Corruption) -> Self {
        Self::Corrupted {
            file: String::from(file),
            offset: offset as u64,
            corruption,
        }
    }
}
