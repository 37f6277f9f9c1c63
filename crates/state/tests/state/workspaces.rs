//! Tests of workspaces in the replicated state.

use crate::support::put_workspaces;
use mangospindle_model::{
    Allowance, EndpointService, KeyDigest, RequestLimits, Route, RouteKey, RouteTable, Topology,
    Workspace, WorkspaceTable,
};
use mangospindle_state::{
    Actor, ChangesSince, Command, CommandKind, Config, Outcome, RequestId, State,
};
use serde::Serialize;
use std::collections::BTreeMap;

fn workspace(keys: &[&str]) -> Workspace {
    Workspace {
        keys: (keys.iter().map(|k| KeyDigest::of(k.as_bytes()))).collect(),
        allowance: Some(Allowance {
            rate: 10.0,
            burst: 5.0,
        }),
        ..Workspace::default()
    }
}

fn workspaces(list: &[(&str, &[&str])]) -> WorkspaceTable {
    WorkspaceTable {
        workspaces: (list.iter())
            .map(|(name, keys)| (name.to_string(), workspace(keys)))
            .collect(),
        public_routes: Default::default(),
    }
}

fn apply(state: &mut State, index: u64, kind: CommandKind) -> Outcome {
    let command = Command {
        request: RequestId(format!("request-{index}")),
        actor: Actor::Operator("operator".to_string()),
        leader_time_ms: index,
        kind,
    };
    // Commands are encoded in the log; a field that is not encoded must not have an effect.
    let bytes = postcard::to_stdvec(&command).expect("commands can be encoded");
    let decoded = postcard::from_bytes(&bytes).expect("commands can be decoded");
    state.apply(index, &decoded)
}

fn bootstrapped_state() -> State {
    let mut state = State::new();
    let kind = CommandKind::Bootstrap {
        topology: Topology::default(),
        profiles: Vec::new(),
    };
    apply(&mut state, 1, kind);
    state
}

/// Guards against workspaces that are lost, that survive their removal, or that differ between a
/// replica, one that restored a snapshot, and an entry that applies changes.
#[test]
fn workspaces_follow_the_highest_numbered_table() {
    struct Case {
        name: &'static str,
        number: u64,
        workspaces: WorkspaceTable,
        /// Names and numbers of keys afterwards.
        expected: &'static [(&'static str, usize)],
    }
    let cases = [
        Case {
            name: "first",
            number: 2,
            workspaces: workspaces(&[("a", &["k1", "k2"]), ("b", &["k3"])]),
            expected: &[("a", 2), ("b", 1)],
        },
        Case {
            name: "a lower number",
            number: 1,
            workspaces: workspaces(&[("c", &["k4"])]),
            expected: &[("a", 2), ("b", 1)],
        },
        Case {
            name: "a key withdrawn, a workspace added",
            number: 3,
            workspaces: workspaces(&[("a", &["k1"]), ("b", &[]), ("c", &["k4"])]),
            expected: &[("a", 1), ("b", 0), ("c", 1)],
        },
        Case {
            name: "a shared key",
            number: 4,
            workspaces: workspaces(&[("a", &["k1"]), ("b", &["k1"])]),
            expected: &[("a", 1), ("b", 0), ("c", 1)],
        },
        Case {
            name: "all removed",
            number: 5,
            workspaces: WorkspaceTable::default(),
            expected: &[],
        },
    ];
    let mut state = bootstrapped_state();
    let mut entry = state.config().clone();
    for (n, case) in cases.into_iter().enumerate() {
        apply(
            &mut state,
            n as u64 + 2,
            put_workspaces(case.number, case.workspaces),
        );
        let table = &state.config().routes.workspaces.workspaces;
        let found: Vec<(&str, usize)> = (table.iter())
            .map(|(name, w)| (name.as_str(), w.keys.len()))
            .collect();
        assert_eq!(found, case.expected, "{}", case.name);
        let restored = State::decode(&state.encode()).unwrap();
        assert_eq!(restored.config(), state.config(), "{}", case.name);
        if let ChangesSince::Changes(changes) = state.changes_since(entry.version) {
            let bytes = postcard::to_stdvec(&changes.into_iter().collect::<Vec<_>>()).unwrap();
            let changes: Vec<mangospindle_state::ConfigChange> =
                postcard::from_bytes(&bytes).unwrap();
            changes.iter().for_each(|change| entry.apply(change));
        }
        assert_eq!(&entry, state.config(), "{}", case.name);
    }
}

/// Guards against a table without workspaces that earlier builds cannot read.
#[test]
fn tables_without_workspaces_are_encoded_as_before() {
    /// The fields that earlier builds know, in their order.
    #[derive(Serialize)]
    struct EarlierTable {
        number: u64,
        services: BTreeMap<String, EndpointService>,
        limits: RequestLimits,
        routes: BTreeMap<RouteKey, Route>,
    }
    let earlier = EarlierTable {
        number: 7,
        services: BTreeMap::new(),
        limits: RequestLimits::default(),
        routes: BTreeMap::new(),
    };
    let table = RouteTable {
        number: 7,
        ..RouteTable::default()
    };
    let (earlier, table) = (postcard::to_stdvec(&earlier), postcard::to_stdvec(&table));
    assert_eq!(earlier.unwrap(), table.unwrap());
    let mut state = bootstrapped_state();
    apply(&mut state, 2, put_workspaces(1, WorkspaceTable::default()));
    assert_eq!(state.encode()[0], 2, "format of the snapshot");
    let config: Config = state.config().clone();
    assert!(config.routes.workspaces.is_empty());
}

/// Guards against a snapshot that an earlier build takes for one it can read: the audit trail still holds
/// changes of workspaces after all were removed.
#[test]
fn snapshots_with_records_of_workspaces_have_their_own_format() {
    let mut state = bootstrapped_state();
    apply(
        &mut state,
        2,
        put_workspaces(1, workspaces(&[("a", &["k1"])])),
    );
    assert_eq!(state.encode()[0], 3);
    apply(&mut state, 3, put_workspaces(2, WorkspaceTable::default()));
    assert_eq!(state.encode()[0], 3);
}

/// Guards against keys or their whole digests in the audit trail, which operators read.
#[test]
fn audit_trail_shows_no_keys() {
    let mut state = bootstrapped_state();
    apply(
        &mut state,
        2,
        put_workspaces(1, workspaces(&[("a", &["secret-key"])])),
    );
    let text = format!("{:?}", state.audit(0, 10));
    assert!(!text.contains("secret-key"), "{text}");
    assert!(text.contains("KeyDigest"), "{text}");
}
