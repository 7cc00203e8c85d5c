//! Orders during failures: each runs at most once, and rejections state correctly whether
//! it may have run.

mod common;

use {
    common::{Builder, CallerRequest, new_idempotency_key},
    rustix::process::Signal,
    serde_json::json,
};

/// Responses of the log to claims are lost, although the claims may be appended. An
/// instance that treats this as a failure would drop the order or let it run twice.
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
        assert_eq!(cluster.run_count(&key).await, 1);
    }
}

/// While the log is down no order can be claimed, so orders are rejected as not run.
/// After the outage the same idempotency key is accepted.
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
        .wait_until("the outage is detected", async || {
            cluster.get(address, "/status").await["config_stale_ms"].as_u64() > Some(1800)
        })
        .await;
    let key = new_idempotency_key();
    let (status, problem) = cluster.call(0, CallerRequest::order(&key, "print 5")).await;
    assert_eq!((status, &problem["outcome"]), (503, &json!("not-run")));
    assert_eq!(cluster.run_count(&key).await, 0);
    cluster
        .post(&cluster.log.address, "/control", &json!({"outage": false}))
        .await;
    cluster
        .wait_until("the order is accepted", async || {
            let (status, _) = cluster.call(0, CallerRequest::order(&key, "print 5")).await;
            status == 200
        })
        .await;
    assert_eq!(cluster.run_count(&key).await, 1);
}

/// The service runs an order but its response is lost. A retry would run it twice, so this
/// request and any later one with the same key are answered with may-have-run.
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
    assert_eq!(cluster.run_count(&key).await, 1);
}

/// An instance freezes while it handles an order, and the caller repeats the order through
/// another instance. The first must not send the order after it resumes.
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
        assert_eq!(cluster.run_count(&key).await, 1);
    }
}

/// An instance dies after it claimed a key and sent the order. Once the instance list
/// drops that instance, a repeated request is answered with may-have-run instead of
/// waiting until its deadline.
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
        let sent = cluster.wait_until("the order ran", async || cluster.run_count(&key).await == 1);
        tokio::select! {
            _ = order => panic!("the order ended before its 60 s delay"),
            () = sent => {}
        }
    }
    cluster.instances[0].kill();
    cluster.unregister("entry-0").await;
    let (status, problem) = cluster.call(1, CallerRequest::order(&key, "fire 9")).await;
    assert_eq!((status, &problem["code"]), (409, &json!("earlier_attempt")));
    assert_eq!(cluster.run_count(&key).await, 1);
}

/// No service listens at the listed address. Nothing was sent, so the order is rejected as
/// not run and the same key can be used again.
#[tokio::test]
async fn order_without_listening_service_is_not_run_and_can_be_repeated() {
    let mut cluster = Builder::default().start().await;
    cluster.services[0].kill();
    let key = new_idempotency_key();
    let (status, problem) = cluster.call(0, CallerRequest::order(&key, "print 5")).await;
    assert_eq!((status, &problem["outcome"]), (503, &json!("not-run")));
    let service = cluster.add_service("desk-0", "north").await;
    cluster.services = vec![service];
    cluster
        .wait_until("the new service is used", async || {
            let (status, _) = cluster.call(1, CallerRequest::order(&key, "print 5")).await;
            status == 200
        })
        .await;
    assert_eq!(cluster.run_count(&key).await, 1);
}

/// The response of a service that deduplicates by idempotency key is lost. The order is
/// retried at the same service, which returns the response without a second run.
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
    assert_eq!(cluster.run_count(&key).await, 1);
}
