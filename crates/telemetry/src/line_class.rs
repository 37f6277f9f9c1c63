/// Class of a log line. Each class has a rate limit of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LineClass {
    /// About a single request: has a `request` field.
    Request,
    /// About the process: start, stop, configuration, dependencies.
    Process,
}

impl LineClass {
    /// Class of a line in the JSON encoding. Quotes within JSON strings are escaped, so the text
    /// below occurs only as a key.
    pub(crate) fn of(line: &str) -> Self {
        match line.contains("\"request\":") {
            true => LineClass::Request,
            false => LineClass::Process,
        }
    }
}
