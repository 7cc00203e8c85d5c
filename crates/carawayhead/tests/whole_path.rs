//! Requests from a caller through instances to the endpoints and back.

mod common;

use {
    common::{Builder, CallerRequest, Events, expected_words, new_idempotency_key},
    serde_json::json,
};

#[tokio::test]
async fn generation_streams_all_tokens_in_order() {
    let cluster = Builder::default().start().await;
    for number in 0..2 {
        let mut reply = cluster
            .send(number, CallerRequest::generation(50, true))
            .await
            .expect("the instance responds");
        assert_eq!(reply.status(), 200);
        let mut events = Events::default();
        events.read_to_end(&mut reply).await;
        assert_eq!(events.words(), (expected_words(50), true));
    }
}

#[tokio::test]
async fn generation_without_streaming_returns_one_response() {
    let cluster = Builder::default().start().await;
    let (status, answer) = cluster.call(0, CallerRequest::generation(5, false)).await;
    assert_eq!(status, 200);
    assert_eq!(answer["choices"][0]["text"], json!(" w0 w1 w2 w3 w4"));
    assert_eq!(answer["usage"]["completion_tokens"], json!(5));
    let chat = json!({"model": "survey", "messages": [{"role": "user", "content": "tokens=2"}]});
    let (status, answer) = cluster
        .call(
            1,
            CallerRequest::post("/v1/chat/completions", &chat.to_string()),
        )
        .await;
    assert_eq!(status, 200);
    assert_eq!(answer["choices"][0]["message"]["content"], json!(" w0 w1"));
}

#[tokio::test]
async fn order_sent_through_two_instances_runs_once() {
    let cluster = Builder::default().start().await;
    let key = new_idempotency_key();
    let (first, answer) = cluster
        .call(0, CallerRequest::order(&key, "fire plate 7"))
        .await;
    let (second, repeated_answer) = cluster
        .call(1, CallerRequest::order(&key, "fire plate 7"))
        .await;
    assert_eq!((first, second), (200, 200));
    assert_eq!(answer, repeated_answer);
    assert_eq!(cluster.run_count(&key).await, 1);
    let (status, problem) = cluster
        .call(1, CallerRequest::order(&key, "fire plate 8"))
        .await;
    assert_eq!((status, &problem["code"]), (422, &json!("key_reused")));
    assert_eq!(problem["outcome"], json!("not-run"));
}

#[tokio::test]
async fn invalid_requests_get_specific_error_codes() {
    let cluster = Builder::default().start().await;
    let cases = [
        (
            CallerRequest::post("/v1/completions", "{"),
            400,
            "invalid_json",
        ),
        (
            CallerRequest::post("/v1/completions", r#"{"prompt": "x"}"#),
            400,
            "invalid_field",
        ),
        (
            CallerRequest::post("/v1/completions", r#"{"model": "nought", "prompt": "x"}"#),
            404,
            "unknown_route",
        ),
        (
            CallerRequest::generation(1, true).header("x-request-timeout", "soon"),
            400,
            "invalid_header",
        ),
        (
            CallerRequest::generation(1, true).header("last-event-id", "1:a:b:c:0"),
            400,
            "invalid_header",
        ),
        (
            CallerRequest::post("/v1/completions", &"x".repeat(2 << 20)),
            413,
            "body_too_large",
        ),
    ];
    for (request, status, code) in cases {
        let (received, answer) = cluster.call(0, request).await;
        assert_eq!((received, &answer["error"]["code"]), (status, &json!(code)));
    }
    let (status, problem) = cluster
        .call(0, CallerRequest::order("not-a-uuid", "x"))
        .await;
    assert_eq!((status, &problem["code"]), (400, &json!("invalid_header")));
    let (status, problem) = cluster
        .call(0, CallerRequest::post("/services/none/x", "x"))
        .await;
    assert_eq!((status, &problem["code"]), (404, &json!("unknown_route")));
}
