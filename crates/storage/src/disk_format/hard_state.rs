use super::StoredMember;
use mangospindle_consensus::{Formation, HardState};
use serde::{Deserialize, Serialize};

/// On-disk form of a [`HardState`].
#[derive(Serialize, Deserialize)]
pub(crate) struct StoredHardState {
    term: u64,
    voted_for: Option<StoredMember>,
    formation: Option<StoredFormation>,
}

#[derive(Serialize, Deserialize)]
struct StoredFormation {
    ballot: u64,
    voters: Vec<StoredMember>,
    complete: bool,
}

impl From<&HardState> for StoredHardState {
    fn from(state: &HardState) -> Self {
        Self {
            term: state.term,
            voted_for: state.voted_for.map(StoredMember::from),
            formation: state.formation.as_ref().map(|f| StoredFormation {
                ballot: f.ballot,
                voters: f.voters.iter().map(|v| (*v).into()).collect(),
                complete: f.complete,
            }),
        }
    }
}

impl From<StoredHardState> for HardState {
    fn from(state: StoredHardState) -> Self {
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
