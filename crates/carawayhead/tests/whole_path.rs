//! A request from a caller through real daemons to the back ends and back.

mod common;

use {
    common::{Ask, Builder, Events, expected, key},
    serde_json::json,
};

#[tokio::test]
async fn a_generation_streams_whole_and_in_order() {
    let cluster = Builder::default().start().await;
    for number in 0..2 {
        let mut reply = cluster
            .ask(number, Ask::survey(50, true))
            .await
            .expect("an answer");
        assert_eq!(reply.status(), 200);
        let mut events = Events::default();
        events.finish(&mut reply).await;
        assert_eq!(events.words(), (expected(50), true));
    }
}

#[tokio::test]
async fn a_generation_is_answered_in_one_piece() {
    let cluster = Builder::default().start().await;
    let (status, answer) = cluster.whole(0, Ask::survey(5, false)).await;
    assert_eq!(status, 200);
    assert_eq!(answer["choices"][0]["text"], json!(" w0 w1 w2 w3 w4"));
    assert_eq!(answer["usage"]["completion_tokens"], json!(5));
    let chat = json!({"model": "survey", "messages": [{"role": "user", "content": "tokens=2"}]});
    let (status, answer) = cluster
        .whole(1, Ask::post("/v1/chat/completions", &chat.to_string()))
        .await;
    assert_eq!(status, 200);
    assert_eq!(answer["choices"][0]["message"]["content"], json!(" w0 w1"));
}

#[tokio::test]
async fn an_order_sent_twice_through_two_instances_runs_once() {
    let cluster = Builder::default().start().await;
    let key = key();
    let (first, answer) = cluster.whole(0, Ask::order(&key, "fire plate 7")).await;
    let (second, again) = cluster.whole(1, Ask::order(&key, "fire plate 7")).await;
    assert_eq!((first, second), (200, 200));
    assert_eq!(answer, again);
    assert_eq!(cluster.runs(&key).await, 1);
    let (status, problem) = cluster.whole(1, Ask::order(&key, "fire plate 8")).await;
    assert_eq!((status, &problem["code"]), (422, &json!("key_reused")));
    assert_eq!(problem["outcome"], json!("not-run"));
}

#[tokio::test]
async fn bad_input_is_refused_by_name() {
    let cluster = Builder::default().start().await;
    let cases = [
        (Ask::post("/v1/completions", "{"), 400, "invalid_json"),
        (
            Ask::post("/v1/completions", r#"{"prompt": "x"}"#),
            400,
            "invalid_field",
        ),
        (
            Ask::post("/v1/completions", r#"{"model": "nought", "prompt": "x"}"#),
            404,
            "unknown_route",
        ),
        (
            Ask::survey(1, true).header("x-request-timeout", "soon"),
            400,
            "invalid_header",
        ),
        (
            Ask::survey(1, true).header("last-event-id", "1:a:b:c:0"),
            400,
            "invalid_header",
        ),
        (
            Ask::post("/v1/completions", &"x".repeat(2 << 20)),
            413,
            "body_too_large",
        ),
    ];
    for (ask, status, code) in cases {
        let (found, answer) = cluster.whole(0, ask).await;
        assert_eq!((found, &answer["error"]["code"]), (status, &json!(code)));
    }
    let (status, problem) = cluster.whole(0, Ask::order("not-a-uuid", "x")).await;
    assert_eq!((status, &problem["code"]), (400, &json!("invalid_header")));
    let (status, problem) = cluster.whole(0, Ask::post("/services/none/x", "x")).await;
    assert_eq!((status, &problem["code"]), (404, &json!("unknown_route")));
}
