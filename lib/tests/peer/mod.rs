//! The generated code of the protocol, which is private to the library. It refers to itself as
//! `crate::peer::peer_capnp`.

#[allow(clippy::all, missing_docs, unreachable_pub, dead_code)]
#[allow(clippy::use_self, clippy::too_many_lines, clippy::unimplemented)]
#[path = "../../src/peer/peer_capnp.rs"]
pub(crate) mod peer_capnp;
