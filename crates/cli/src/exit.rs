use std::process::ExitCode;

/// Exit codes. Wrong arguments end with 1, as the argument parser does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// Wrong arguments, or a local file cannot be read.
    Usage = 1,
    /// Refused: not valid, not allowed, or malformed. Nothing changed.
    Refused = 2,
    /// There is no such item.
    NotFound = 3,
    /// The item is not as the change assumes. Nothing changed.
    Conflict = 4,
    /// No replica accepted the request. Nothing changed.
    Unavailable = 5,
    /// The change may have been made. Repeat it with the `--request-id` that is printed.
    Unknown = 6,
    /// `profile diff` found a difference, or `drain status` a drain in progress.
    Different = 7,
}

impl Exit {
    /// The table for `--help`.
    pub(crate) const HELP: &str = "Exit codes:\n   \
        0 done\n   \
        1 wrong arguments\n   \
        2 refused, nothing changed\n   \
        3 not found\n   \
        4 version conflict, nothing changed\n   \
        5 unavailable, nothing changed\n   \
        6 the change may have been made: repeat it with the printed --request-id\n   \
        7 `profile diff` found a difference, or `drain status` a drain in progress";
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}
