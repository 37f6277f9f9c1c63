use mangospindle_model::RequestClass;
use proptest::prelude::*;

/// One step of a fuzz case. Indices are taken modulo the number of existing items. The index of an
/// entry or endpoint comes first.
#[derive(Clone, Debug)]
pub enum Op {
    /// Milliseconds.
    Advance(u64),
    /// Entry, service, class, whether from the other region, remaining milliseconds, number of
    /// requests.
    Requests(usize, u16, RequestClass, bool, u64, usize),
    /// Saturates all owners with requests of one service, or of both, for some steps of 200 ms. The
    /// requests are long ones of the home region or short ones of the other region.
    Saturate(u16, bool, u32),
    /// Ends a running request: answered (fast or slow), failed, shed or cancelled by the caller.
    Finish(usize, u8),
    Cancel(usize),
    /// The process crashes and its requests continue to run. A later step restarts it or fences its
    /// VM.
    Kill(usize),
    Restart(usize),
    Fence(usize),
    /// The process is killed or fenced, then restarted, between two phases of saturation.
    LoseWhileSaturated(usize, bool, u16, u16, bool),
    RegionLimit(u32),
    CrossRegionLimit(u32),
    /// Service and failure domain.
    AddEndpoint(u16, u16),
    Drain(usize, bool),
    Observe(usize, u8),
    /// Stops or resumes the delivery of configurations and confirmations to the entry.
    CutOff(usize, bool),
    /// Calls the process with a time in the past, by this number of milliseconds.
    StepClockBack(usize, u64),
}

pub fn op_strategy(cut_off: bool) -> impl Strategy<Value = Op> {
    let class = prop::sample::select(RequestClass::ALL.to_vec());
    let requests = (
        any::<usize>(),
        0..2u16,
        class,
        any::<bool>(),
        0..3_000u64,
        1..9usize,
    );
    let lose = (
        any::<usize>(),
        any::<bool>(),
        0..3u16,
        0..3u16,
        any::<bool>(),
    );
    prop_oneof![
        20 => (1..400u64).prop_map(Op::Advance),
        4 => (1_000..9_000u64).prop_map(Op::Advance),
        24 => requests.prop_map(|(e, s, c, a, r, n)| Op::Requests(e, s, c, a, r, n)),
        4 => (0..3u16, any::<bool>(), 1..40u32).prop_map(|(s, away, n)| Op::Saturate(s, away, n)),
        24 => (any::<usize>(), 0..8u8).prop_map(|(which, how)| Op::Finish(which, how)),
        1 => any::<usize>().prop_map(Op::Cancel),
        1 => any::<usize>().prop_map(Op::Kill),
        3 => any::<usize>().prop_map(Op::Restart),
        1 => any::<usize>().prop_map(Op::Fence),
        2 => lose.prop_map(|(e, fence, a, b, away)| Op::LoseWhileSaturated(e, fence, a, b, away)),
        1 => (1..30u32).prop_map(Op::RegionLimit),
        1 => (0..12u32).prop_map(Op::CrossRegionLimit),
        2 => (0..2u16, 0..2u16).prop_map(|(service, domain)| Op::AddEndpoint(service, domain)),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(id, drain)| Op::Drain(id, drain)),
        2 => (any::<usize>(), 0..6u8).prop_map(|(id, what)| Op::Observe(id, what)),
        2 => (any::<usize>(), any::<bool>()).prop_map(move |(e, c)| Op::CutOff(e, c && cut_off)),
        1 => (any::<usize>(), 1..2_000u64).prop_map(|(entry, ms)| Op::StepClockBack(entry, ms)),
    ]
}
