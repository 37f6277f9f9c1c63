use super::{ProfileWire, VersionedProfileWire, format_incarnation};
use mangospindle_model::{EndpointId, EntryId};
use mangospindle_state::{
    Actor, AuditChange, AuditRecord, Config, ConfigChange, EntryStatus, Ownership, Takeover,
    VersionedProfile,
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// An audit record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditRecordWire {
    /// Sequence number, which increases by one with each record.
    pub sequence: u64,
    /// Index of the log entry.
    pub index: u64,
    /// Wall-clock time at the leader, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// `operator` or `process`.
    pub actor_kind: String,
    /// Name of the token or of the process.
    pub actor: String,
    /// Identifier of the request that made the change.
    pub request: String,
    /// Version of the configuration after the change.
    pub version: u64,
    /// Kind of change, for example `put_profile`.
    pub action: String,
    /// Name of the changed item.
    pub subject: String,
    /// The item before the change. `null` if it did not exist.
    pub before: Value,
    /// The item after the change. `null` if it no longer exists.
    pub after: Value,
}

/// A page of the audit trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditPageWire {
    /// The records, oldest first.
    pub records: Vec<AuditRecordWire>,
    /// Sequence number of the oldest record that the replicas still retain.
    pub first_available: u64,
    /// Sequence number of the newest record.
    pub last: u64,
}

impl AuditRecordWire {
    /// Converts a record. Names come from `config`, which must not be older than the record.
    pub fn new(config: &Config, record: &AuditRecord) -> Self {
        let (actor_kind, actor) = match &record.actor {
            Actor::Operator(name) => ("operator", name),
            Actor::Process(name) => ("process", name),
        };
        let (action, subject, before, after) = match &record.change {
            AuditChange::Bootstrap {
                entries,
                endpoints,
                profiles,
            } => {
                let after =
                    json!({ "entries": entries, "endpoints": endpoints, "profiles": profiles });
                ("bootstrap", String::new(), Value::Null, after)
            }
            AuditChange::Config { before, after } => {
                let (action, subject) = action_and_subject(config, after);
                let before = before
                    .as_deref()
                    .map_or(Value::Null, |c| change_value(config, c));
                (action, subject, before, change_value(config, after))
            }
        };
        AuditRecordWire {
            sequence: record.sequence,
            index: record.index,
            time_ms: record.leader_time_ms,
            actor_kind: actor_kind.to_string(),
            actor: actor.clone(),
            request: record.request.0.clone(),
            version: record.version,
            action: action.to_string(),
            subject,
            before,
            after,
        }
    }
}

fn entry_name(config: &Config, id: EntryId) -> String {
    let item = config.topology.entries.get(id.index());
    item.map_or_else(|| id.to_string(), |e| e.name.clone())
}

fn endpoint_name(config: &Config, id: EndpointId) -> String {
    let item = config.topology.endpoints.get(id.index());
    item.map_or_else(|| id.to_string(), |e| e.name.clone())
}

/// Returns the action and the subject of a change.
fn action_and_subject(config: &Config, change: &ConfigChange) -> (&'static str, String) {
    let topology = &config.topology;
    match change {
        ConfigChange::PutProfile(v) => ("put_profile", v.profile.name.clone()),
        ConfigChange::DeleteProfile(name) => ("delete_profile", name.clone()),
        ConfigChange::AssignProfile(id, _) => {
            let item = topology.services.get(id.index());
            let name = item.map_or_else(|| id.to_string(), |s| s.name.clone());
            ("assign_profile", name)
        }
        ConfigChange::SetRegionLimit(id, _) => {
            let item = topology.regions.get(id.index());
            let name = item.map_or_else(|| id.to_string(), |r| r.name.clone());
            ("set_region_limit", name)
        }
        ConfigChange::SetEndpointDrain(id, _) => ("set_endpoint_drain", endpoint_name(config, *id)),
        ConfigChange::UpdateRoutes(c) | ConfigChange::UpdateRoutesAndWorkspaces(c, _) => {
            ("update_routes", c.number.to_string())
        }
        ConfigChange::SetEvacuation(name, _) => ("set_evacuation", name.clone()),
        ConfigChange::AddEntry(entry) => ("add_entry", entry.name.clone()),
        ConfigChange::AddEndpoint(endpoint) => ("add_endpoint", endpoint.name.clone()),
        ConfigChange::SetEntryStatus(id, _) => ("set_entry_status", entry_name(config, *id)),
        ConfigChange::SetOwnership(id, _) => ("set_ownership", endpoint_name(config, *id)),
    }
}

/// Returns the value that a change sets.
fn change_value(config: &Config, change: &ConfigChange) -> Value {
    match change {
        ConfigChange::PutProfile(versioned) => profile_value(versioned),
        ConfigChange::DeleteProfile(_) => Value::Null,
        ConfigChange::AssignProfile(_, name) => json!(name),
        ConfigChange::SetRegionLimit(_, limit) => json!(limit),
        ConfigChange::SetEndpointDrain(_, drain) => json!(drain),
        ConfigChange::UpdateRoutes(c) => json!({
            "number": c.number,
            "updated": c.updated.len(),
            "removed": c.removed.len(),
        }),
        ConfigChange::UpdateRoutesAndWorkspaces(c, workspaces) => json!({
            "number": c.number,
            "updated": c.updated.len(),
            "removed": c.removed.len(),
            "workspaces_updated": workspaces.updated.keys().collect::<Vec<_>>(),
            "workspaces_removed": workspaces.removed,
        }),
        ConfigChange::SetEvacuation(_, on) => json!(on),
        ConfigChange::AddEntry(e) => json!({
            "public_address": e.public_address,
            "internal_address": e.internal_address,
        }),
        ConfigChange::AddEndpoint(e) => json!({ "address": e.address, "slots": e.slots }),
        ConfigChange::SetEntryStatus(_, status) => match status {
            EntryStatus::Absent => json!("absent"),
            EntryStatus::Active { incarnation } => {
                json!({ "active": format_incarnation(*incarnation) })
            }
            EntryStatus::Leaving { incarnation } => {
                json!({ "leaving": format_incarnation(*incarnation) })
            }
            EntryStatus::Fenced => json!("fenced"),
        },
        ConfigChange::SetOwnership(_, ownership) => ownership_value(config, ownership),
    }
}

fn profile_value(versioned: &VersionedProfile) -> Value {
    let wire = VersionedProfileWire {
        version: versioned.version,
        profile: ProfileWire::from(&versioned.profile),
    };
    // The conversion cannot fail: a profile has only string keys and finite numbers.
    serde_json::to_value(wire).unwrap_or_default()
}

fn ownership_value(config: &Config, ownership: &Ownership) -> Value {
    json!({
        "owner": ownership.owner.map(|id| entry_name(config, id)),
        "epoch": ownership.epoch,
        "takeover": match ownership.takeover {
            Takeover::Clean => "clean",
            Takeover::Quarantine => "quarantine",
        },
    })
}
