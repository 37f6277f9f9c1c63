//! The write-ahead log under crashes, damage and a full disk.

mod crashes;
mod damage;
mod faulty_files;
