//! Write-ahead log and snapshot files.
