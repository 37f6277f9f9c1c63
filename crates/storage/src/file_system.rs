use std::io;

/// File operations in one data directory. Tests implement it to inject failures at every operation.
pub trait FileSystem {
    /// Lists the names of all files.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, or truncates an existing one to zero length, and opens it for
    /// writing.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends to a file that was opened with [`create`](Self::create).
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes the content of an open file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file and replaces the target if it exists.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the creation, renaming and removal of files durable.
    fn sync_directory(&mut self) -> io::Result<()>;
}
