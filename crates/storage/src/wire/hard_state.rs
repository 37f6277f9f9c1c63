use super::WireMember;
use mangospindle_consensus::{Formation, HardState};
use serde::{Deserialize, Serialize};

#[derive(Serialize, Deserialize)]
pub(crate) struct WireHardState {
    term: u64,
    voted_for: Option<WireMember>,
    formation: Option<WireFormation>,
}

#[derive(Serialize, Deserialize)]
struct WireFormation {
    ballot: u64,
    voters: Vec<WireMember>,
    complete: bool,
}

impl From<&HardState> for WireHardState {
    fn from(state: &HardState) -> Self {
        Self {
            term: state.term,
            voted_for: state.voted_for.map(WireMember::from),
            formation: state.formation.as_ref().map(|f| WireFormation {
                ballot: f.ballot,
                voters: f.voters.iter().map(|v| (*v).into()).collect(),
                complete: f.complete,
            }),
        }
    }
}

impl From<WireHardState> for HardState {
    fn from(state: WireHardState) -> Self {
        Self {
            term: state.term,
            voted_for: state.voted_for.map(Into::into),
            formation: state.formation.map(|f| Formation {
                ballot: f.ballot,
                voters: f.voters.into_iter().map(Into::into).collect(),
                complete: f.complete,
            }),
        }
    }
}
