/// A command that is proposed to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The encoded command.
    pub command: Vec<u8>,
    /// Whether a follower forwarded the command. It is then not forwarded again.
    pub forwarded: bool,
    /// Log index that the replica which received the command had applied when it arrived. `None` if the
    /// sender does not tell it, like replicas of the build before.
    pub based_on: Option<u64>,
}
