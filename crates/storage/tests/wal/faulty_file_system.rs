use mangospindle_storage::FileSystem;
use std::{
    collections::BTreeMap,
    io::{self, Error, ErrorKind},
};

#[derive(Clone, Debug, Default)]
struct FileContent {
    bytes: Vec<u8>,
    /// Length of the durable prefix.
    durable_bytes: usize,
    /// Length of the prefix that syncs make durable. The rest was dropped by a failed sync: it can be
    /// read until the next crash, and later syncs of the file do not write it.
    writable_bytes: Option<usize>,
}

impl FileContent {
    fn make_durable(&mut self) {
        let limit = self.writable_bytes.unwrap_or(usize::MAX);
        self.durable_bytes = self.bytes.len().min(limit);
    }
}

/// What a crash does to data that was not synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsyncedData {
    Lost,
    /// The first half of the unsynced range of each file survives.
    FirstHalfKept,
    /// The first half of the unsynced range of each file is read as zeros, and the rest survives.
    /// This happens because pages reach the disk in any order.
    FirstHalfZeroed,
    /// All data survives, and so do changes of file names.
    Kept,
}

pub const CRASH_OUTCOMES: [UnsyncedData; 4] = [
    UnsyncedData::Lost,
    UnsyncedData::FirstHalfKept,
    UnsyncedData::FirstHalfZeroed,
    UnsyncedData::Kept,
];

/// An in-memory file system that fails after a number of operations or written bytes.
#[derive(Clone, Debug)]
pub struct FaultyFileSystem {
    files: Vec<FileContent>,
    /// Index into `files` by file name.
    names: BTreeMap<String, usize>,
    /// The names that survive a crash.
    durable_names: BTreeMap<String, usize>,
    /// Number of modifying operations that succeed before all further ones fail.
    pub operations_left: usize,
    /// Free space on the disk.
    pub bytes_left: usize,
    /// Number of syncs of files that succeed before one fails.
    pub syncs_left: usize,
}

impl FaultyFileSystem {
    pub fn new() -> Self {
        Self {
            files: Vec::new(),
            names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
            operations_left: usize::MAX,
            bytes_left: usize::MAX,
            syncs_left: usize::MAX,
        }
    }

    /// Simulates a crash and restart, and removes the limits on operations and bytes.
    pub fn crash(&mut self, unsynced: UnsyncedData) {
        for content in &mut self.files {
            let (durable_bytes, length) = (content.durable_bytes, content.bytes.len());
            let middle = durable_bytes + (length - durable_bytes) / 2;
            match unsynced {
                UnsyncedData::Lost => content.bytes.truncate(durable_bytes),
                UnsyncedData::FirstHalfKept => content.bytes.truncate(middle),
                UnsyncedData::FirstHalfZeroed => content.bytes[durable_bytes..middle].fill(0),
                UnsyncedData::Kept => {}
            }
            content.durable_bytes = content.bytes.len();
            content.writable_bytes = None;
        }
        if unsynced == UnsyncedData::Kept {
            self.durable_names = self.names.clone();
        }
        self.names = self.durable_names.clone();
        (self.operations_left, self.bytes_left) = (usize::MAX, usize::MAX);
    }

    /// Counts a modifying operation, and fails if none is left.
    fn count_operation(&mut self) -> io::Result<()> {
        let remaining = self.operations_left.checked_sub(1);
        self.operations_left = remaining.ok_or_else(|| Error::other("the process was killed"))?;
        Ok(())
    }

    fn file_content(&mut self, name: &str) -> io::Result<&mut FileContent> {
        let position = self.names.get(name).ok_or(ErrorKind::NotFound)?;
        Ok(&mut self.files[*position])
    }
}

impl FileSystem for &mut FaultyFileSystem {
    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.names.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.file_content(name)?.bytes.clone())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.count_operation()?;
        self.files.push(FileContent::default());
        let position = self.files.len() - 1;
        self.names.insert(String::from(name), position);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let counted = self.count_operation();
        let accepted = if counted.is_err() {
            bytes.len() / 2
        } else {
            bytes.len()
        };
        let written = accepted.min(self.bytes_left);
        self.bytes_left -= written;
        self.file_content(name)?.bytes.extend(&bytes[..written]);
        counted?;
        if written < bytes.len() {
            return Err(ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.count_operation()?;
        let fails = self.syncs_left == 0;
        self.syncs_left = self.syncs_left.checked_sub(1).unwrap_or(usize::MAX);
        let content = self.file_content(name)?;
        if fails {
            content.writable_bytes = Some(content.durable_bytes);
            return Err(Error::other("the sync failed"));
        }
        content.make_durable();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.count_operation()?;
        let position = self.names.remove(from).ok_or(ErrorKind::NotFound)?;
        self.names.insert(String::from(to), position);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.count_operation()?;
        self.names.remove(name).ok_or(ErrorKind::NotFound)?;
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        self.count_operation()?;
        self.durable_names = self.names.clone();
        Ok(())
    }
}
