use std::io;

/// The files of one data directory. Tests replace it to stop writes and syncs at every step.
pub trait Files {
    /// Names of all files.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Content of a file.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file or empties an existing one.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Writes at the end of a file that was created here.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes the content of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Cuts a file and makes that durable.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Renames a file, replacing the target.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes created, renamed and removed names durable.
    fn sync_directory(&mut self) -> io::Result<()>;
}
