//! Entry hosts: reverse proxies that take callers' HTTP requests and forward each to a backend
//! server.
//!
//! The platform is the external system that stores the configuration, the announcements of backend
//! servers and the list of hosts as named objects. Every entry host reads the same objects, applies
//! the same rules and makes its own decisions; only requests to models are placed by a scheduler
//! that hosts share (see `peers`). The fleet is the entry hosts and the backend servers of a
//! deployment together.
//!
//! An adapter crate supplies the platform's names and formats: a [`Dialect`] translates HTTP heads,
//! and [`Sources`] read the platform's objects. This module contains no such names. [`Fleet`] holds
//! what a host knows of the fleet and makes the decisions; its methods take the current time as an
//! argument and do no I/O.

mod admission;
mod assign;
mod attempt;
mod budget;
mod config;
mod config_restore;
mod dialect;
mod events;
mod fleet;
mod forward;
mod health;
mod host;
mod lag;
mod mirror;
mod peers;
mod prefix_cache;
mod rate_limit;
mod refusal;
mod relay;
mod request_placement;
mod response;
mod rollout;
mod schedule;
mod selection;
mod servers;
mod session_affinity;
mod source;
mod stats;
mod stream_origins;
mod take_up;
mod updates;

pub use admission::Admitted;
pub use budget::ColdStartLimiter;
pub use budget::FleetBounds;
pub use budget::RetryBudget;
pub use budget::SlidingCount;
pub use budget::cold_share;
pub use config::CallerLimits;
pub use config::EngineSpec;
pub use config::FleetConfig;
pub use config::RetryPolicy;
pub use config::Route;
pub use config::Service;
pub use config::Target;
pub use config::Workspace;
pub use dialect::CallHead;
pub use dialect::CallHeadError;
pub use dialect::Dialect;
pub use dialect::Dispatch;
pub use dialect::MissingSnafu;
pub use dialect::Pause;
pub use dialect::Prompt;
pub use dialect::PromptPart;
pub use dialect::ResponseHead;
pub use dialect::ServerAnnouncement;
pub use dialect::UnreadableHeader;
pub use dialect::UnreadableSnafu;
pub use fleet::Fleet;
pub use fleet::HostIdentity;
pub use fleet::InFlightKey;
pub use fleet::RequestOutcome;
pub use health::FailureRate;
pub use health::Reachability;
pub use host::EntryControl;
pub use host::EntryDaemon;
pub use host::EntryError;
pub use host::EntryParts;
pub use host::ListenAddresses;
pub use host::ProcessLimits;
pub use host::RegisterFuture;
pub use host::Sources;
pub use lag::Lag;
pub use peers::Datagram;
pub use peers::DatagramError;
pub use peers::Peer;
pub use peers::Peers;
pub use peers::decode;
pub use peers::encode;
pub use peers::wait_for_reply;
pub use prefix_cache::PrefixCache;
pub use rate_limit::NamedLimit;
pub use rate_limit::RatePacer;
pub use rate_limit::ServerLimit;
pub use rate_limit::rate_limit_share;
pub use refusal::Reason;
pub use refusal::Refusal;
pub use refusal::WaitEstimate;
pub use request_placement::Placement;
pub use rollout::RolloutPermit;
pub use rollout::RolloutPhase;
pub use rollout::RolloutReport;
pub use rollout::RouteOutcomes;
pub use rollout::StartTimes;
pub use schedule::Clearance;
pub use schedule::EngineView;
pub use schedule::PartCrash;
pub use schedule::PartQuarantine;
pub use schedule::Progress;
pub use schedule::ProgressStep;
pub use schedule::QuarantineChange;
pub use schedule::ReservationId;
pub use schedule::ScheduleDecision;
pub use schedule::ScheduleRequest;
pub use schedule::ScheduleSummary;
pub use schedule::Scheduler;
pub use schedule::SearchStep;
pub use schedule::Shard;
pub use schedule::ShardSearch;
pub use schedule::ShardWork;
pub use schedule::WorkspaceWork;
pub use selection::Candidate;
pub use selection::healthy_candidates;
pub use selection::select_server;
pub use servers::Load;
pub use servers::RunStatus;
pub use servers::RunUpdate;
pub use servers::Server;
pub use servers::ServerChange;
pub use servers::ServerKey;
pub use servers::Servers;
pub use source::Acceptance;
pub use source::Change;
pub use source::Changes;
pub use source::Decode;
pub use source::FollowPosition;
pub use source::Item;
pub use source::KeptObjects;
pub use source::ListFuture;
pub use source::Listing;
pub use source::Object;
pub use source::Source;
pub use source::SourceError;
pub use source::StoreGate;
pub use source::StoreRevision;
pub use source::Update;
pub use source::WatchFuture;
pub use stats::EntryStats;
pub use stream_origins::KnownOrigin;
pub use stream_origins::OriginSearch;
pub use stream_origins::StreamKey;
pub use stream_origins::StreamOrigin;
pub use stream_origins::StreamOrigins;
pub use stream_origins::VersionHistory;
pub use stream_origins::VersionId;
