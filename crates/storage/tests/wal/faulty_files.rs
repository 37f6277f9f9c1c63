use mangospindle_storage::FileSystem;
use std::{
    collections::BTreeMap,
    io::{self, Error, ErrorKind},
};

#[derive(Clone, Debug, Default)]
struct Content {
    bytes: Vec<u8>,
    durable: usize,
}

/// What of the unsynced state survives a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Survival {
    Nothing,
    Half,
    /// The last half of each unsynced part, behind zeros: pages reach the disk in any order.
    Hole,
    Everything,
}

pub const SURVIVALS: [Survival; 4] = [
    Survival::Nothing,
    Survival::Half,
    Survival::Hole,
    Survival::Everything,
];

/// FileSystem in memory that stop working after a number of operations or bytes.
#[derive(Clone, Debug)]
pub struct FaultyFiles {
    contents: Vec<Content>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    pub steps_left: usize,
    pub bytes_left: usize,
}

impl FaultyFiles {
    pub fn new() -> Self {
        Self {
            contents: Vec::new(),
            names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
            steps_left: usize::MAX,
            bytes_left: usize::MAX,
        }
    }

    pub fn crash(&mut self, survival: Survival) {
        for content in &mut self.contents {
            let (durable, length) = (content.durable, content.bytes.len());
            let middle = durable + (length - durable) / 2;
            match survival {
                Survival::Nothing => content.bytes.truncate(durable),
                Survival::Half => content.bytes.truncate(middle),
                Survival::Hole => content.bytes[durable..middle].fill(0),
                Survival::Everything => {}
            }
            content.durable = content.bytes.len();
        }
        if survival == Survival::Everything {
            self.durable_names = self.names.clone();
        }
        self.names = self.durable_names.clone();
        (self.steps_left, self.bytes_left) = (usize::MAX, usize::MAX);
    }

    fn step(&mut self) -> io::Result<()> {
        let left = self.steps_left.checked_sub(1);
        self.steps_left = left.ok_or_else(|| Error::other("the process was killed"))?;
        Ok(())
    }

    fn content(&mut self, name: &str) -> io::Result<&mut Content> {
        let number = self.names.get(name).ok_or(ErrorKind::NotFound)?;
        Ok(&mut self.contents[*number])
    }
}

impl FileSystem for &mut FaultyFiles {
    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.names.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.content(name)?.bytes.clone())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.contents.push(Content::default());
        let number = self.contents.len() - 1;
        self.names.insert(String::from(name), number);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let killed = self.step();
        let half = if killed.is_err() {
            bytes.len() / 2
        } else {
            bytes.len()
        };
        let written = half.min(self.bytes_left);
        self.bytes_left -= written;
        self.content(name)?.bytes.extend(&bytes[..written]);
        killed?;
        if written < bytes.len() {
            return Err(ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        let content = self.content(name)?;
        content.durable = content.bytes.len();
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.step()?;
        let content = self.content(name)?;
        content.bytes.truncate(length as usize);
        content.durable = content.bytes.len();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let number = self.names.remove(from).ok_or(ErrorKind::NotFound)?;
        self.names.insert(String::from(to), number);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.names.remove(name).ok_or(ErrorKind::NotFound)?;
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        self.step()?;
        self.durable_names = self.names.clone();
        Ok(())
    }
}
