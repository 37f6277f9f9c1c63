use crate::{Files, StorageError};
use std::{
    collections::BTreeMap,
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write},
    path::{Path, PathBuf},
};

const LOCK: &str = "lock";

/// A data directory of the operating system, locked as long as the value lives.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
    handle: File,
    open: BTreeMap<String, File>,
    /// Holds the lock; the operating system releases it when the process ends in whatever way.
    _lock: File,
}

impl Directory {
    /// Creates the directory if needed and locks it.
    pub fn open(path: &Path) -> Result<Self, StorageError> {
        let name = path.display().to_string();
        if !path.exists() {
            fs::create_dir_all(path).map_err(StorageError::io("create", &name))?;
            // The new name is durable only once its parent is synced.
            let parent = path.parent().filter(|p| !p.as_os_str().is_empty());
            File::open(parent.unwrap_or(Path::new(".")))
                .and_then(|parent| parent.sync_all())
                .map_err(StorageError::io("sync the parent of", &name))?;
        }
        let handle = File::open(path).map_err(StorageError::io("open", &name))?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK))
            .map_err(StorageError::io("open", LOCK))?;
        match lock.try_lock() {
            Ok(()) => Ok(Self {
                path: path.to_path_buf(),
                handle,
                open: BTreeMap::new(),
                _lock: lock,
            }),
            Err(TryLockError::WouldBlock) => Err(StorageError::Locked {
                path: path.to_path_buf(),
            }),
            Err(TryLockError::Error(error)) => Err(StorageError::io("lock", LOCK)(error)),
        }
    }

    fn opened(&mut self, name: &str) -> io::Result<&mut File> {
        let file = self.open.get_mut(name);
        file.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "the file is not open"))
    }
}

impl Files for Directory {
    fn list(&mut self) -> io::Result<Vec<String>> {
        fs::read_dir(&self.path)?
            .map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned()))
            .collect()
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let file = File::create(self.path.join(name))?;
        self.open.insert(String::from(name), file);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.opened(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        // The length of the file changes with each write; `sync_data` covers it.
        self.opened(name)?.sync_data()
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let file = OpenOptions::new().write(true).open(self.path.join(name))?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open.remove(from);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        self.handle.sync_all()
    }
}
