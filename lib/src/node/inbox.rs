//! Handling of messages from other hosts, and of those that the node sends to itself.
//!
//! A gateway, which is a host that accepts requests, sends a bid for each request to the scheduler
//! of a shard: the servers of one service in one failure domain (`pool` in identifiers). The
//! scheduler answers with a grant of a server, or with a refusal.
//!
//! A server whose capacity is not learnt yet has a limit on concurrent requests that grows while it
//! warms up. Each unit of the limit is a slot, and one host is the slot's home. The gateway also
//! needs a permit for the slot from its home, because two schedulers may be active for the server
//! at once, for example while hosts disagree on which hosts are alive. An incarnation is one
//! process run of a host.

use super::Node;
use super::NodeAction;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::ServiceId;
use crate::message::Heartbeat;
use crate::message::PeerMessage;
use crate::message::PermitRequest;
use crate::pool::PoolEvent;
use crate::pool::PoolKey;
use crate::time::Timestamp;

impl Node {
    /// Passes a message to the part of the node that it concerns. Every message from another host
    /// also shows that its sender is alive; a heartbeat also carries the sender's state.
    pub(super) fn receive(
        &mut self,
        now: Timestamp,
        from: HostId,
        incarnation: Incarnation,
        message: PeerMessage,
        out: &mut Vec<NodeAction>,
    ) {
        if from != self.own {
            self.record_contact(now, from, incarnation, &message, out);
        }
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.heartbeat(now, from, heartbeat, out),
            // Which hosts the sender believes to be alive or dead.
            PeerMessage::Findings(findings) => {
                let changes = self.members.on_findings(now, from, &findings);
                self.apply_changes(now, changes, out);
            }
            PeerMessage::Grant(grant) => self.with_requests(now, out, |table, routing, actions| {
                table.granted(now, routing, from, grant, actions);
            }),
            PeerMessage::Refusal(refusal) => self.with_requests(now, out, |table, _, actions| {
                table.refused(from, refusal, actions);
            }),
            PeerMessage::PermitAnswer(answer) => {
                self.with_requests(now, out, |table, routing, actions| {
                    table.permit_answered(now, routing, from, answer, actions);
                })
            }
            PeerMessage::PermitRequest(request) => {
                self.answer_permit_request(now, from, incarnation, request, out);
            }
            PeerMessage::PermitRelease(release) => self.slots.release(from, release),
            // All slots that a gateway holds or has asked for. Gateways send them repeatedly, so
            // that a new home learns which slots are in use.
            PeerMessage::PermitHoldings(holdings) => {
                let held = holdings
                    .held
                    .iter()
                    .map(|held| (held.request, held.server, held.slot));
                // Revision of the host list from which the gateway computes the homes of slots.
                let revision = holdings.list_revision;
                self.slots.announced(now, from, incarnation, revision, held);
            }
            PeerMessage::ConfigurationRequest(request) => {
                self.send_configuration(now, from, request.have, out);
            }
            PeerMessage::ConfigurationUpdate(update) => {
                self.configuration_received(now, update, out)
            }
            message => self.pass_to_scheduler(now, from, incarnation, message, out),
        }
    }

    /// Passes a message to this host's scheduler of the message's service. The message is dropped
    /// if this host does not schedule the service's shard in its own failure domain. Gateways
    /// announce their complete state to a new scheduler and repeat it, which makes up for lost
    /// messages.
    fn pass_to_scheduler(
        &mut self,
        now: Timestamp,
        from: HostId,
        incarnation: Incarnation,
        message: PeerMessage,
        out: &mut Vec<NodeAction>,
    ) {
        let (service, event) = match message {
            PeerMessage::Bid(bid) => (bid.service, PoolEvent::Bid(bid)),
            PeerMessage::Withdrawal(withdrawal) => {
                (withdrawal.service, PoolEvent::Withdrawal(withdrawal))
            }
            PeerMessage::GrantReturn(grant) => (grant.service, PoolEvent::GrantReturn(grant)),
            // The message's cumulative cost counts from the start of the gateway's incarnation.
            PeerMessage::Finished(finished) => (
                finished.service,
                PoolEvent::Finished {
                    incarnation,
                    finished,
                },
            ),
            // Cost so far of a running request.
            PeerMessage::Progress(progress) => (progress.service, PoolEvent::Progress(progress)),
            // Complete state of a gateway for this shard: its bids, running requests and costs.
            PeerMessage::Announcement(announcement) => (
                announcement.service,
                PoolEvent::Announcement {
                    from,
                    incarnation,
                    announcement,
                },
            ),
            // Cumulative costs per workspace, from the scheduler of another shard of the service.
            PeerMessage::Totals(totals) => (totals.service, PoolEvent::Totals(totals)),
            // Free capacity and backlog of another shard.
            PeerMessage::Summary(summary) => {
                (summary.service, PoolEvent::Summary { from, summary })
            }
            // Another shard has free capacity and asks for waiting bids.
            PeerMessage::Pull(pull) => (pull.service, PoolEvent::Pull { from, pull }),
            // Waiting bids that another shard sends in response to a pull.
            PeerMessage::Handover(handover) => (handover.service, PoolEvent::Handover(handover)),
            _ => return,
        };
        self.with_scheduler(now, self.scheduler_key(service), event, out);
    }

    /// Shard of the service in the own failure domain, the only one that this host may schedule.
    fn scheduler_key(&self, service: ServiceId) -> PoolKey {
        PoolKey {
            service,
            domain: self.own_domain,
        }
    }

    /// Records the sender's clock, on which the expiry of grants sent to it is expressed, and asks
    /// the sender for its configuration if it is newer.
    fn heartbeat(
        &mut self,
        now: Timestamp,
        from: HostId,
        heartbeat: Heartbeat,
        out: &mut Vec<NodeAction>,
    ) {
        self.record_clock(now, from, heartbeat.clock_us);
        self.request_newer_configuration(now, from, heartbeat.revision, out);
    }

    /// Answers a permit request. A slot is refused if this host is not its home.
    fn answer_permit_request(
        &mut self,
        now: Timestamp,
        from: HostId,
        incarnation: Incarnation,
        request: PermitRequest,
        out: &mut Vec<NodeAction>,
    ) {
        let home = self.routes().slot_home(request.server, request.slot);
        let is_home = home == Some(self.own);
        let answer = self.slots.request(now, from, incarnation, request, is_home);
        self.send(now, from, PeerMessage::PermitAnswer(answer), out);
    }
}
