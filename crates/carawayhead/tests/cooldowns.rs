//! Services that ask to be left alone when they reject a call, at instances of `serve`.

mod common;

use {
    common::{Builder, CallerRequest},
    serde_json::json,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Requests of one instance that a service may get in the time for which it asks to be left alone, besides the one that
/// it rejects.
const MAX_IN_COOLDOWN: u64 = 2;

fn lookup() -> CallerRequest {
    CallerRequest::post("/services/desk/lookup", "plate 17")
}

/// Guards against an instance that drops the time which a service asks for, and sends on.
#[tokio::test]
async fn serve_leaves_a_service_alone_for_the_time_that_it_asks_for() {
    let cluster = Builder {
        service_domains: vec!["north", "south"],
        ..Builder::default()
    }
    .start()
    .await;
    let rejecting = &cluster.services[0].address;
    let control = json!({"refuse": true, "retry_after": "60"});
    cluster.post(rejecting, "/control", &control).await;
    for _ in 0..60 {
        let (status, _) = cluster.call(0, lookup()).await;
        assert_eq!(status, 200, "beside a service that takes calls");
    }
    let refused = cluster.get(rejecting, "/refused").await;
    let refused = refused.as_u64().expect("a count");
    assert!(refused >= 1, "the service is used");
    assert!(
        refused <= 1 + MAX_IN_COOLDOWN,
        "{refused} calls in one cooldown"
    );
}

/// Guards against a service that is not used again, and against callers that are told to come back before it takes calls.
#[tokio::test]
async fn serve_uses_a_service_again_after_its_cooldown() {
    let cluster = Builder::default().start().await;
    let service = &cluster.services[0].address;
    let control = json!({"refuse": true, "retry_after": "2"});
    cluster.post(service, "/control", &control).await;
    let (status, _) = cluster.call(0, lookup()).await;
    assert_eq!(status, 503);
    let rejected_at = Instant::now();
    cluster
        .post(service, "/control", &json!({"refuse": false}))
        .await;
    let mut refused = 0;
    while cluster.call(0, lookup()).await.0 != 200 {
        refused += 1;
        assert!(refused < 400, "the service is not used again");
        sleep(Duration::from_millis(20)).await;
    }
    assert!(
        refused >= 1,
        "used {} ms after it asked for 2 s",
        rejected_at.elapsed().as_millis()
    );
}
