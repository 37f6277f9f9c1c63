/// What a token allows. Each role includes the ones before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Reads everything.
    Viewer,
    /// Changes profiles, assignments, limits and drains.
    Operator,
    /// Also deletes profiles, adds VMs and fences them.
    Owner,
}

impl Role {
    /// All roles, from the least to the most.
    pub const ALL: [Role; 3] = [Role::Viewer, Role::Operator, Role::Owner];

    /// Name in settings and documents.
    pub fn as_str(self) -> &'static str {
        match self {
            Role::Viewer => "viewer",
            Role::Operator => "operator",
            Role::Owner => "owner",
        }
    }

    /// Finds a role by name.
    pub fn from_name(name: &str) -> Option<Role> {
        Self::ALL.into_iter().find(|role| role.as_str() == name)
    }
}
