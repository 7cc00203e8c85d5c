//! Responses that callers receive and calls that endpoints run.

use {
    crate::instance::{Instance, wait_until},
    http::StatusCode,
    platform::standin::{
        PlainService, Store,
        caller::{CallerRequest, config, send_request},
        service::ServiceBehavior,
    },
};

async fn deployment(services: &[&PlainService]) -> (Store, Instance) {
    let store = Store::start().await;
    store.write_operator_record("config", &config(1, &["key-1"], 5000));
    for (number, service) in services.iter().enumerate() {
        store.write_endpoint_entry(
            &format!("d{}", number + 1),
            &service.entry("desk", "a", "ready"),
        );
    }
    let instance = Instance::start("e1", "a", &store).await;
    (store, instance)
}

/// Headers reserved for the system must not pass from a caller to an endpoint: a caller
/// could name another customer, take a reservation or read another request's KV cache.
#[tokio::test]
async fn reserved_headers_from_callers_are_not_forwarded() {
    let service = PlainService::start("d1").await;
    let (_store, instance) = deployment(&[&service]).await;
    let mut request = CallerRequest::new("r1", "/order/7?plate=3");
    request.extra = vec![
        ("carawayhead-tenant", "eve"),
        ("carawayhead-kv-hold", "h1"),
        ("kv-from", "127.0.0.1:1/r0"),
        ("x-note", "kept"),
    ];
    let response = send_request(instance.caller_address, &request)
        .await
        .expect("the instance responds");
    assert_eq!((response.status, response.sealed), (StatusCode::OK, true));
    assert_eq!(response.body, "done r1 at d1");
    let calls = service.executed_calls();
    assert_eq!(calls.len(), 1);
    let call = &calls[0];
    assert_eq!(
        (call.path.as_str(), call.query.as_str()),
        ("/order/7", "plate=3")
    );
    assert_eq!(&*call.body, b"body");
    assert_eq!(call.header("carawayhead-tenant"), Some("ada"));
    assert_eq!(call.header("x-note"), Some("kept"));
    for name in ["authorization", "carawayhead-kv-hold", "kv-from"] {
        assert_eq!(call.header(name), None, "{name}");
    }
    let deadline_ms = call
        .header("carawayhead-deadline-ms")
        .and_then(|value| value.parse::<u32>().ok());
    assert!(
        deadline_ms.is_some_and(|value| value <= 5000),
        "{deadline_ms:?}"
    );
}

/// An unknown key and a path without a route are rejected with distinct statuses, and
/// nothing reaches an endpoint.
#[tokio::test]
async fn unauthorized_and_unroutable_requests_are_rejected() {
    let service = PlainService::start("d1").await;
    let (_store, instance) = deployment(&[&service]).await;
    let mut unknown = CallerRequest::new("r1", "/order/7");
    unknown.key = "key-9";
    for (request, status) in [
        (unknown, StatusCode::UNAUTHORIZED),
        (
            CallerRequest::new("r2", "/nothing/7"),
            StatusCode::NOT_FOUND,
        ),
    ] {
        let response = send_request(instance.caller_address, &request)
            .await
            .expect("the instance responds");
        assert_eq!(response.status, status);
        assert_eq!(response.id.as_deref(), Some(request.id));
    }
    assert_eq!(service.executed_calls().len(), 0);
}

/// An endpoint runs an order but its response is lost. A retry, or an answer that the order
/// has not run, would let it run twice.
#[tokio::test]
async fn order_with_lost_response_is_not_retried() {
    let (one, two) = (
        PlainService::start("d1").await,
        PlainService::start("d2").await,
    );
    let (_store, instance) = deployment(&[&one, &two]).await;
    for service in [&one, &two] {
        service.set_behavior(ServiceBehavior::NoAnswer);
    }
    let response = send_request(
        instance.caller_address,
        &CallerRequest::new("r1", "/order/7"),
    )
    .await;
    assert_eq!(
        response.expect("the instance responds").status,
        StatusCode::BAD_GATEWAY
    );
    assert_eq!(one.executed_calls().len() + two.executed_calls().len(), 1);
    // A lookup is idempotent, so it is retried.
    let response = send_request(
        instance.caller_address,
        &CallerRequest::new("r2", "/look/7"),
    )
    .await;
    assert_eq!(
        response.expect("the instance responds").status,
        StatusCode::BAD_GATEWAY
    );
    assert_eq!(one.executed_calls().len() + two.executed_calls().len(), 3);
}

/// An endpoint answers a lookup with an error, and the retry finds no endpoint or gets no
/// response. The caller must receive the endpoint's error, not a local reply.
#[tokio::test]
async fn endpoint_error_is_forwarded_if_retry_gets_no_response() {
    for second in [
        None,
        Some(ServiceBehavior::NoAnswer),
        Some(ServiceBehavior::Rejecting),
    ] {
        let services = [
            PlainService::start("d1").await,
            PlainService::start("d2").await,
        ];
        services[0].set_behavior(ServiceBehavior::Failing);
        services[1].set_behavior(second.unwrap_or_default());
        let listed = if second.is_some() { 2 } else { 1 };
        let listed = services[..listed].iter().collect::<Vec<_>>();
        let (_store, instance) = deployment(&listed).await;
        // The first endpoint is chosen at random; the result is the same for both.
        let response = send_request(
            instance.caller_address,
            &CallerRequest::new("r1", "/look/7"),
        )
        .await;
        let response = response.expect("the instance responds");
        assert_eq!(
            (response.status, response.sealed, response.body.as_str()),
            (StatusCode::INTERNAL_SERVER_ERROR, true, "done r1 at d1"),
            "{second:?}"
        );
    }
}

/// A full endpoint rejects an order as not run. The order is retried at another endpoint, and
/// answered with 503 and a retry time if all endpoints are full.
#[tokio::test]
async fn rejected_order_is_retried_at_another_endpoint() {
    let (one, two) = (
        PlainService::start("d1").await,
        PlainService::start("d2").await,
    );
    let (_store, instance) = deployment(&[&one, &two]).await;
    for (full, healthy) in [(&one, &two), (&two, &one)] {
        full.set_behavior(ServiceBehavior::Rejecting);
        healthy.set_behavior(ServiceBehavior::Healthy);
        let response = send_request(
            instance.caller_address,
            &CallerRequest::new("r1", "/order/7"),
        )
        .await;
        assert_eq!(
            response.expect("the instance responds").status,
            StatusCode::OK
        );
    }
    assert_eq!(one.executed_calls().len() + two.executed_calls().len(), 2);
    for service in [&one, &two] {
        service.set_behavior(ServiceBehavior::Rejecting);
    }
    let response = send_request(
        instance.caller_address,
        &CallerRequest::new("r3", "/order/7"),
    )
    .await;
    let response = response.expect("the instance responds");
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.retry_after.is_some());
    assert_eq!(one.executed_calls().len() + two.executed_calls().len(), 2);
}

/// A response with another request's ID, or a success without its seal, may belong to
/// another caller and must not be forwarded.
#[tokio::test]
async fn response_with_wrong_id_or_missing_seal_is_not_forwarded() {
    let service = PlainService::start("d1").await;
    let (_store, instance) = deployment(&[&service]).await;
    for behavior in [ServiceBehavior::WrongId, ServiceBehavior::Unsealed] {
        service.set_behavior(behavior);
        let response = send_request(
            instance.caller_address,
            &CallerRequest::new("r1", "/order/7"),
        )
        .await;
        let response = response.expect("the instance responds");
        assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{behavior:?}");
        assert!(!response.body.contains("done"), "{behavior:?}");
    }
}

/// Guards against an order that runs at a second endpoint, since the late rejection of a check is taken for its own.
#[tokio::test]
async fn rejection_without_an_id_is_not_taken_for_that_of_an_order() {
    let services = [
        PlainService::start("d1").await,
        PlainService::start("d2").await,
    ];
    let (_store, instance) = deployment(&[&services[0], &services[1]]).await;
    for service in &services {
        service.set_behavior(ServiceBehavior::ForeignRejection);
    }
    let request = CallerRequest::new("r1", "/order/7");
    let response = send_request(instance.caller_address, &request).await;
    let status = response.expect("the instance responds").status;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    let calls = services.iter().flat_map(PlainService::executed_calls);
    assert_eq!(calls.filter(|call| call.id() == "r1").count(), 1);
}

/// Guards against the late failure of a check that is passed on as the response to an order.
#[tokio::test]
async fn failure_without_an_id_is_not_taken_for_that_of_an_order() {
    let service = PlainService::start("d1").await;
    let (_store, instance) = deployment(&[&service]).await;
    service.set_behavior(ServiceBehavior::ForeignFailure);
    let request = CallerRequest::new("r1", "/order/7");
    let response = send_request(instance.caller_address, &request).await;
    let status = response.expect("the instance responds").status;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert_eq!(service.executed_calls().len(), 1);
}

/// Guards against a success without a seal, of any status, that is passed on as the response of its endpoint.
#[tokio::test]
async fn success_without_a_seal_is_not_forwarded() {
    let store = Store::start().await;
    let config = config(1, &["key-1"], 5000);
    store.write_operator_record(
        "config",
        &config.replace(r#""service":"desk""#, r#""service":"model""#),
    );
    let service = PlainService::start("m1").await;
    store.write_endpoint_entry("m1", &service.entry("model", "a", "ready"));
    let instance = Instance::start("e1", "a", &store).await;
    for behavior in [ServiceBehavior::Unsealed, ServiceBehavior::UnsealedAccepted] {
        service.set_behavior(behavior);
        for path in ["/order/7", "/look/7", "/draft/7"] {
            let request = CallerRequest::new("r1", path);
            let response = send_request(instance.caller_address, &request).await;
            let response = response.expect("the instance responds");
            let what = format!("{behavior:?}, {path}");
            assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{what}");
            assert!(!response.body.contains("done"), "{what}");
        }
    }
}

/// After SIGTERM an instance reports that it is not ready, still serves requests on its
/// listener, and exits by itself.
#[tokio::test]
async fn draining_instance_exits_after_its_last_request() {
    let service = PlainService::start("d1").await;
    let (_store, mut instance) = deployment(&[&service]).await;
    instance.signal(rustix::process::Signal::TERM);
    let ready = instance.readiness_address;
    wait_until("the instance is not ready", || async move {
        !platform::standin::caller::is_ready(ready).await
    })
    .await;
    let response = send_request(
        instance.caller_address,
        &CallerRequest::new("r1", "/order/7"),
    )
    .await;
    assert_eq!(
        response.expect("the instance responds").status,
        StatusCode::OK
    );
    let mut exit_status = None;
    for _ in 0..2000 {
        exit_status = instance.exit_status();
        if exit_status.is_some() {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    assert!(exit_status.expect("the instance exits by itself").success());
    assert_eq!(instance.log_lines_containing("\"stopped\"").len(), 1);
}

/// Orders arrive until a draining instance has exited. An order accepted just before the exit
/// must not be sent to the service and then cut off: each order that ran is answered.
#[tokio::test]
async fn orders_run_by_draining_instance_are_answered() {
    let service = PlainService::start("d1").await;
    let (_store, mut instance) = deployment(&[&service]).await;
    service.set_behavior(ServiceBehavior::Slow);
    instance.signal(rustix::process::Signal::TERM);
    let mut answered = Vec::new();
    for number in 0..100_000 {
        let id = format!("r{number}");
        let response = send_request(
            instance.caller_address,
            &CallerRequest::new(&id, "/order/7"),
        )
        .await;
        if response.is_some_and(|response| response.status == StatusCode::OK) {
            answered.push(id);
        }
        if instance.exit_status().is_some() {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    let calls = service.executed_calls();
    let calls = calls
        .iter()
        .filter_map(|call| call.header("carawayhead-request-id"));
    assert_eq!(calls.collect::<Vec<_>>(), answered);
}

/// Endpoints say that they are brittle in their answers alone. An instance that does not read it, or does
/// not notice its end, overloads them or wastes their room.
#[tokio::test]
async fn limit_of_brittle_endpoints_is_read_from_their_answers() {
    let store = Store::start().await;
    let service = PlainService::start("d1").await;
    store.write_operator_record("config", &config(1, &["key-1"], 5000));
    store.write_endpoint_entry("d1", &service.entry("desk", "a", "ready"));
    let instance = Instance::start("e1", "a", &store).await;
    let mut number = 0;
    for (behavior, limit) in [
        (ServiceBehavior::Healthy, None),
        (ServiceBehavior::Brittle, Some("Some(5)")),
        (ServiceBehavior::Healthy, Some("None")),
    ] {
        service.set_behavior(behavior);
        for _ in 0..3 {
            number += 1;
            let id = format!("r{number}");
            let request = CallerRequest::new(&id, "/look/7");
            let response = send_request(instance.caller_address, &request).await;
            let response = response.expect("the instance responds");
            assert_eq!(response.status, StatusCode::OK);
        }
        wait_until("the change is logged", || async {
            let lines = instance.log_lines_containing("limit of rejections changed");
            limit.map_or(lines.is_empty(), |limit| {
                lines.last().is_some_and(|line| line.contains(limit))
            })
        })
        .await;
    }
}

/// When callers are refused or late, an operator has to see whose requests they are. Lines name the customer;
/// its key is a secret.
#[tokio::test]
async fn log_lines_of_a_request_name_its_customer_and_never_the_key() {
    let service = PlainService::start("d1").await;
    let (_store, instance) = deployment(&[&service]).await;
    service.set_behavior(ServiceBehavior::NoAnswer);
    let request = CallerRequest::new("r1", "/order/7");
    let response = send_request(instance.caller_address, &request).await;
    let status = response.expect("the instance responds").status;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    for event in ["\"sent\"", "\"given up\"", "\"request ended\""] {
        wait_until("the line is written", || async {
            !instance.log_lines_containing(event).is_empty()
        })
        .await;
        for line in instance.log_lines_containing(event) {
            assert!(line.contains("\"customer\":\"ada\""), "{line}");
        }
    }
    assert_eq!(instance.log_lines_containing("key-1"), [""; 0]);
}

/// Guards against an answer of another endpoint at the same address, which says nothing of the service that was meant.
#[tokio::test]
async fn misdirected_answer_does_not_end_the_limit_of_brittle_endpoints() {
    let brittle = PlainService::start("d1").await;
    brittle.set_behavior(ServiceBehavior::Brittle);
    let (store, instance) = deployment(&[&brittle]).await;
    let send = |number: usize| {
        let address = instance.caller_address;
        async move {
            let id = format!("r{number}");
            send_request(address, &CallerRequest::new(&id, "/look/x")).await
        }
    };
    send(0).await;
    store.write_endpoint_entry("d9", &brittle.entry("desk", "a", "ready"));
    let mut number = 0;
    while !instance
        .log_lines_containing("request rejected by endpoint")
        .iter()
        .any(|line| line.contains("421"))
    {
        number += 1;
        send(number).await;
        assert!(number < 400, "the other endpoint is not asked");
    }
    let changes = instance.log_lines_containing("limit of rejections changed");
    assert_eq!(changes.len(), 1, "{changes:?}");
}
