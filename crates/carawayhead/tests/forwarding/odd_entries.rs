//! Entries of other writers in the store's topics that are no entries.

use {
    crate::instance::{Instance, wait_until},
    bytes::Bytes,
    http::StatusCode,
    platform::standin::{
        PlainService, Store,
        caller::{CallerRequest, config, send_request},
        store::FOLLOWED_TOPICS,
    },
};

/// Levels of a value that is too deeply nested.
const DEPTH: usize = 40_000;

/// Values that are no entries of any topic, or have one field that is none.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let entry = |field: &str, value: &str| {
        let good = [
            ("address", "\"127.0.0.1:9\""),
            ("born", "7"),
            ("coldRemainingMs", "0"),
            ("domain", "\"a\""),
            ("fingerprint", "[0]"),
            ("order", "1"),
            ("processor", "250"),
            ("sequence", "1"),
            ("service", "\"desk\""),
            ("slots", "6"),
            ("stage", "\"ramp\""),
            ("state", "\"ready\""),
            ("version", "\"v1\""),
            ("zone", "\"a\""),
        ];
        let fields = good.map(|(name, good)| {
            let value = if name == field { value } else { good };
            format!("\"{name}\":{value}")
        });
        format!("{{{}}}", fields.join(",")).into_bytes()
    };
    let mut values = vec![
        nested.clone().into_bytes(),
        "{\"a\":".repeat(DEPTH).into_bytes(),
        b"\xff\xfe{}".to_vec(),
        b"\0\0\0".to_vec(),
        b"4294967296".to_vec(),
        b"{\"service\":\"des".to_vec(),
        vec![b'x'; 200_000],
    ];
    for field in [
        "born",
        "coldRemainingMs",
        "order",
        "processor",
        "sequence",
        "slots",
    ] {
        for value in [
            "1e999",
            "-1",
            "18446744073709551615",
            "18446744073709551616",
            "\"1\"",
            "null",
        ] {
            values.push(entry(field, value));
        }
        values.push(entry(field, &nested));
    }
    for address in [
        "127.0.0.1:65536",
        "127.0.0.1:0",
        "127.0.0.1:-1",
        "127.0.0.1",
        "0.0.0.0:9",
        "",
    ] {
        values.push(entry("address", &format!("\"{address}\"")));
    }
    let invalid = entry("state", "\"\u{1}\"");
    values.push(invalid);
    values
}

fn record(key: &[u8], value: &[u8]) -> Vec<u8> {
    let length = u8::try_from(key.len()).expect("a short key");
    [&[length], key, value].concat()
}

/// Writes odd entries into all topics, under keys of all kinds.
fn write_odd_entries(store: &Store) {
    for (topic, prefix) in FOLLOWED_TOPICS {
        for (number, value) in odd_values().iter().enumerate() {
            let key = format!("{prefix}odd{number}");
            store.write_odd_record(topic, &record(key.as_bytes(), value));
        }
        for key in [&b""[..], b"\xff\xfe", &[b'k'; 255], b"\0", b"/", b"\"\\"] {
            store.write_odd_record(topic, &record(key, b"{}"));
        }
        store.write_odd_record(topic, b"");
        store.write_odd_record(topic, &[200, b'k']);
    }
}

async fn status(instance: &Instance, id: &str, path: &str) -> Option<StatusCode> {
    let response = send_request(instance.caller_address, &CallerRequest::new(id, path)).await;
    response.map(|response| response.status)
}

/// Guards against instances that exit, or do not follow the topics any more, because of an odd entry of another writer.
#[tokio::test]
async fn odd_entries_in_topics_harm_no_instance() {
    let store = Store::start().await;
    let one_route = config(1, &["key-1"], 3000).replace("/look/", "/later/");
    store.write_operator_record("config", &one_route);
    let service = PlainService::start("d1").await;
    store.write_endpoint_entry("d1", &service.entry("desk", "a", "ready"));
    let mut instances = vec![
        Instance::start("e1", "a", &store).await,
        Instance::start("e2", "a", &store).await,
    ];
    write_odd_entries(&store);
    // The endpoint before has left, and another one and a route are added.
    store.write_endpoint_entry("d1", "");
    let other = PlainService::start("d2").await;
    store.write_endpoint_entry("d2", &other.entry("desk", "a", "ready"));
    store.write_operator_record("config", &config(2, &["key-1"], 3000));
    // Starts with all of them.
    instances.push(Instance::start("e3", "a", &store).await);
    for (index, instance) in instances.iter_mut().enumerate() {
        let id = format!("r{index}");
        wait_until("the new endpoint serves the new route", || async {
            let status = status(instance, &id, "/look/7").await;
            let mut calls = other.executed_calls().into_iter();
            status == Some(StatusCode::OK) && calls.any(|call| call.id() == id)
        })
        .await;
        assert_eq!(instance.exit_status(), None);
    }
}

/// Guards against a listing of newest records that is rejected as a whole for one item, without which an instance never
/// becomes ready.
#[tokio::test]
async fn odd_items_of_a_listing_are_ignored() {
    let store = Store::start().await;
    store.write_operator_record("config", &config(1, &["key-1"], 3000));
    let service = PlainService::start("d1").await;
    store.write_endpoint_entry("d1", &service.entry("desk", "a", "ready"));
    let nested = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let items = [
        "{\"key\":\"odd1\",\"offset\":0,\"value\":\"no base64!\"}",
        "{\"key\":\"odd2\",\"offset\":0,\"value\":7}",
        "{\"key\":7,\"offset\":0,\"value\":\"e30=\"}",
        "{\"key\":\"odd3\",\"offset\":1e999,\"value\":\"e30=\"}",
        "{}",
        "null",
        nested.as_str(),
    ];
    let mut items = items
        .map(|item| Bytes::copy_from_slice(item.as_bytes()))
        .to_vec();
    items.push(Bytes::from_static(
        b"{\"key\":\"\xff\",\"offset\":0,\"value\":\"e30=\"}",
    ));
    store.set_odd_items(items);
    let instance = Instance::start("e1", "a", &store).await;
    assert_eq!(
        status(&instance, "r1", "/order/7").await,
        Some(StatusCode::OK)
    );
}
