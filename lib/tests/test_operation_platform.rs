//! Operation records in the object API.

use std::sync::Arc;

use cardamomshift_lib::id::WorkspaceId;
use cardamomshift_lib::operation::ClaimOutcome;
use cardamomshift_lib::operation::Fingerprint;
use cardamomshift_lib::operation::Hold;
use cardamomshift_lib::operation::OperationKey;
use cardamomshift_lib::operation::Records;
use cardamomshift_lib::operation::Settlement;
use cardamomshift_lib::operation::Standing;
use cardamomshift_lib::operation::Store;
use cardamomshift_lib::operation::StoredAnswer;
use cardamomshift_lib::platform::CallOptions;
use cardamomshift_lib::platform::ObjectClient;
use cardamomshift_testutils::ObjectApi;
use cardamomshift_testutils::Outage;

fn records(api: &ObjectApi, host: &str) -> Arc<Records> {
    let objects = ObjectClient::new(api.address(), CallOptions::default());
    Arc::new(Records::of(&objects, host))
}

async fn claim(records: &Arc<Records>, key: &str) -> ClaimOutcome {
    let key = OperationKey::new(WorkspaceId(1), key.as_bytes()).unwrap();
    records
        .claim(key, Fingerprint::of("POST", "/book", b"two"))
        .await
}

fn won(outcome: ClaimOutcome) -> Hold {
    match outcome {
        ClaimOutcome::Won(hold) => hold,
        ClaimOutcome::Lost(standing) => panic!("lost: {standing:?}"),
        ClaimOutcome::Unavailable => panic!("unavailable"),
    }
}

fn lost(outcome: ClaimOutcome) -> Standing {
    match outcome {
        ClaimOutcome::Lost(standing) => standing,
        _ => panic!("not lost"),
    }
}

async fn settle(hold: Hold, settlement: Settlement) {
    assert!(hold.settle(settlement).unwrap().await.unwrap());
}

#[tokio::test]
async fn lost_answers_leave_one_holder_and_one_answer() {
    let api = ObjectApi::start("127.0.0.1:0".parse().unwrap());
    let (first, second) = (records(&api, "host-a"), records(&api, "host-b"));
    api.handle().lose_answers(1);
    let hold = won(claim(&first, "k").await);
    assert_eq!(lost(claim(&second, "k").await), Standing::InProgress);

    let answer = StoredAnswer {
        status: 201,
        headers: vec![],
        body: b"booked".to_vec(),
    };
    api.handle().lose_answers(1);
    settle(hold, Settlement::Completed(answer.clone())).await;
    assert_eq!(lost(claim(&second, "k").await), Standing::Replay(answer));
}

#[tokio::test]
async fn operation_that_was_not_run_is_free_for_another_host() {
    let api = ObjectApi::start("127.0.0.1:0".parse().unwrap());
    let (first, second) = (records(&api, "host-a"), records(&api, "host-b"));
    settle(won(claim(&first, "k").await), Settlement::NotRun).await;
    api.handle().lose_answers(1);
    settle(won(claim(&second, "k").await), Settlement::Unknown).await;
    assert_eq!(lost(claim(&first, "k").await), Standing::Unknown);
}

#[tokio::test]
async fn outage_allows_no_claim() {
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
async fn ends_that_wait_for_the_platform_are_bounded_in_size() {
    let api = ObjectApi::start("127.0.0.1:0".parse().unwrap());
    let objects = ObjectClient::new(api.address(), CallOptions::default());
    let store = Store::of(&objects);
    let records = Arc::new(Records::with_memory(store, "host-a".into(), 7));
    let keys = ["a", "b", "c", "d", "e"];
    let mut holds = Vec::new();
    for key in keys {
        holds.push(won(claim(&records, key).await));
    }
    api.handle().set_outage(Outage::Unavailable);
    let answer = StoredAnswer {
        status: 200,
        headers: vec![],
        body: vec![7; 1024],
    };
    let settle = |hold: Hold| hold.settle(Settlement::Completed(answer.clone()));
    // Two KiB are taken for each of the first three, and one for the fourth without its body.
    let tasks: Vec<_> = holds.into_iter().map(settle).collect();
    assert!(tasks[4].is_none());
    api.handle().set_outage(Outage::None);
    for task in tasks.into_iter().flatten() {
        assert!(task.await.unwrap());
    }
    for key in ["a", "b", "c"] {
        assert_eq!(
            lost(claim(&records, key).await),
            Standing::Replay(answer.clone())
        );
    }
    let not_kept = Standing::AnswerNotKept { status: 200 };
    assert_eq!(lost(claim(&records, "d").await), not_kept);
    assert_eq!(lost(claim(&records, "e").await), Standing::InProgress);
}
