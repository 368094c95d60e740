//! Batches of messages in packed encoding.

use capnp::Error;
use capnp::message::Builder;
use capnp::serialize_packed;

use super::codec::decode;
use super::codec::encode;
use super::links::reader_options;
use super::peer_capnp;
use crate::message::PeerMessage;

/// Messages in a batch at most.
pub(crate) const MAX_BATCH_MESSAGES: usize = 512;

/// What a batch holds.
pub(crate) struct DecodedBatch {
    /// Messages that could be read, in order.
    pub(crate) messages: Vec<PeerMessage>,
    /// Messages that could not be read.
    pub(crate) malformed: u64,
}

/// Why a batch is refused as a whole.
#[derive(Debug)]
pub(crate) enum BatchError {
    /// It holds too many messages.
    TooMany,
    /// It cannot be unpacked.
    Malformed(Error),
}

/// Packs messages.
pub(crate) fn encode_batch(messages: &[PeerMessage]) -> Result<Vec<u8>, Error> {
    let mut builder = Builder::new_default();
    let batch: peer_capnp::batch::Builder<'_> = builder.init_root();
    let mut to = batch.init_messages(messages.len() as u32);
    for (i, message) in messages.iter().enumerate() {
        encode(message, to.reborrow().get(i as u32));
    }
    let mut packed = Vec::new();
    serialize_packed::write_message(&mut packed, &builder)?;
    Ok(packed)
}

/// Unpacks messages. One that cannot be read does not spoil the others.
pub(crate) fn decode_batch(packed: &[u8]) -> Result<DecodedBatch, BatchError> {
    let reader = serialize_packed::read_message(packed, reader_options())?;
    let batch: peer_capnp::batch::Reader<'_> = reader.get_root()?;
    let readers = batch.get_messages()?;
    if readers.len() as usize > MAX_BATCH_MESSAGES {
        return Err(BatchError::TooMany);
    }
    let messages: Vec<_> = readers.iter().filter_map(|m| decode(m).ok()).collect();
    let malformed = u64::from(readers.len()) - messages.len() as u64;
    Ok(DecodedBatch {
        messages,
        malformed,
    })
}

impl From<Error> for BatchError {
    fn from(err: Error) -> Self {
        Self::Malformed(err)
    }
}
