//! Batches: lists of messages that are delivered in one RPC call, in the packed encoding of Cap'n
//! Proto.

use capnp::Error;
use capnp::message::Builder;
use capnp::serialize_packed;

use super::codec::decode;
use super::codec::encode;
use super::links::reader_options;
use super::peer_capnp;
use crate::message::PeerMessage;

/// Largest number of messages in a batch, also stated in `peer.capnp`.
pub(crate) const MAX_BATCH_MESSAGES: usize = 512;

/// Result of decoding a batch.
pub(crate) struct DecodedBatch {
    /// Messages that could be decoded, in their order.
    pub(crate) messages: Vec<PeerMessage>,
    /// Number of messages that could not be decoded.
    pub(crate) malformed: u64,
}

/// Reason to refuse a whole batch.
#[derive(Debug)]
pub(crate) enum BatchError {
    /// The batch has more than [`MAX_BATCH_MESSAGES`] messages.
    TooMany,
    /// The batch cannot be unpacked or does not follow the schema.
    Malformed(Error),
}

/// Encodes and packs messages as one batch.
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

/// Unpacks and decodes a batch. A malformed message is counted and skipped, so that the other
/// messages still take effect.
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
