//! Identifies repeats of a request of a caller.
//!
//! A caller that sends a request again gives it a new identifier, so that repeats have in common only
//! what the server gets to run.

use compact_str::CompactString;
use compact_str::format_compact;
use hyper::Method;
use hyper::Uri;
use hyper::http::uri::PathAndQuery;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

/// Digest of what a request asks a server to do, the same for every repeat.
///
/// The hash is not cryptographic. The workspace is compared separately, so that no caller can make up
/// a request that counts as one of another workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest {
    /// Hash of the name of the caller's workspace, 0 if the request has none.
    pub workspace: u64,
    /// Hash of method, host, path, query and body.
    pub content: u64,
}

impl RequestDigest {
    /// Digest of a request of a workspace for `host`, a name of the caller's choice.
    pub fn new(
        method: &Method,
        host: &str,
        uri: &Uri,
        workspace: Option<&str>,
        body: &[u8],
    ) -> Self {
        let target = uri.path_and_query().map_or("/", PathAndQuery::as_str);
        let mut hasher = Xxh3::new();
        for field in [method.as_str(), host, target] {
            hasher.update(field.as_bytes());
            // No field contains this byte, so that their ends are part of the hash.
            hasher.update(&[0]);
        }
        hasher.update(body);
        Self {
            workspace: workspace.map_or(0, |name| xxh3_64(name.as_bytes())),
            content: hasher.digest(),
        }
    }

    /// The hash of the content in hexadecimal, for log lines.
    pub(crate) fn log_value(&self) -> CompactString {
        format_compact!("{:016x}", self.content)
    }
}
