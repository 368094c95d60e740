//! What an engine records.

/// How a request ended on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineOutcome {
    /// It is in the batch.
    Running,
    /// All of its tokens were given.
    Complete,
    /// Its client left.
    Cancelled,
    /// The engine fell over or was restarted.
    Lost,
}

/// A request that an engine admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRecord {
    /// Identifier in `x-request-id`, empty if there was none.
    pub request_id: String,
    /// Tag of the caller.
    pub tag: String,
    /// Nonce of the prompt, which every token of the answer repeats.
    pub nonce: u64,
    /// Instance that admitted it.
    pub instance: String,
    /// Admission, microseconds of [`crate::now_us`].
    pub start: u64,
    /// First token, microseconds of [`crate::now_us`].
    pub first_token: Option<u64>,
    /// End, microseconds of [`crate::now_us`].
    pub end: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that the answer should have.
    pub output_tokens: u32,
    /// Tokens given.
    pub generated: u32,
    /// How it ended.
    pub outcome: EngineOutcome,
    /// Whether the engine was cold at its admission.
    pub cold: bool,
    /// Requests in the batch after its admission.
    pub batch: usize,
    /// Whether the cache held the prompt's prefix.
    pub cached: bool,
}

/// An admission above what a cold engine bore.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverloadViolation {
    /// Time, microseconds of [`crate::now_us`].
    pub at: u64,
    /// Identifier of the request that was too much.
    pub request_id: String,
    /// Requests at once, that one included.
    pub running: usize,
    /// Requests that the cold engine bore.
    pub limit: usize,
}

/// Tokens given to one request at one time; its prompt counts with the first token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenSample {
    /// Time, microseconds of [`crate::now_us`].
    pub at: u64,
    /// Index of the request in the records.
    pub record: usize,
    /// Tokens.
    pub tokens: u32,
}
