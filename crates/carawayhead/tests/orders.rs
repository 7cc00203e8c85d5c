//! Orders through failures: at most one run, and truthful refusals.

mod common;

use {
    common::{Builder, CallerRequest, new_idempotency_key},
    rustix::process::Signal,
    serde_json::json,
};

/// The answer of the log to a claim is lost again and again, while the claim may
/// stand in the log. An instance that took that for a failure would leave the
/// order unsent or send it beside another one; each order runs once all the same.
#[tokio::test]
async fn order_runs_once_despite_lost_log_responses() {
    let cluster = Builder::default().start().await;
    cluster
        .post(
            &cluster.log.address,
            "/control",
            &json!({"lose_answers": 0.5}),
        )
        .await;
    for _ in 0..8 {
        let key = new_idempotency_key();
        let (first, second) = tokio::join!(
            cluster.call(0, CallerRequest::order(&key, "print 5")),
            cluster.call(1, CallerRequest::order(&key, "print 5")),
        );
        assert_eq!((first.0, second.0), (200, 200));
        assert_eq!(first.1, second.1);
        assert_eq!(cluster.count_runs(&key).await, 1);
    }
}

/// The log is down. No order can be claimed, so none is sent: the counter is told
/// at once that nothing ran and when to come back, and after the outage the same
/// key goes through.
#[tokio::test]
async fn order_during_log_outage_is_rejected_as_not_run() {
    let cluster = Builder {
        limits: "staleness = \"1s\"",
        ..Builder::default()
    }
    .start()
    .await;
    cluster
        .post(&cluster.log.address, "/control", &json!({"outage": true}))
        .await;
    let address = &cluster.instances[0].operator;
    cluster
        .wait_until("the outage is noticed", async || {
            cluster.get(address, "/status").await["config_stale_ms"].as_u64() > Some(1800)
        })
        .await;
    let key = new_idempotency_key();
    let (status, problem) = cluster.call(0, CallerRequest::order(&key, "print 5")).await;
    assert_eq!((status, &problem["outcome"]), (503, &json!("not-run")));
    assert_eq!(cluster.count_runs(&key).await, 0);
    cluster
        .post(&cluster.log.address, "/control", &json!({"outage": false}))
        .await;
    cluster
        .wait_until("the log is read again", async || {
            let (status, _) = cluster.call(0, CallerRequest::order(&key, "print 5")).await;
            status == 200
        })
        .await;
    assert_eq!(cluster.count_runs(&key).await, 1);
}

/// The desk runs an order, but its answer is lost on the way. Sending again would
/// print the badge twice; the organiser is told that it may have run, and so is
/// whoever repeats the key elsewhere.
#[tokio::test]
async fn order_with_lost_response_is_not_retried() {
    let cluster = Builder::default().start().await;
    cluster
        .post(
            &cluster.services[0].address,
            "/control",
            &json!({"lose": 1}),
        )
        .await;
    let key = new_idempotency_key();
    let (status, problem) = cluster.call(0, CallerRequest::order(&key, "print 5")).await;
    assert_eq!((status, &problem["outcome"]), (502, &json!("may-have-run")));
    let (status, problem) = cluster.call(1, CallerRequest::order(&key, "print 5")).await;
    assert_eq!((status, &problem["code"]), (409, &json!("earlier_attempt")));
    assert_eq!(problem["outcome"], json!("may-have-run"));
    assert_eq!(cluster.count_runs(&key).await, 1);
}

/// An instance freezes with an order in its hands, and the caller tries again
/// through another one. When the first wakes, it must not send what the second
/// has sent; the order runs once.
#[tokio::test]
async fn resumed_instance_does_not_repeat_an_order() {
    let cluster = Builder::default().start().await;
    for _ in 0..5 {
        let key = new_idempotency_key();
        let frozen = async {
            let order = cluster.call(
                0,
                CallerRequest::order(&key, "fire 9").header("x-request-timeout", "20"),
            );
            order.await
        };
        let other = async {
            cluster.instances[0].signal(Signal::STOP);
            let (status, _) = cluster.call(1, CallerRequest::order(&key, "fire 9")).await;
            cluster.instances[0].signal(Signal::CONT);
            status
        };
        let ((first, _), second) = tokio::join!(frozen, other);
        assert!(first == 200 && second == 200, "{first} {second}");
        assert_eq!(cluster.count_runs(&key).await, 1);
    }
}

/// The holder of a key dies after it claimed the key and sent the order. Nobody
/// can tell whether the order ran; the second caller is told just that once the
/// instance list says that the holder is gone, not left waiting to its deadline.
#[tokio::test]
async fn key_of_dead_instance_is_answered_as_may_have_run() {
    let mut cluster = Builder::default().start().await;
    cluster
        .post(
            &cluster.services[0].address,
            "/control",
            &json!({"delay_ms": 60_000}),
        )
        .await;
    let key = new_idempotency_key();
    {
        let order = cluster.send(0, CallerRequest::order(&key, "fire 9"));
        let sent = cluster.wait_until("the desk runs it", async || {
            cluster.count_runs(&key).await == 1
        });
        tokio::select! {
            _ = order => panic!("the desk takes a minute"),
            () = sent => {}
        }
    }
    cluster.instances[0].kill();
    cluster.unregister("entry-0").await;
    let (status, problem) = cluster.call(1, CallerRequest::order(&key, "fire 9")).await;
    assert_eq!((status, &problem["code"]), (409, &json!("earlier_attempt")));
    assert_eq!(cluster.count_runs(&key).await, 1);
}

/// No desk listens where the list says. Nothing was written, so the refusal says
/// "not run", and the same key can be used for the next try.
#[tokio::test]
async fn order_without_listening_service_is_not_run_and_can_be_repeated() {
    let mut cluster = Builder::default().start().await;
    cluster.services[0].kill();
    let key = new_idempotency_key();
    let (status, problem) = cluster.call(0, CallerRequest::order(&key, "print 5")).await;
    assert_eq!((status, &problem["outcome"]), (503, &json!("not-run")));
    let desk = cluster.add_service("desk-0", "north").await;
    cluster.services = vec![desk];
    cluster
        .wait_until("the new desk is known", async || {
            let (status, _) = cluster.call(1, CallerRequest::order(&key, "print 5")).await;
            status == 200
        })
        .await;
    assert_eq!(cluster.count_runs(&key).await, 1);
}

/// The answer of a desk is lost, but this desk knows its keys and answers a repeat
/// without printing again. Telling the organiser "may have run" would be true and
/// of no use; the same desk is asked once more, and the answer is given.
#[tokio::test]
async fn deduplicating_service_is_retried() {
    let cluster = Builder::default().start().await;
    cluster
        .append(
            "schema = 1\n[endpoint.desk-0]\nreplaces = 0\ncold_limit = 1000\ndeduplicates = true\n",
        )
        .await;
    cluster.wait_for_config(2).await;
    let control = json!({"lose": 1, "deduplicate": true});
    cluster
        .post(&cluster.services[0].address, "/control", &control)
        .await;
    let key = new_idempotency_key();
    let (status, _) = cluster.call(0, CallerRequest::order(&key, "print 5")).await;
    assert_eq!(status, 200);
    assert_eq!(cluster.count_runs(&key).await, 1);
}
