//! What servers state of themselves in responses: that they are leaving, and that they want no
//! requests for a time.

mod entry;

use std::time::Duration;

use cardamomshift_lib::entry::Fleet;
use cardamomshift_lib::entry::Pause;
use cardamomshift_lib::entry::Placement;
use cardamomshift_lib::entry::Reason;
use cardamomshift_lib::entry::Refusal;
use cardamomshift_lib::entry::RequestOutcome;
use cardamomshift_lib::entry::ResponseHead;
use cardamomshift_lib::entry::ServerAnnouncement;

use crate::entry::LEDGER;
use crate::entry::at;
use crate::entry::fleet;
use crate::entry::server;

/// Time at which the tests start, milliseconds.
const START_MS: u64 = 10_000;

fn run(instance: &str, started_at_ms: u64) -> ServerAnnouncement {
    ServerAnnouncement {
        started_at_ms,
        ..server(instance, LEDGER, "d1")
    }
}

/// A host that knows the servers `l1` and `l2`, both started at 5 ms.
fn ledger_fleet() -> Fleet {
    let mut fleet = fleet(at(START_MS));
    fleet.apply_server_list(at(START_MS), vec![run("l1", 5), run("l2", 5)], None);
    fleet
}

/// Places a request on a server, and ends it at once.
fn place(fleet: &mut Fleet, now: u64) -> Result<Placement, Refusal> {
    let placed = fleet.place(at(now), &LEDGER.into(), None, &[])?;
    fleet.end(at(now), placed.flight, RequestOutcome::Abandoned);
    Ok(placed)
}

/// Lets the server that is placed next respond with a head, and returns its instance.
fn respond(fleet: &mut Fleet, now: u64, head: &ResponseHead) -> String {
    let placed = place(fleet, now).unwrap();
    fleet.on_response_head(at(now), placed.server, head);
    placed.entry.instance.to_string()
}

fn leaving() -> ResponseHead {
    ResponseHead {
        is_leaving: true,
        ..ResponseHead::default()
    }
}

fn pause(pause: Pause) -> ResponseHead {
    ResponseHead {
        pause: Some(pause),
        ..ResponseHead::default()
    }
}

#[test]
fn server_that_says_that_it_is_leaving_gets_nothing_more() {
    let mut fleet = ledger_fleet();
    let gone = respond(&mut fleet, START_MS, &leaving());
    for n in 1..50 {
        let placed = place(&mut fleet, START_MS + n).unwrap();
        assert_ne!(placed.entry.instance, gone);
    }
}

/// The last server of a service is no exception: the refusal says truly that nothing has run.
#[test]
fn last_server_that_is_leaving_gets_nothing_more() {
    let mut fleet = ledger_fleet();
    respond(&mut fleet, START_MS, &leaving());
    respond(&mut fleet, START_MS, &leaving());
    let refusal = place(&mut fleet, START_MS).unwrap_err();
    assert_eq!(refusal.reason, Reason::NoServer);
    assert!(refusal.reason.is_not_run());
}

/// The announcement does not count: the server may not have reached the platform, or the platform
/// may have gone back to an older state.
#[test]
fn announcement_of_the_same_run_does_not_bring_a_leaving_server_back() {
    let mut fleet = ledger_fleet();
    let gone = respond(&mut fleet, START_MS, &leaving());
    fleet.announce_server(at(START_MS), run(&gone, 5));
    assert_ne!(place(&mut fleet, START_MS).unwrap().entry.instance, gone);
    fleet.withdraw_server(at(START_MS), &gone, None);
    fleet.announce_server(at(START_MS + 10), run(&gone, 5));
    assert_ne!(
        place(&mut fleet, START_MS + 10).unwrap().entry.instance,
        gone
    );
}

#[test]
fn announced_leaving_is_not_revoked_by_an_older_announcement() {
    let mut fleet = ledger_fleet();
    let mut last = run("l1", 5);
    last.is_leaving = true;
    fleet.announce_server(at(START_MS), last);
    fleet.announce_server(at(START_MS), run("l1", 5));
    assert_eq!(place(&mut fleet, START_MS).unwrap().entry.instance, "l2");
}

#[test]
fn restarted_server_is_not_bound_by_its_earlier_run() {
    let mut fleet = ledger_fleet();
    let gone = respond(&mut fleet, START_MS, &leaving());
    let other = if gone == "l1" { "l2" } else { "l1" };
    fleet.withdraw_server(at(START_MS), other, None);
    assert!(place(&mut fleet, START_MS).is_err());
    fleet.announce_server(at(START_MS + 10), run(&gone, 6));
    assert_eq!(
        place(&mut fleet, START_MS + 10).unwrap().entry.instance,
        gone
    );
}

/// A response can arrive after the announcement of its server was removed.
#[test]
fn late_response_of_a_removed_server_counts_if_the_run_is_announced_again() {
    let mut fleet = ledger_fleet();
    let placed = fleet
        .place(at(START_MS), &LEDGER.into(), None, &[])
        .unwrap();
    let name = placed.entry.instance.clone();
    fleet.withdraw_server(at(START_MS), &name, None);
    fleet.on_response_head(at(START_MS), placed.server, &leaving());
    fleet.announce_server(at(START_MS + 10), run(&name, 5));
    assert_ne!(
        place(&mut fleet, START_MS + 10).unwrap().entry.instance,
        name
    );
}

#[test]
fn paused_server_gets_nothing_until_the_pause_is_over() {
    let mut fleet = ledger_fleet();
    let span = Pause::For(Duration::from_millis(1_500));
    let paused = respond(&mut fleet, START_MS, &pause(span));
    for n in 0..1_500 {
        let placed = place(&mut fleet, START_MS + n).unwrap();
        assert_ne!(placed.entry.instance, paused, "after {n} ms");
    }
    let other = place(&mut fleet, START_MS).unwrap().entry.instance;
    fleet.withdraw_server(at(START_MS), &other, None);
    assert_eq!(
        place(&mut fleet, START_MS + 1_500).unwrap().entry.instance,
        paused
    );
}

#[test]
fn shorter_pause_does_not_end_a_longer_one() {
    let mut fleet = ledger_fleet();
    fleet.withdraw_server(at(START_MS), "l2", None);
    let placed = place(&mut fleet, START_MS).unwrap();
    for millis in [2_000, 100] {
        let span = Pause::For(Duration::from_millis(millis));
        fleet.on_response_head(at(START_MS), placed.server, &pause(span));
    }
    assert!(place(&mut fleet, START_MS + 1_999).is_err());
    assert!(place(&mut fleet, START_MS + 2_000).is_ok());
}

/// If all servers want nothing, callers learn when the first one takes requests again.
#[test]
fn refusal_names_the_end_of_the_first_pause() {
    let mut fleet = ledger_fleet();
    for millis in [3_000, 2_000] {
        let span = Pause::For(Duration::from_millis(millis));
        respond(&mut fleet, START_MS, &pause(span));
    }
    let refusal = place(&mut fleet, START_MS + 500).unwrap_err();
    assert_eq!(refusal.reason, Reason::ServersPaused);
    assert_eq!(refusal.retry_after, Some(Duration::from_millis(1_500)));
    assert!(refusal.reason.is_not_run());
}

#[test]
fn pause_of_unreadable_or_extreme_length_is_bounded() {
    for (asked, least_ms, most_ms) in [
        (Pause::Unreadable, 900, 2_000),
        (Pause::For(Duration::from_secs(1 << 40)), 20_000, 120_000),
    ] {
        let mut fleet = ledger_fleet();
        fleet.withdraw_server(at(START_MS), "l2", None);
        respond(&mut fleet, START_MS, &pause(asked));
        assert!(place(&mut fleet, START_MS + least_ms).is_err(), "{asked:?}");
        assert!(place(&mut fleet, START_MS + most_ms).is_ok(), "{asked:?}");
    }
}

#[test]
fn pause_holds_if_the_announcement_of_the_run_disappears_in_between() {
    let mut fleet = ledger_fleet();
    fleet.withdraw_server(at(START_MS), "l2", None);
    let span = Pause::For(Duration::from_millis(2_000));
    respond(&mut fleet, START_MS, &pause(span));
    fleet.withdraw_server(at(START_MS), "l1", None);
    fleet.announce_server(at(START_MS + 100), run("l1", 5));
    assert!(place(&mut fleet, START_MS + 1_000).is_err());
    fleet.announce_server(at(START_MS + 1_000), run("l1", 9));
    assert!(place(&mut fleet, START_MS + 1_000).is_ok());
}
