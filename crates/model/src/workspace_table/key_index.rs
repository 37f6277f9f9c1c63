use super::{KeyDigest, WorkspaceTable};
use std::collections::HashMap;

/// Finds the workspace of a key in constant time.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    /// Position in `names` of each key's workspace.
    positions: HashMap<KeyDigest, u32>,
    names: Vec<String>,
}

impl KeyIndex {
    /// Builds the index of a table.
    pub fn new(table: &WorkspaceTable) -> Self {
        let keys = table.workspaces.values().map(|w| w.keys.len()).sum();
        let mut positions = HashMap::with_capacity(keys);
        for (position, workspace) in table.workspaces.values().enumerate() {
            let digests = workspace.keys.iter();
            positions.extend(digests.map(|digest| (*digest, position as u32)));
        }
        KeyIndex {
            positions,
            names: table.workspaces.keys().cloned().collect(),
        }
    }

    /// Name of the workspace to which a key belongs.
    pub fn find(&self, key: &[u8]) -> Option<&str> {
        let position = *self.positions.get(&KeyDigest::of(key))?;
        self.names.get(position as usize).map(String::as_str)
    }
}
