//! Records of an engine: admitted requests, overloads and generated tokens.

/// How a request ended on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineOutcome {
    /// It has not ended yet.
    Running,
    /// All of its tokens were generated.
    Complete,
    /// Its client disconnected.
    Cancelled,
    /// The engine crashed or was restarted.
    Lost,
}

/// A request that an engine admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRecord {
    /// Identifier in `x-request-id`, empty if there was none.
    pub request_id: String,
    /// Tag that the caller set in `x-test-tag` or `user`, empty if there was none.
    pub tag: String,
    /// Number derived from the prompt, which every token of the response repeats
    /// ([`crate::response_nonce`]).
    pub nonce: u64,
    /// Instance (one run of the engine, until its restart) that admitted it.
    pub instance: String,
    /// Time of admission, microseconds of [`crate::now_us`].
    pub start: u64,
    /// Time of the first token, microseconds of [`crate::now_us`].
    pub first_token: Option<u64>,
    /// Time of the end, microseconds of [`crate::now_us`].
    pub end: Option<u64>,
    /// Length of the prompt, tokens.
    pub prompt_tokens: u32,
    /// Length of the complete response, tokens.
    pub output_tokens: u32,
    /// Tokens generated so far.
    pub generated: u32,
    /// Whether and how it ended.
    pub outcome: EngineOutcome,
    /// Whether the engine was cold (not yet warmed up by completions) on admission.
    pub cold: bool,
    /// Requests running at once after its admission, this one included.
    pub batch: usize,
    /// Whether the prompt's prefix was in the cache on admission.
    pub cached: bool,
}

/// A request that crashed a cold engine by exceeding its limit of requests at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverloadViolation {
    /// Time, microseconds of [`crate::now_us`].
    pub at: u64,
    /// Identifier of the request that exceeded the limit.
    pub request_id: String,
    /// Requests at once, this one included.
    pub running: usize,
    /// Limit of the cold engine.
    pub limit: usize,
}

/// Tokens processed for one request in one step. The tokens of its prompt count with its first
/// generated tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenSample {
    /// Time, microseconds of [`crate::now_us`].
    pub at: u64,
    /// Index of the request in [`crate::EngineHandle::records`].
    pub record: usize,
    /// Number of tokens.
    pub tokens: u32,
}
