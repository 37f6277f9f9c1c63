//! Tests of the write-ahead log after crashes, file corruption and a full disk.

mod corruption;
mod crashes;
mod faulty_file_system;
