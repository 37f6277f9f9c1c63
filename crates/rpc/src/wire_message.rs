use crate::control_capnp::{append, log_entry, member, peer_message, snapshot_chunk};
use crate::{MAX_COMMAND_BYTES, RpcError};
use mangospindle_consensus::{
    Entry, Member, Membership, Message, MessageKind, Payload, ReplicaId, StorageId,
};
use uuid::Uuid;

/// Content of one `PeerMessage` on the wire.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum WireMessage {
    /// A whole message.
    Whole(Message),
    /// A chunk of an `InstallSnapshot` message.
    Chunk(SnapshotChunk),
}

/// One chunk of an `InstallSnapshot` message.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SnapshotChunk {
    pub(crate) from: Member,
    pub(crate) to: Member,
    pub(crate) message_term: u64,
    pub(crate) index: u64,
    pub(crate) term: u64,
    pub(crate) round: u64,
    pub(crate) membership: Membership,
    pub(crate) offset: u64,
    pub(crate) total: u64,
    pub(crate) data: Vec<u8>,
}

impl WireMessage {
    /// Writes the message into its Cap'n Proto struct.
    pub(crate) fn write(&self, builder: peer_message::Builder<'_>) -> Result<(), RpcError> {
        match self {
            WireMessage::Whole(message) => write_message(message, builder),
            WireMessage::Chunk(chunk) => chunk.write(builder),
        }
    }
}

impl TryFrom<peer_message::Reader<'_>> for WireMessage {
    type Error = RpcError;

    fn try_from(reader: peer_message::Reader<'_>) -> Result<Self, RpcError> {
        let from = read_member(reader.get_from()?);
        let to = read_member(reader.get_to()?);
        let term = reader.get_term();
        let kind = match reader.which()? {
            peer_message::Which::Other(data) => postcard::from_bytes(data?)?,
            peer_message::Which::Append(append) => read_append(append?)?,
            peer_message::Which::SnapshotChunk(chunk) => {
                let chunk = SnapshotChunk::read(chunk?, from, to, term)?;
                return Ok(WireMessage::Chunk(chunk));
            }
        };
        Ok(WireMessage::Whole(Message {
            from,
            to,
            term,
            kind,
        }))
    }
}

impl SnapshotChunk {
    fn write(&self, mut builder: peer_message::Builder<'_>) -> Result<(), RpcError> {
        write_member(self.from, builder.reborrow().init_from());
        write_member(self.to, builder.reborrow().init_to());
        builder.set_term(self.message_term);
        let mut chunk = builder.init_snapshot_chunk();
        chunk.set_index(self.index);
        chunk.set_term(self.term);
        chunk.set_round(self.round);
        chunk.set_membership(&postcard::to_stdvec(&self.membership)?);
        chunk.set_offset(self.offset);
        chunk.set_total(self.total);
        chunk.set_data(&self.data);
        Ok(())
    }

    fn read(
        reader: snapshot_chunk::Reader<'_>,
        from: Member,
        to: Member,
        message_term: u64,
    ) -> Result<Self, RpcError> {
        Ok(SnapshotChunk {
            from,
            to,
            message_term,
            index: reader.get_index(),
            term: reader.get_term(),
            round: reader.get_round(),
            membership: postcard::from_bytes(reader.get_membership()?)?,
            offset: reader.get_offset(),
            total: reader.get_total(),
            data: reader.get_data()?.to_vec(),
        })
    }
}

fn write_message(
    message: &Message,
    mut builder: peer_message::Builder<'_>,
) -> Result<(), RpcError> {
    write_member(message.from, builder.reborrow().init_from());
    write_member(message.to, builder.reborrow().init_to());
    builder.set_term(message.term);
    match &message.kind {
        MessageKind::Append {
            prev_index,
            prev_term,
            entries,
            commit,
            round,
            echo_ms,
            confirmed_age_ms,
        } => {
            let mut append = builder.init_append();
            append.set_prev_index(*prev_index);
            append.set_prev_term(*prev_term);
            append.set_commit(*commit);
            append.set_round(*round);
            append.set_echo_ms(*echo_ms);
            append.set_confirmed_age_ms(*confirmed_age_ms);
            if !entries.is_empty() {
                let mut list = append.init_entries(entries.len() as u32);
                for (i, entry) in entries.iter().enumerate() {
                    write_entry(entry, list.reborrow().get(i as u32))?;
                }
            }
        }
        other => builder.set_other(&postcard::to_stdvec(other)?),
    }
    Ok(())
}

fn read_append(reader: append::Reader<'_>) -> Result<MessageKind, RpcError> {
    Ok(MessageKind::Append {
        prev_index: reader.get_prev_index(),
        prev_term: reader.get_prev_term(),
        entries: (reader.get_entries()?.iter())
            .map(read_entry)
            .collect::<Result<_, _>>()?,
        commit: reader.get_commit(),
        round: reader.get_round(),
        echo_ms: reader.get_echo_ms(),
        confirmed_age_ms: reader.get_confirmed_age_ms(),
    })
}

fn write_entry(entry: &Entry, mut builder: log_entry::Builder<'_>) -> Result<(), RpcError> {
    builder.set_index(entry.index);
    builder.set_term(entry.term);
    let mut payload = builder.init_payload();
    match &entry.payload {
        Payload::Noop => payload.set_noop(()),
        Payload::Command(command) => payload.set_command(command),
        Payload::Membership(m) => payload.set_membership(&postcard::to_stdvec(m)?),
    }
    Ok(())
}

fn read_entry(reader: log_entry::Reader<'_>) -> Result<Entry, RpcError> {
    use crate::control_capnp::log_entry::payload;
    let payload = match reader.get_payload().which()? {
        payload::Which::Noop(()) => Payload::Noop,
        payload::Which::Command(data) => match data? {
            data if data.len() > MAX_COMMAND_BYTES => {
                return Err(RpcError::Invalid(
                    "command exceeds the size limit".to_string(),
                ));
            }
            data => Payload::Command(data.to_vec()),
        },
        payload::Which::Membership(data) => Payload::Membership(postcard::from_bytes(data?)?),
    };
    Ok(Entry {
        index: reader.get_index(),
        term: reader.get_term(),
        payload,
    })
}

fn write_member(value: Member, mut builder: member::Builder<'_>) {
    let (high, low) = value.storage.0.as_u64_pair();
    builder.set_replica(value.replica.0);
    builder.set_storage_high(high);
    builder.set_storage_low(low);
}

fn read_member(reader: member::Reader<'_>) -> Member {
    let storage = Uuid::from_u64_pair(reader.get_storage_high(), reader.get_storage_low());
    Member {
        replica: ReplicaId(reader.get_replica()),
        storage: StorageId(storage),
    }
}
