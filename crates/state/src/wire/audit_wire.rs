use super::ChangeWire;
use crate::{Actor, AuditChange, AuditRecord, RequestId};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
enum AuditChangeWire {
    Bootstrap(u64, u64, Vec<String>),
    Config(Option<Box<ChangeWire>>, Box<ChangeWire>),
}

/// An audit record in a snapshot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct AuditRecordWire {
    sequence: u64,
    index: u64,
    leader_time_ms: u64,
    actor: Actor,
    request: RequestId,
    version: u64,
    change: AuditChangeWire,
}

impl From<&AuditRecord> for AuditRecordWire {
    fn from(record: &AuditRecord) -> Self {
        AuditRecordWire {
            sequence: record.sequence,
            index: record.index,
            leader_time_ms: record.leader_time_ms,
            actor: record.actor.clone(),
            request: record.request.clone(),
            version: record.version,
            change: match &record.change {
                AuditChange::Bootstrap {
                    entries,
                    endpoints,
                    profiles,
                } => {
                    AuditChangeWire::Bootstrap(*entries as u64, *endpoints as u64, profiles.clone())
                }
                AuditChange::Config { before, after } => AuditChangeWire::Config(
                    before.as_deref().map(|c| Box::new(c.into())),
                    Box::new((&**after).into()),
                ),
            },
        }
    }
}

impl From<AuditRecordWire> for AuditRecord {
    fn from(wire: AuditRecordWire) -> Self {
        AuditRecord {
            sequence: wire.sequence,
            index: wire.index,
            leader_time_ms: wire.leader_time_ms,
            actor: wire.actor,
            request: wire.request,
            version: wire.version,
            change: match wire.change {
                AuditChangeWire::Bootstrap(entries, endpoints, profiles) => {
                    AuditChange::Bootstrap {
                        entries: entries as usize,
                        endpoints: endpoints as usize,
                        profiles,
                    }
                }
                AuditChangeWire::Config(before, after) => AuditChange::Config {
                    before: before.map(|c| Box::new((*c).into())),
                    after: Box::new((*after).into()),
                },
            },
        }
    }
}
