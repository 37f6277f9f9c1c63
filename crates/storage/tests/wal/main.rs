//! The write-ahead log under crashes, damage and a full disk, and its speed.

mod crashes;
mod damage;
mod faulty_files;
mod measure;
