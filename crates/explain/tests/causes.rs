//! Classification of requests by their log lines.

use explain::{Requests, Table};

/// Returns the cause and count of each row.
fn causes(lines: &[&str]) -> Vec<(String, usize)> {
    let rows = table(lines).rows.into_iter();
    rows.map(|row| (row.cause, row.count)).collect()
}

fn table(lines: &[&str]) -> Table {
    let mut requests = Requests::default();
    for line in lines {
        requests.read(line);
    }
    Table::new(&requests)
}

/// On-call engineers need to tell apart streams lost to a departing engine, a crash or a lack
/// of capacity.
#[test]
fn lost_stream_is_attributed_to_the_preceding_move() {
    let lost = r#"{"t":5000,"event":"stream ended","id":"ID","outcome":"lost","why":"WHY"}"#;
    let lost = |id: &str, why: &str| lost.replace("ID", id).replace("WHY", why);
    let lines = [
        lost("r1", "connection broke; no copy"),
        r#"{"t":4000,"event":"move put off","id":"r2","why":"no engine with room"}"#.to_string(),
        lost("r2", "connection broke; no copy"),
        r#"{"t":4000,"event":"move begins","id":"r3"}"#.to_string(),
        lost("r3", "connection broke; no copy"),
        lost("r4", "connection broke; copy cannot connect"),
        lost("r6", "connection broke; copy crashes_endpoints"),
        // This move is too old to be related to the loss.
        r#"{"t":1000,"event":"move put off","id":"r5","why":"no engine with room"}"#.to_string(),
        lost("r5", "connection broke; no copy"),
    ];
    let lines = lines.iter().map(String::as_str).collect::<Vec<_>>();
    let expected = [
        ("lost: engine gone without a word, no copy", 2),
        ("lost: engine left before the move was through", 1),
        ("lost: engine left, no other had room", 1),
        ("lost: the copy could not go on", 1),
        ("lost: the request crashes endpoints", 1),
    ];
    assert_eq!(
        causes(&lines),
        expected.map(|(cause, count)| (cause.to_string(), count))
    );
}

/// Complete answers can miss their targets, rejections keep the name of their outcome, and a
/// request whose instance was lost has no line that reports its end.
#[test]
fn late_rejected_and_open_requests_get_distinct_causes() {
    let lines = [
        r#"{"t":1,"event":"request ended","id":"r1","outcome":"answered","ms":90,"target_ms":300}"#,
        r#"{"t":2,"event":"request ended","id":"r2","outcome":"answered","ms":900,"target_ms":300}"#,
        r#"{"t":3,"event":"request ended","id":"r3","outcome":"stale"}"#,
        r#"{"t":4,"event":"stream ended","id":"r4","outcome":"complete","first_ms":9,"target_ms":1800,"pause_ms":600,"gap_ms":180}"#,
        r#"{"t":5,"event":"sent","id":"r5"}"#,
        r#"{"t":6,"event":"started"}"#,
    ];
    let expected = [
        "answered in time",
        "late: a pause",
        "late: the answer or first event",
        "open: no line on its end",
        "stale",
    ];
    assert_eq!(causes(&lines), expected.map(|cause| (cause.to_string(), 1)));
}

/// Log collectors prefix lines with a timestamp and a name, and may truncate them. Prefixed
/// lines are parsed, truncated ones counted.
#[test]
fn prefixed_lines_are_parsed_and_truncated_ones_counted() {
    let table = table(&[
        r#"12:00:01 entry-1 {"t":61000,"event":"request ended","id":"r1","outcome":"full"}"#,
        r#"{"t":62000,"event":"request ended","id":"r2","outcome":"full"}"#,
        r#"{"t":62500,"event":"request ended","id":"r3","outcome":"full"}"#,
        r#"{"t":1,"event":"request en"#,
        "",
    ]);
    assert_eq!(table.unreadable_lines, 1);
    let text = table.to_string();
    assert!(
        text.contains("| full | 3 | 0.0 | 1.5 | 2 at 1 s |  | r1 r2 r3 |"),
        "{text}"
    );
}

/// When callers are refused or late, an operator has to see which customers pay for it. A line
/// without a customer, as of an anonymous route, leaves the name that an earlier line gave.
#[test]
fn causes_name_the_customers_with_the_most_requests() {
    let table = table(&[
        r#"{"t":1000,"event":"request ended","id":"r1","outcome":"full","customer":"alder"}"#,
        r#"{"t":1000,"event":"request ended","id":"r2","outcome":"full","customer":"birch"}"#,
        r#"{"t":1000,"event":"sent","id":"r3","customer":"birch"}"#,
        r#"{"t":1000,"event":"request ended","id":"r3","outcome":"full","customer":""}"#,
        r#"{"t":1000,"event":"request ended","id":"r4","outcome":"full"}"#,
    ]);
    let customers = [("birch".to_string(), 2), ("alder".to_string(), 1)];
    assert_eq!(table.rows[0].customers, customers);
    let text = table.to_string();
    assert!(text.contains("| birch 2, alder 1 | r1 r2 r3 |"), "{text}");
}

/// On-call engineers need to tell callers that vanished from an instance that is short of memory.
#[test]
fn streams_that_are_let_go_say_why() {
    let lines = [
        r#"{"t":1000,"event":"stream ended","id":"r1","outcome":"let_go","why":"not_read"}"#,
        r#"{"t":1000,"event":"stream ended","id":"r2","outcome":"let_go","why":"out_of_memory"}"#,
    ];
    let causes = causes(&lines).into_iter().map(|(cause, _)| cause);
    let causes = causes.collect::<Vec<_>>();
    for reason in ["not_read", "out_of_memory"] {
        let found = causes.iter().filter(|cause| cause.contains(reason));
        assert_eq!(found.count(), 1, "{causes:?}");
    }
}
