use mangospindle_model::EndpointId;
use mangospindle_state::{CommandKind, Config};

/// What an operator's order without a version of its own changes. The newest order for a subject holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum OrderSubject {
    /// Whether a failure domain is evacuated.
    Evacuation(String),
    /// Whether an endpoint is drained.
    EndpointDrain(EndpointId),
    /// The process that runs on a VM.
    VmProcess(String),
}

impl OrderSubject {
    /// The subject of an operator's order; `None` if the command has a version, an incarnation or another
    /// mark of the state that it is based on, or only adds something.
    pub(crate) fn of_order(kind: &CommandKind) -> Option<Self> {
        match kind {
            CommandKind::SetEvacuation { failure_domain, .. } => {
                Some(OrderSubject::Evacuation(failure_domain.clone()))
            }
            CommandKind::SetEndpointDrain { endpoint, .. } => {
                Some(OrderSubject::EndpointDrain(*endpoint))
            }
            CommandKind::FenceVm {
                name,
                incarnation: None,
            } => Some(OrderSubject::VmProcess(name.clone())),
            CommandKind::FenceVm { .. }
            | CommandKind::Bootstrap { .. }
            | CommandKind::PutProfile { .. }
            | CommandKind::DeleteProfile { .. }
            | CommandKind::AssignProfile { .. }
            | CommandKind::SetRegionLimit { .. }
            | CommandKind::PutRoutes { .. }
            | CommandKind::PutRoutesAndWorkspaces { .. }
            | CommandKind::PutFirstRoutes { .. }
            | CommandKind::AddEntry { .. }
            | CommandKind::AddEndpoint { .. }
            | CommandKind::EntryJoin { .. }
            | CommandKind::EntryLeave { .. }
            | CommandKind::ReleaseEndpoint { .. }
            | CommandKind::Claim { .. }
            | CommandKind::CompleteClaim { .. }
            | CommandKind::ReleaseClaim { .. }
            | CommandKind::MarkClaimUnknown { .. }
            | CommandKind::Expire => None,
        }
    }

    /// The subject that a command changes when it is applied. A process that joins changes the meaning of
    /// an order to fence its VM.
    pub(crate) fn of_change(kind: &CommandKind, config: &Config) -> Option<Self> {
        match kind {
            CommandKind::EntryJoin { entry, .. } => {
                let entry = config.topology.entries.get(entry.index())?;
                Some(OrderSubject::VmProcess(entry.name.clone()))
            }
            kind => OrderSubject::of_order(kind),
        }
    }
}
