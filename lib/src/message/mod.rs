//! Messages between the hosts of the fleet, as plain types. The `peer` module encodes them with
//! Cap'n Proto.
//!
//! A *gateway* is a host that serves callers' requests. A *scheduler* decides which of them may be
//! sent to which backend server. Each service has one scheduler per failure domain; the scheduler,
//! its queue and its backend servers are together called a *shard*. A *bid* announces a waiting
//! request to a scheduler, and a *grant* permits its dispatch.
//!
//! Deadlines are sent as the remaining time in microseconds, because the clocks of two hosts cannot
//! be compared. A grant also carries its expiry on the clock of the gateway that receives it. Any
//! message may be lost, repeated or delayed, and receivers must tolerate all three.

mod finding;
mod scheduling;

pub use finding::Finding;
pub use finding::Health;
pub use scheduling::Announcement;
pub use scheduling::BacklogEntry;
pub use scheduling::Bid;
pub use scheduling::EndOutcome;
pub use scheduling::Finished;
pub use scheduling::Grant;
pub use scheduling::GrantReturn;
pub use scheduling::Handover;
pub use scheduling::PermitAnswer;
pub use scheduling::PermitHoldings;
pub use scheduling::PermitRelease;
pub use scheduling::PermitRequest;
pub use scheduling::Progress;
pub use scheduling::Pull;
pub use scheduling::Refusal;
pub use scheduling::RefusalReason;
pub use scheduling::Running;
pub use scheduling::ServerPhase;
pub use scheduling::ServerSight;
pub use scheduling::Summary;
pub use scheduling::TotalCell;
pub use scheduling::Totals;
pub use scheduling::Withdrawal;

/// A message from one host of the fleet to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerMessage {
    /// Periodic evidence that the sender runs, with its state.
    Heartbeat(Heartbeat),
    /// Gateway to scheduler: a request is waiting.
    Bid(Bid),
    /// Gateway to scheduler: a request is no longer waiting, for example because its caller
    /// disconnected.
    Withdrawal(Withdrawal),
    /// Scheduler to gateway: a request may be dispatched.
    Grant(Grant),
    /// Scheduler to gateway: a request will not be dispatched.
    Refusal(Refusal),
    /// Gateway to scheduler: a grant was not used.
    GrantReturn(GrantReturn),
    /// Gateway to scheduler: a dispatched request has ended.
    Finished(Finished),
    /// Gateway to scheduler: cost so far of a running request.
    Progress(Progress),
    /// Gateway to new scheduler: the complete state of the gateway that the scheduler needs.
    Announcement(Announcement),
    /// Gateway to home host: asks for a permit to use a slot. A slot is one of the concurrent
    /// requests that a backend server without a learned limit may run; its home host is the host
    /// that hands out its permits.
    PermitRequest(PermitRequest),
    /// Home host to gateway: answer to a permit request.
    PermitAnswer(PermitAnswer),
    /// Gateway to home host: a slot is free again.
    PermitRelease(PermitRelease),
    /// Gateway to home host: every slot that the gateway holds there.
    PermitHoldings(PermitHoldings),
    /// Scheduler to scheduler of the same service: cost charged to each workspace.
    Totals(Totals),
    /// Scheduler to scheduler of the same service: free capacity and backlog.
    Summary(Summary),
    /// Scheduler to scheduler of the same service: asks for waiting bids.
    Pull(Pull),
    /// Scheduler to scheduler of the same service: waiting bids transferred in response to a pull.
    Handover(Handover),
    /// Asks for a configuration newer than a revision.
    ConfigurationRequest(ConfigurationRequest),
    /// A newer configuration, complete or as a difference.
    ConfigurationUpdate(ConfigurationUpdate),
    /// Host to host of the same failure domain: which hosts are alive or dead. A host that has
    /// fallen silent is also told so itself, from any failure domain, so that it can respond.
    Findings(Vec<Finding>),
}

/// Evidence that a host runs, with its state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// Revision of the configuration in force on the sender, zero for none.
    pub revision: u64,
    /// Whether the sender is stopping and gives up its roles as scheduler and configuration
    /// watcher.
    pub stopping: bool,
    /// Reading of the sender's clock, microseconds. A receiver that sends it a grant uses the
    /// reading to express the grant's expiry on that clock.
    pub clock_us: u64,
}

/// Request for a configuration newer than revision `have`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationRequest {
    /// Revision in force on the sender, zero for none.
    pub have: u64,
}

/// A configuration forwarded to another host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationUpdate {
    /// Revision of the configuration that the receiver then has.
    pub revision: u64,
    /// JSON text: the configuration object as stored by the platform, or a delta, which is the
    /// difference from a revision that the receiver has.
    pub document: Vec<u8>,
}
