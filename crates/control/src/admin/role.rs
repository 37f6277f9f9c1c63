/// Permissions of a token. Each role includes the permissions of the roles before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Reads all resources.
    Viewer,
    /// Also changes profiles, assignments, limits and drains.
    Operator,
    /// Also deletes profiles, adds VMs and fences them.
    Owner,
}

impl Role {
    /// All roles, from the fewest to the most permissions.
    pub const ALL: [Role; 3] = [Role::Viewer, Role::Operator, Role::Owner];

    /// Returns the name of the role in settings and documents.
    pub fn as_str(self) -> &'static str {
        match self {
            Role::Viewer => "viewer",
            Role::Operator => "operator",
            Role::Owner => "owner",
        }
    }

    /// Returns the role with the given name.
    pub fn from_name(name: &str) -> Option<Role> {
        Self::ALL.into_iter().find(|role| role.as_str() == name)
    }
}
