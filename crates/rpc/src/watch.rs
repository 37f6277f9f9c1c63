use crate::RpcError;
use crate::control_capnp::{entry_report, watch_reply, watch_request};
use mangospindle_model::EntryId;
use mangospindle_state::{Config, ConfigChange};
use std::time::Duration;

/// Status of an entry process, sent with each watch request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryReport {
    /// Identifier of the entry.
    pub entry: EntryId,
    /// Random number that is drawn when the entry process starts.
    pub incarnation: u64,
    /// Whether the entry is shutting down.
    pub draining: bool,
}

/// Request for the configuration changes since a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchRequest {
    /// Version of the caller's configuration, or 0 if it has none.
    pub known_version: u64,
    /// Maximum time for which the replica waits for a change before it replies.
    pub hold: Duration,
    /// Status of the caller, if it is an entry.
    pub entry: Option<EntryReport>,
}

/// Content of a [`WatchReply`].
#[derive(Clone, Debug, PartialEq)]
pub enum WatchContent {
    /// No changes: the caller's version is not lower than the replica's.
    Unchanged,
    /// The changes from the caller's version to the replica's, in order.
    Changes(Vec<ConfigChange>),
    /// The full configuration.
    Config(Box<Config>),
}

/// Reply to a [`WatchRequest`].
#[derive(Clone, Debug, PartialEq)]
pub struct WatchReply {
    /// Version of the replica's configuration.
    pub version: u64,
    /// Changes or configuration that the caller does not have yet.
    pub content: WatchContent,
    /// Time since the replica's state was last confirmed as current. `None` if it never was.
    pub confirmed_age: Option<Duration>,
    /// Whether the replica considers itself cut off from the majority.
    pub cut_off: bool,
    /// How long the replica held the request.
    pub held: Duration,
}

impl WatchRequest {
    /// Writes the request into its Cap'n Proto struct.
    pub(crate) fn write(&self, mut builder: watch_request::Builder<'_>) {
        builder.set_known_version(self.known_version);
        builder.set_hold_ms(saturating_millis(self.hold));
        if let Some(report) = self.entry {
            let mut entry = builder.init_entry();
            entry.set_entry(report.entry.0);
            entry.set_incarnation(report.incarnation);
            entry.set_draining(report.draining);
        }
    }
}

impl TryFrom<watch_request::Reader<'_>> for WatchRequest {
    type Error = RpcError;

    fn try_from(reader: watch_request::Reader<'_>) -> Result<Self, RpcError> {
        let entry = match reader.has_entry() {
            true => Some(EntryReport::from(reader.get_entry()?)),
            false => None,
        };
        Ok(WatchRequest {
            known_version: reader.get_known_version(),
            hold: Duration::from_millis(reader.get_hold_ms().into()),
            entry,
        })
    }
}

impl From<entry_report::Reader<'_>> for EntryReport {
    fn from(reader: entry_report::Reader<'_>) -> Self {
        EntryReport {
            entry: EntryId(reader.get_entry()),
            incarnation: reader.get_incarnation(),
            draining: reader.get_draining(),
        }
    }
}

impl WatchReply {
    /// Writes the reply into its Cap'n Proto struct.
    pub(crate) fn write(&self, mut builder: watch_reply::Builder<'_>) -> Result<(), RpcError> {
        builder.set_version(self.version);
        builder.set_cut_off(self.cut_off);
        builder.set_held_ms(saturating_millis(self.held));
        let mut content = builder.reborrow().init_content();
        match &self.content {
            WatchContent::Unchanged => content.set_unchanged(()),
            WatchContent::Changes(changes) => {
                content.set_changes(&postcard::to_stdvec(changes)?);
            }
            WatchContent::Config(config) => content.set_config(&encode_config(config)?),
        }
        let mut confirmed = builder.init_confirmed();
        match self.confirmed_age {
            None => confirmed.set_never(()),
            // Rounded up, so that the caller never underestimates the age of the state.
            Some(age) => confirmed.set_age_ms(age.as_micros().div_ceil(1000) as u64),
        }
        Ok(())
    }
}

impl TryFrom<watch_reply::Reader<'_>> for WatchReply {
    type Error = RpcError;

    fn try_from(reader: watch_reply::Reader<'_>) -> Result<Self, RpcError> {
        use crate::control_capnp::watch_reply::{confirmed, content};
        let content = match reader.get_content().which()? {
            content::Which::Unchanged(()) => WatchContent::Unchanged,
            content::Which::Changes(data) => WatchContent::Changes(postcard::from_bytes(data?)?),
            content::Which::Config(data) => WatchContent::Config(Box::new(decode_config(data?)?)),
        };
        let confirmed_age = match reader.get_confirmed().which()? {
            confirmed::Which::Never(()) => None,
            confirmed::Which::AgeMs(ms) => Some(Duration::from_millis(ms)),
        };
        Ok(WatchReply {
            version: reader.get_version(),
            content,
            confirmed_age,
            cut_off: reader.get_cut_off(),
            held: Duration::from_millis(reader.get_held_ms().into()),
        })
    }
}

/// Encodes a configuration, followed by its workspaces if there are any. Earlier builds ignore what
/// follows the configuration.
fn encode_config(config: &Config) -> Result<Vec<u8>, postcard::Error> {
    let mut bytes = postcard::to_stdvec(config)?;
    let workspaces = &config.routes.workspaces;
    if !workspaces.is_empty() {
        bytes.extend(postcard::to_stdvec(workspaces)?);
    }
    Ok(bytes)
}

fn decode_config(bytes: &[u8]) -> Result<Config, postcard::Error> {
    let (mut config, rest): (Config, _) = postcard::take_from_bytes(bytes)?;
    if !rest.is_empty() {
        config.routes.workspaces = postcard::from_bytes(rest)?;
    }
    Ok(config)
}

fn saturating_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
