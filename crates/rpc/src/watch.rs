use crate::RpcError;
use crate::control_capnp::{entry_report, watch_reply, watch_request};
use mangospindle_model::EntryId;
use mangospindle_state::{Config, ConfigChange};
use std::time::Duration;

/// What an entry process tells about itself with each watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryReport {
    /// The entry.
    pub entry: EntryId,
    /// Random number drawn at the start of the entry process.
    pub incarnation: u64,
    /// Whether the entry is stopping.
    pub draining: bool,
}

/// Asks for the changes since a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchRequest {
    /// Version that the caller holds; zero for none.
    pub known_version: u64,
    /// How long the replica may wait for a change before it answers.
    pub hold: Duration,
    /// The caller, if it is an entry.
    pub entry: Option<EntryReport>,
}

/// What a [`WatchReply`] brings.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchContent {
    /// The caller's version is not lower than the replica's.
    Unchanged,
    /// The changes from the caller's version to the replica's, in order.
    Changes(Vec<ConfigChange>),
    /// The whole configuration.
    Config(Box<Config>),
}

/// Answer to a [`WatchRequest`].
#[derive(Clone, Debug, PartialEq)]
pub struct WatchReply {
    /// Version of the replica's configuration.
    pub version: u64,
    /// What the caller is missing.
    pub content: WatchContent,
    /// How long ago the replica knew that its state was current; `None` if it never did.
    pub confirmed_age: Option<Duration>,
    /// Whether the replica counts itself as cut off.
    pub cut_off: bool,
    /// How long the replica held the request.
    pub held: Duration,
}

impl WatchRequest {
    /// Writes the wire form.
    pub(crate) fn write(&self, mut builder: watch_request::Builder<'_>) {
        builder.set_known_version(self.known_version);
        builder.set_hold_ms(saturating_ms(self.hold));
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
    /// Writes the wire form.
    pub(crate) fn write(&self, mut builder: watch_reply::Builder<'_>) -> Result<(), RpcError> {
        builder.set_version(self.version);
        builder.set_cut_off(self.cut_off);
        builder.set_held_ms(saturating_ms(self.held));
        let mut content = builder.reborrow().init_content();
        match &self.content {
            WatchContent::Unchanged => content.set_unchanged(()),
            WatchContent::Changes(changes) => {
                content.set_changes(&postcard::to_stdvec(changes)?);
            }
            WatchContent::Config(config) => content.set_config(&postcard::to_stdvec(config)?),
        }
        let mut confirmed = builder.init_confirmed();
        match self.confirmed_age {
            None => confirmed.set_never(()),
            // Rounded up, so that the caller never takes the state for more recent than it is.
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
            content::Which::Config(data) => WatchContent::Config(postcard::from_bytes(data?)?),
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

fn saturating_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
