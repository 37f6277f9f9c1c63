use super::ChangeWire;
use crate::audit_trail::RetainedRecords;
use crate::{Actor, AuditChange, AuditRecord, EncodedAuditRecord, RequestId};
use serde::de::{SeqAccess, Visitor};
use serde::ser::{SerializeSeq, SerializeTuple};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

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

/// The audit records in a snapshot, encoded as a sequence of [`AuditRecordWire`].
///
/// Snapshots of earlier builds hold up to 10,000 records of any size. Decoding keeps one record at a
/// time in addition to the retained ones, so that the memory does not depend on their number.
#[derive(Clone, Debug)]
pub(crate) struct AuditTrailWire {
    pub(crate) retained: RetainedRecords,
    /// Number of records in the snapshot.
    pub(crate) total: u64,
}

/// Writes an encoded record without a length before it, as if it were encoded in place.
struct InPlace<'a>(&'a EncodedAuditRecord);

struct AuditTrailVisitor;

impl From<&RetainedRecords> for AuditTrailWire {
    fn from(records: &RetainedRecords) -> Self {
        AuditTrailWire {
            retained: records.clone(),
            total: records.len() as u64,
        }
    }
}

impl Serialize for AuditTrailWire {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let mut seq = serializer.serialize_seq(Some(self.retained.len()))?;
        for record in self.retained.iter() {
            seq.serialize_element(&InPlace(record))?;
        }
        seq.end()
    }
}

impl Serialize for InPlace<'_> {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let bytes = self.0.as_bytes();
        let mut tuple = serializer.serialize_tuple(bytes.len())?;
        for byte in bytes {
            tuple.serialize_element(byte)?;
        }
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for AuditTrailWire {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_seq(AuditTrailVisitor)
    }
}

impl<'de> Visitor<'de> for AuditTrailVisitor {
    type Value = AuditTrailWire;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a sequence of audit records")
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<AuditTrailWire, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut retained = RetainedRecords::default();
        let mut total = 0;
        while let Some(record) = seq.next_element::<AuditRecordWire>()? {
            total += 1;
            retained.push(EncodedAuditRecord::from(&AuditRecord::from(record)));
        }
        Ok(AuditTrailWire { retained, total })
    }
}
