use crate::{FileSystem, StorageError};
use std::{
    collections::BTreeMap,
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write},
    path::{Path, PathBuf},
};

const LOCK_FILE_NAME: &str = "lock";

/// A data directory on disk. It stays locked until the value is dropped.
#[derive(Debug)]
pub struct DataDirectory {
    path: PathBuf,
    /// The open directory, for syncing it.
    directory: File,
    open_files: BTreeMap<String, File>,
    /// Holds the lock. The operating system releases it when the process exits or is killed.
    _lock: File,
}

impl DataDirectory {
    /// Creates the directory if it does not exist, and locks it.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Locked`] if the directory is already open, and [`StorageError::Io`]
    /// if it cannot be created, opened or locked.
    pub fn open(path: &Path) -> Result<Self, StorageError> {
        let name = path.display().to_string();
        if !path.exists() {
            fs::create_dir_all(path).map_err(StorageError::io("create", &name))?;
            // The new directory is durable only once its parent is synced.
            let parent = path.parent().filter(|p| !p.as_os_str().is_empty());
            File::open(parent.unwrap_or(Path::new(".")))
                .and_then(|parent| parent.sync_all())
                .map_err(StorageError::io("sync the parent of", &name))?;
        }
        let directory = File::open(path).map_err(StorageError::io("open", &name))?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE_NAME))
            .map_err(StorageError::io("open", LOCK_FILE_NAME))?;
        match lock.try_lock() {
            Ok(()) => Ok(Self {
                path: path.to_path_buf(),
                directory,
                open_files: BTreeMap::new(),
                _lock: lock,
            }),
            Err(TryLockError::WouldBlock) => Err(StorageError::Locked {
                path: path.to_path_buf(),
            }),
            Err(TryLockError::Error(error)) => Err(StorageError::io("lock", LOCK_FILE_NAME)(error)),
        }
    }

    fn open_file(&mut self, name: &str) -> io::Result<&mut File> {
        let file = self.open_files.get_mut(name);
        file.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "the file is not open"))
    }
}

impl FileSystem for DataDirectory {
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
        self.open_files.insert(String::from(name), file);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open_file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        // `sync_data` also makes the new length of the file durable.
        self.open_file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open_files.remove(from);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_files.remove(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        self.directory.sync_all()
    }
}
