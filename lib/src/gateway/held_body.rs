//! Reads a request body as far as the host has memory for it.

use axum::body::Body;
use axum::body::HttpBody;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;

use super::memory_budget::HeldBytes;

/// Most bytes that are allocated for a body beyond those that have arrived.
const SPARE_BYTES_MAX: usize = 64 << 10;

/// Why a request body was not read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFault {
    /// It is larger than is allowed.
    TooLarge,
    /// The host has no memory for it.
    NoMemory,
    /// It broke off, or is not valid HTTP.
    Incomplete,
}

/// A request body that was read completely. It counts as held until this is dropped.
#[derive(Debug)]
pub(crate) struct HeldBody {
    pub(crate) bytes: Bytes,
    #[expect(dead_code, reason = "held for its drop")]
    held: HeldBytes,
}

/// Reads a request body up to a size limit. Only bytes that have arrived are held, so that a caller that
/// announces a large body and sends it slowly takes no memory from others. A body that is announced to be
/// larger than the limit, or than there is room for, is not read.
pub(crate) async fn read_held_body(
    body: Body,
    limit: usize,
    mut held: HeldBytes,
) -> Result<HeldBody, BodyFault> {
    let announced = body.size_hint().exact();
    let announced = announced.map(|len| usize::try_from(len).unwrap_or(usize::MAX));
    if announced.is_some_and(|len| len > limit) {
        return Err(BodyFault::TooLarge);
    }
    if announced.is_some_and(|len| held.check(len).is_err()) {
        return Err(BodyFault::NoMemory);
    }
    let mut body = Limited::new(body, limit);
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| match err.is::<LengthLimitError>() {
            true => BodyFault::TooLarge,
            false => BodyFault::Incomplete,
        })?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        held.grow(bytes.len()).map_err(|_| BodyFault::NoMemory)?;
        let needed = buf.len() + bytes.len();
        if needed > buf.capacity() {
            // Doubling would hold up to twice as much as is counted.
            let grown = buf.len() + buf.len().min(SPARE_BYTES_MAX);
            let grown = grown.min(announced.unwrap_or(limit));
            buf.reserve_exact(needed.max(grown) - buf.len());
        }
        buf.extend_from_slice(&bytes);
    }
    buf.shrink_to_fit();
    Ok(HeldBody {
        bytes: buf.into(),
        held,
    })
}
