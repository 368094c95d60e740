//! Includes the generated code of the peer protocol, which is private to the library. It must be at
//! the path `crate::peer::peer_capnp`, by which it refers to itself.

#[allow(clippy::all, missing_docs, unreachable_pub, dead_code)]
#[allow(clippy::use_self, clippy::too_many_lines, clippy::unimplemented)]
#[path = "../../src/peer/peer_capnp.rs"]
pub(crate) mod peer_capnp;
