use mangospindle_model::RequestClass;
use proptest::prelude::*;

/// One step of the fuzzing. Numbers are taken modulo what exists.
#[derive(Clone, Debug)]
pub enum Op {
    Advance(u64),
    Requests {
        entry: usize,
        service: u16,
        class: RequestClass,
        away: bool,
        remaining_ms: u64,
        count: usize,
    },
    /// Keeps all owners full of long home requests of one service, or both, for a time.
    Pressure {
        service: u16,
        steps: u32,
    },
    /// Ends a running request: good, slow, failed, or given up by the caller.
    Finish {
        which: usize,
        how: u8,
    },
    Cancel(usize),
    /// The process dies; its requests run on. It restarts, or its VM is fenced, by a later step.
    Kill(usize),
    Restart(usize),
    Fence(usize),
    RegionLimit(u32),
    CrossLimit(u32),
    AddEndpoint {
        service: u16,
        domain: u16,
    },
    Drain {
        endpoint: usize,
        drain: bool,
    },
    Reading {
        endpoint: usize,
        what: u8,
    },
    /// The entry gets no configuration and no confirmation.
    CutOff {
        entry: usize,
        cut: bool,
    },
    /// The entry stops for a while and resumes with the old time.
    ClockBack {
        entry: usize,
        ms: u64,
    },
}

pub fn op(with_cut_off: bool) -> impl Strategy<Value = Op> {
    let class = prop::sample::select(RequestClass::ALL.to_vec());
    prop_oneof![
        20 => (1..400u64).prop_map(Op::Advance),
        4 => (1_000..9_000u64).prop_map(Op::Advance),
        24 => (0..9usize, 0..2u16, class, any::<bool>(), 0..3_000u64, 1..9usize).prop_map(
            |(entry, service, class, away, remaining_ms, count)| Op::Requests {
                entry, service, class, away, remaining_ms, count
            }
        ),
        4 => (0..3u16, 1..40u32).prop_map(|(service, steps)| Op::Pressure { service, steps }),
        24 => (any::<usize>(), 0..8u8).prop_map(|(which, how)| Op::Finish { which, how }),
        1 => any::<usize>().prop_map(Op::Cancel),
        1 => any::<usize>().prop_map(Op::Kill),
        3 => any::<usize>().prop_map(Op::Restart),
        1 => any::<usize>().prop_map(Op::Fence),
        1 => (1..30u32).prop_map(Op::RegionLimit),
        1 => (0..12u32).prop_map(Op::CrossLimit),
        2 => (0..2u16, 0..2u16).prop_map(|(service, domain)| Op::AddEndpoint { service, domain }),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(endpoint, drain)| Op::Drain { endpoint, drain }),
        2 => (any::<usize>(), 0..6u8).prop_map(|(endpoint, what)| Op::Reading { endpoint, what }),
        2 => (any::<usize>(), any::<bool>()).prop_map(move |(entry, cut)| Op::CutOff { entry, cut: cut && with_cut_off }),
        1 => (any::<usize>(), 1..2_000u64).prop_map(|(entry, ms)| Op::ClockBack { entry, ms }),
    ]
}
