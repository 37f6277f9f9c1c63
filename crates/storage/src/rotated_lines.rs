use std::collections::VecDeque;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Extension of the files.
const EXTENSION: &str = "jsonl";

/// Initial number of bytes read from the end of a file to find its last line.
const FIRST_TAIL_BYTES: u64 = 64 << 10;

/// Limits of [`RotatedLines`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RotationLimits {
    /// Maximum size of one file, in bytes. No line may be longer.
    pub max_file_bytes: u64,
    /// Maximum size of all files together, in bytes. At least the size of one file.
    pub max_total_bytes: u64,
}

/// Numbered lines in files of bounded size. The oldest file is removed when there are too many bytes.
///
/// The newest lines are in `STEM.jsonl`. A full file is renamed to `STEM-N.jsonl`, where N is the
/// number of its last line.
#[derive(Debug)]
pub struct RotatedLines {
    directory: PathBuf,
    stem: String,
    limits: RotationLimits,
    /// The file with the newest lines, and its size in bytes.
    file: File,
    file_bytes: u64,
    /// Numbers of the last lines of the full files, and their sizes in bytes.
    full_files: VecDeque<(u64, u64)>,
    last: u64,
}

/// What [`RotatedLines::open`] changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenedLines {
    /// Bytes of an incomplete line at the end that were removed.
    pub truncated_bytes: u64,
    /// Bytes of the oldest lines that were removed from a file above the limits.
    pub evicted_bytes: u64,
}

impl RotatedLines {
    /// Opens the files in a directory. Truncates an incomplete line at the end, and removes the oldest
    /// lines if the files of an earlier build are above the limits. `number_of` returns the number of
    /// a complete line, which is passed without its end.
    ///
    /// # Errors
    ///
    /// Returns the error of the first file operation that fails.
    pub fn open<F>(
        directory: &Path,
        stem: &str,
        limits: RotationLimits,
        number_of: F,
    ) -> io::Result<(Self, OpenedLines)>
    where
        F: Fn(&[u8]) -> Option<u64>,
    {
        let path = directory.join(format!("{stem}.{EXTENSION}"));
        let mut opened = OpenedLines {
            evicted_bytes: shorten(directory, stem, &path, limits.max_file_bytes)?,
            truncated_bytes: 0,
        };
        let mut options = OpenOptions::new();
        let mut file = options.read(true).append(true).create(true).open(&path)?;
        let length = file.metadata()?.len();
        let (file_bytes, last_in_file) = find_last_line(&mut file, length, number_of)?;
        if file_bytes < length {
            file.set_len(file_bytes)?;
            opened.truncated_bytes = length - file_bytes;
        }
        let full_files = list_full_files(directory, stem)?;
        let last_in_full_files = full_files.back().map_or(0, |(last, _)| *last);
        let mut lines = RotatedLines {
            directory: directory.to_path_buf(),
            stem: stem.to_string(),
            limits,
            file,
            file_bytes,
            full_files,
            last: last_in_file.unwrap_or(last_in_full_files),
        };
        opened.evicted_bytes += lines.evict()?;
        Ok((lines, opened))
    }

    /// Number of the last line; 0 if there is none.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Size of all files, in bytes.
    pub fn total_bytes(&self) -> u64 {
        self.file_bytes + self.full_files.iter().map(|(_, bytes)| bytes).sum::<u64>()
    }

    /// Appends a line, which includes its end. It is durable after the next [`sync`](Self::sync).
    ///
    /// # Errors
    ///
    /// Returns an error if the line is longer than a file may be, or if a file operation fails. The file
    /// may then end in an incomplete line, which [`open`](Self::open) removes.
    pub fn append(&mut self, number: u64, line: &[u8]) -> io::Result<()> {
        let line_bytes = line.len() as u64;
        if line_bytes > self.limits.max_file_bytes {
            return Err(io::Error::new(
                io::ErrorKind::FileTooLarge,
                format!("line {number} has {line_bytes} bytes"),
            ));
        }
        if self.file_bytes + line_bytes > self.limits.max_file_bytes {
            self.rotate()?;
        }
        self.file.write_all(line)?;
        self.file_bytes += line_bytes;
        self.last = number;
        Ok(())
    }

    /// Makes all appended lines durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the sync.
    pub fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }

    /// Starts a new file for the next lines.
    fn rotate(&mut self) -> io::Result<()> {
        self.sync()?;
        fs::rename(self.current_path(), self.full_path(self.last))?;
        // Without this, a loss of power could keep the new file under the name and lose the full one.
        self.sync_directory()?;
        self.full_files.push_back((self.last, self.file_bytes));
        self.file_bytes = 0;
        self.evict()?;
        let mut options = OpenOptions::new();
        self.file = (options.read(true).append(true).create(true)).open(self.current_path())?;
        self.sync_directory()
    }

    fn sync_directory(&self) -> io::Result<()> {
        File::open(&self.directory)?.sync_all()
    }

    /// Removes the oldest full files until the newest file may reach its maximum size. Returns the number
    /// of bytes removed.
    fn evict(&mut self) -> io::Result<u64> {
        let mut evicted = 0;
        let max_full = (self.limits.max_total_bytes).saturating_sub(self.limits.max_file_bytes);
        while self.full_files.iter().map(|(_, bytes)| bytes).sum::<u64>() > max_full {
            let Some((last, bytes)) = self.full_files.pop_front() else {
                break;
            };
            fs::remove_file(self.full_path(last))?;
            evicted += bytes;
        }
        Ok(evicted)
    }

    fn current_path(&self) -> PathBuf {
        self.directory.join(format!("{}.{EXTENSION}", self.stem))
    }

    fn full_path(&self, last: u64) -> PathBuf {
        (self.directory).join(format!("{}-{last:020}.{EXTENSION}", self.stem))
    }
}

/// Full files in the order of their lines: the number of the last line, and the size in bytes.
fn list_full_files(directory: &Path, stem: &str) -> io::Result<VecDeque<(u64, u64)>> {
    let mut full_files = Vec::new();
    for entry in fs::read_dir(directory)? {
        let entry = entry?;
        let name = entry.file_name();
        let number = (name.to_str())
            .and_then(|n| {
                n.strip_prefix(stem)?
                    .strip_prefix('-')?
                    .strip_suffix(EXTENSION)
            })
            .and_then(|n| n.strip_suffix('.')?.parse().ok());
        if let Some(number) = number {
            full_files.push((number, entry.metadata()?.len()));
        }
    }
    full_files.sort_unstable();
    Ok(full_files.into())
}

/// Removes the oldest lines of a file that is above the limit. Earlier builds wrote all lines into one
/// file. Returns the number of bytes removed.
fn shorten(directory: &Path, stem: &str, path: &Path, max_bytes: u64) -> io::Result<u64> {
    let temporary = directory.join(format!("{stem}.tmp"));
    let length = match fs::metadata(path) {
        Ok(metadata) => metadata.len(),
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(0),
        Err(e) => return Err(e),
    };
    if length <= max_bytes {
        return Ok(0);
    }
    let mut tail = Vec::new();
    let mut file = File::open(path)?;
    file.seek(SeekFrom::Start(length - max_bytes))?;
    file.read_to_end(&mut tail)?;
    // The first line of the tail is incomplete.
    let first_line = tail
        .iter()
        .position(|b| *b == b'\n')
        .map_or(tail.len(), |at| at + 1);
    let kept = &tail[first_line..];
    let written = File::create(&temporary).and_then(|mut f| {
        f.write_all(kept)?;
        f.sync_all()
    });
    match written {
        Ok(()) => fs::rename(&temporary, path)?,
        // The lines may have filled the disk themselves, so that nothing works until they are gone.
        Err(e) if e.kind() == io::ErrorKind::StorageFull => {
            fs::remove_file(&temporary)?;
            File::create(path)?.sync_all()?;
            return Ok(length);
        }
        Err(e) => return Err(e),
    }
    File::open(directory)?.sync_all()?;
    Ok(length - kept.len() as u64)
}

/// Returns the end of the last complete line and its number. What follows is an incomplete write.
fn find_last_line<F>(file: &mut File, length: u64, number_of: F) -> io::Result<(u64, Option<u64>)>
where
    F: Fn(&[u8]) -> Option<u64>,
{
    let mut tail_bytes = FIRST_TAIL_BYTES.min(length);
    loop {
        let start = length - tail_bytes;
        let mut tail = Vec::new();
        file.seek(SeekFrom::Start(start))?;
        file.read_to_end(&mut tail)?;
        let mut end = tail.len();
        while let Some(newline) = tail[..end].iter().rposition(|b| *b == b'\n') {
            let before = tail[..newline].iter().rposition(|b| *b == b'\n');
            if before.is_none() && start > 0 {
                break;
            }
            let line = &tail[before.map_or(0, |at| at + 1)..newline];
            if let Some(number) = number_of(line) {
                return Ok((start + newline as u64 + 1, Some(number)));
            }
            end = newline;
        }
        if start == 0 {
            return Ok((0, None));
        }
        tail_bytes = (tail_bytes * 4).min(length);
    }
}
