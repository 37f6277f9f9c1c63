use std::time::Duration;

/// What a link does to the traffic in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Nothing passes, and new connections stay unanswered, as with lost packets.
    pub cut: bool,
    /// Connections that exist go silent for good; new ones work.
    pub silence_existing: bool,
    /// Delay in addition to the latency of the link.
    pub delay: Duration,
}

impl Fault {
    /// Nothing passes.
    pub const CUT: Fault = Fault {
        cut: true,
        silence_existing: false,
        delay: Duration::ZERO,
    };
}
