//! Records of operations (requests with an idempotency key) stored in the object API of the
//! platform, the external system that the fleet runs on, with lost responses and outages.

use std::sync::Arc;

use cardamomshift_lib::id::WorkspaceId;
use cardamomshift_lib::operation::ClaimOutcome;
use cardamomshift_lib::operation::FinalState;
use cardamomshift_lib::operation::Fingerprint;
use cardamomshift_lib::operation::KeyStatus;
use cardamomshift_lib::operation::OperationGuard;
use cardamomshift_lib::operation::OperationKey;
use cardamomshift_lib::operation::Records;
use cardamomshift_lib::operation::Store;
use cardamomshift_lib::operation::StoredResponse;
use cardamomshift_lib::platform::CallOptions;
use cardamomshift_lib::platform::ObjectClient;
use cardamomshift_testutils::ObjectApi;
use cardamomshift_testutils::Outage;

fn records(api: &ObjectApi, host: &str) -> Arc<Records> {
    let objects = ObjectClient::new(api.address(), CallOptions::default());
    Arc::new(Records::in_object_api(&objects, host))
}

async fn claim(records: &Arc<Records>, key: &str) -> ClaimOutcome {
    let key = OperationKey::new(WorkspaceId(1), key.as_bytes()).unwrap();
    records
        .claim(key, Fingerprint::of("POST", "/book", b"two"))
        .await
}

fn won(outcome: ClaimOutcome) -> OperationGuard {
    match outcome {
        ClaimOutcome::Won(guard) => guard,
        ClaimOutcome::Lost(key_status) => panic!("claim lost: {key_status:?}"),
        ClaimOutcome::Unavailable => panic!("claim failed: store unavailable"),
    }
}

fn lost(outcome: ClaimOutcome) -> KeyStatus {
    match outcome {
        ClaimOutcome::Lost(key_status) => key_status,
        _ => panic!("claim was not lost"),
    }
}

async fn settle(guard: OperationGuard, final_state: FinalState) {
    assert!(guard.settle(final_state).unwrap().await.unwrap());
}

#[tokio::test]
async fn lost_responses_leave_one_holder_and_one_stored_response() {
    let api = ObjectApi::start("127.0.0.1:0".parse().unwrap());
    let (first, second) = (records(&api, "host-a"), records(&api, "host-b"));
    api.handle().drop_write_responses(1);
    let guard = won(claim(&first, "k").await);
    assert_eq!(lost(claim(&second, "k").await), KeyStatus::InProgress);

    let response = StoredResponse {
        status: 201,
        headers: vec![],
        body: b"booked".to_vec(),
    };
    api.handle().drop_write_responses(1);
    settle(guard, FinalState::Completed(response.clone())).await;
    assert_eq!(lost(claim(&second, "k").await), KeyStatus::Replay(response));
}

#[tokio::test]
async fn operation_that_was_not_run_is_free_for_another_host() {
    let api = ObjectApi::start("127.0.0.1:0".parse().unwrap());
    let (first, second) = (records(&api, "host-a"), records(&api, "host-b"));
    settle(won(claim(&first, "k").await), FinalState::NotRun).await;
    api.handle().drop_write_responses(1);
    settle(won(claim(&second, "k").await), FinalState::Unknown).await;
    assert_eq!(lost(claim(&first, "k").await), KeyStatus::Unknown);
}

#[tokio::test]
async fn claims_fail_during_an_outage() {
    let api = ObjectApi::start("127.0.0.1:0".parse().unwrap());
    let records = records(&api, "host-a");
    api.handle().set_outage(Outage::Unavailable);
    assert!(matches!(
        claim(&records, "k").await,
        ClaimOutcome::Unavailable
    ));
    api.handle().set_outage(Outage::None);
    won(claim(&records, "other").await);
}

#[tokio::test]
async fn pending_settlements_are_bounded_in_size() {
    let api = ObjectApi::start("127.0.0.1:0".parse().unwrap());
    let objects = ObjectClient::new(api.address(), CallOptions::default());
    let store = Store::in_object_api(&objects);
    let records = Arc::new(Records::with_settling_limit(store, "host-a".into(), 7));
    let keys = ["a", "b", "c", "d", "e"];
    let mut guards = Vec::new();
    for key in keys {
        guards.push(won(claim(&records, key).await));
    }
    api.handle().set_outage(Outage::Unavailable);
    let response = StoredResponse {
        status: 200,
        headers: vec![],
        body: vec![7; 1024],
    };
    let settle = |guard: OperationGuard| guard.settle(FinalState::Completed(response.clone()));
    // Of the 7 KiB, the first three take 2 KiB each, and the fourth takes 1 KiB without its body.
    // The fifth gets none.
    let tasks: Vec<_> = guards.into_iter().map(settle).collect();
    assert!(tasks[4].is_none());
    api.handle().set_outage(Outage::None);
    for task in tasks.into_iter().flatten() {
        assert!(task.await.unwrap());
    }
    for key in ["a", "b", "c"] {
        assert_eq!(
            lost(claim(&records, key).await),
            KeyStatus::Replay(response.clone())
        );
    }
    let not_kept = KeyStatus::ResponseNotStored { status: 200 };
    assert_eq!(lost(claim(&records, "d").await), not_kept);
    assert_eq!(lost(claim(&records, "e").await), KeyStatus::InProgress);
}
