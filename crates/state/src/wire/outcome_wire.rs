use crate::Outcome;
use crate::request_outcomes::RecordedOutcome;
use mangospindle_model::ErrorKind;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
enum OutcomeWire {
    Done(u64),
    /// The stable name of the error kind, the detail and the current version.
    Refused(String, String, Option<u64>),
}

/// The first outcome of a request in a snapshot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RecordedOutcomeWire {
    digest: [u8; 16],
    at_ms: u64,
    outcome: OutcomeWire,
}

impl TryFrom<&RecordedOutcome> for RecordedOutcomeWire {
    type Error = &'static str;

    fn try_from(recorded: &RecordedOutcome) -> Result<Self, Self::Error> {
        Ok(RecordedOutcomeWire {
            digest: recorded.digest,
            at_ms: recorded.at_ms,
            outcome: match &recorded.outcome {
                Outcome::Done { version } => OutcomeWire::Done(*version),
                Outcome::Refused {
                    kind,
                    detail,
                    current_version,
                } => OutcomeWire::Refused(
                    kind.row().name.to_string(),
                    detail.clone(),
                    *current_version,
                ),
                Outcome::Claim(_) => return Err("outcomes of claims are not recorded"),
            },
        })
    }
}

impl TryFrom<RecordedOutcomeWire> for RecordedOutcome {
    type Error = String;

    fn try_from(wire: RecordedOutcomeWire) -> Result<Self, Self::Error> {
        Ok(RecordedOutcome {
            digest: wire.digest,
            at_ms: wire.at_ms,
            outcome: match wire.outcome {
                OutcomeWire::Done(version) => Outcome::Done { version },
                OutcomeWire::Refused(name, detail, current_version) => Outcome::Refused {
                    kind: ErrorKind::from_name(&name)
                        .ok_or_else(|| format!("unknown error kind `{name}`"))?,
                    detail,
                    current_version,
                },
            },
        })
    }
}
