use crate::Damage;
use std::{io, path::PathBuf};

/// Why the storage cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// An operation on a file failed; a full disk is the most likely reason.
    #[error("cannot {operation} {file}")]
    Io {
        /// What was tried.
        operation: &'static str,
        /// The file.
        file: String,
        /// Why it failed.
        source: io::Error,
    },
    /// Another process, or another `Wal` of this process, has the directory open.
    #[error("{} is in use by another process", path.display())]
    Locked {
        /// The directory.
        path: PathBuf,
    },
    /// Files do not hold what was written to them. The replica must not start with this directory.
    #[error("{file} is damaged at byte {offset}: {damage}")]
    Damaged {
        /// The file.
        file: String,
        /// Offset of the record.
        offset: u64,
        /// What is wrong.
        damage: Damage,
    },
    /// A value cannot be encoded.
    #[error("cannot encode a record")]
    Encode(#[from] postcard::Error),
    /// An earlier operation failed; nothing is written any more.
    #[error("an earlier write failed")]
    Stopped,
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

    pub(crate) fn damaged(file: &str, offset: usize, damage: Damage) -> Self {
        Self::Damaged {
            file: String::from(file),
            offset: offset as u64,
            damage,
        }
    }
}
