//! Finds a server for a request and counts it there.

use std::sync::Arc;
use std::time::Duration;

use super::attempt::Flight;
use super::forward::Call;
use super::host::EntryHost;
use super::peers::Link;
use super::placing::Placement;
use super::refusal::Reason;
use super::refusal::Refusal;
use super::refusal::Waits;
use super::schedule::Verdict;
use super::servers::ServerKey;

/// When to come back after no server could be reached: the first pause after a failed connection.
pub(crate) const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// A request that is counted at a server and may be sent to it.
pub(crate) struct Assignment {
    pub(crate) placed: Placement,
    pub(crate) flight: Flight,
}

/// Finds a server for a request, other than those in `tried`.
pub(crate) async fn assign_server(
    host: &Arc<EntryHost>,
    call: &Call,
    tried: &[ServerKey],
) -> Result<Assignment, Refusal> {
    let Some(prompt) = &call.head.prompt else {
        let now = host.clock.now();
        if call.admitted.give_up_at.has_passed(now) {
            return Err(Refusal::new(Reason::ExpiredUnsent));
        }
        let placed = host.fleet().place(now, &call.admitted.service, tried)?;
        let flight = Flight::new(host.clone(), placed.flight, None);
        return Ok(Assignment { placed, flight });
    };
    let mut unusable = Vec::new();
    let mut shards_passed = 0;
    loop {
        let now = host.clock.now();
        if call.admitted.give_up_at.has_passed(now) {
            return Err(Refusal::new(Reason::ExpiredUnsent));
        }
        let mut bid = host.fleet().bid(now, &call.admitted, prompt, tried)?;
        bid.excluded.extend(&unusable);
        bid.shard = bid.shard.shifted(shards_passed);
        let (verdict, scheduler) = host.link.decide(host, &bid).await;
        let (ticket, server, after, unread) = match verdict {
            Verdict::Start {
                ticket,
                server,
                after,
                unread_tokens,
            } => (ticket, server, after, unread_tokens),
            Verdict::Refuse {
                retry_after,
                soonest,
                limit,
            } => {
                return Err(Refusal {
                    reason: Reason::Overloaded,
                    retry_after: Some(retry_after),
                    waits: Some(Waits { soonest, limit }),
                });
            }
            // Engines of other shards may be usable.
            Verdict::Unknown if shards_passed + 1 < bid.shard.count => {
                shards_passed += 1;
                continue;
            }
            Verdict::Unknown => {
                return Err(Refusal::until(Reason::NoServer, UNREACHABLE_RETRY_AFTER));
            }
        };
        let mut scheduled = Link::scheduled(host, scheduler, ticket);
        if !after.is_zero() {
            tokio::time::sleep(after).await;
        }
        let now = host.clock.now();
        scheduled.on_sent(now);
        let placed = host
            .fleet()
            .start(now, &call.admitted, prompt, server, unread);
        if let Some(placed) = placed {
            let flight = Flight::new(host.clone(), placed.flight, Some(scheduled));
            return Ok(Assignment { placed, flight });
        }
        // The scheduler's view of the server and this host's differ.
        unusable.push(server);
    }
}
