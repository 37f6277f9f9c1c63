use crate::line_class::LineClass;
use std::time::Duration;

/// Maximum number of lines per second in each class. Above this rate, a process spends more time on
/// logging requests than on serving them.
const MAX_LINES_PER_SECOND: u32 = 200;

/// Length of the window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Limits the rate of lines in each class, so that lines about requests do not displace those about
/// the process.
#[derive(Debug, Default)]
pub(crate) struct LineLimiter {
    /// Start of the current window, on the writer's clock.
    window_start: Duration,
    request_lines: u32,
    process_lines: u32,
}

impl LineLimiter {
    /// Starts a new window if the current one has ended. Returns whether it did.
    pub(crate) fn advance(&mut self, now: Duration) -> bool {
        let ended = now.saturating_sub(self.window_start) >= WINDOW;
        if ended {
            *self = LineLimiter {
                window_start: now,
                ..LineLimiter::default()
            };
        }
        ended
    }

    /// Counts a line. Returns whether it is within the limit of its class.
    pub(crate) fn allow(&mut self, class: LineClass) -> bool {
        let lines = match class {
            LineClass::Request => &mut self.request_lines,
            LineClass::Process => &mut self.process_lines,
        };
        *lines += 1;
        *lines <= MAX_LINES_PER_SECOND
    }
}
