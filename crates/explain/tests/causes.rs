//! From log lines to causes.

use explain::{Requests, Table};

/// The rows of a table as cause and count.
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

/// Engines leave, die and are cut off, and each takes streams with it. On-call engineers
/// need to see at once for which of these reasons callers lost their answers.
#[test]
fn a_lost_stream_is_put_down_to_what_went_before_it() {
    let lost = r#"{"t":5000,"event":"stream ended","id":"ID","outcome":"lost","why":"WHY"}"#;
    let lost = |id: &str, why: &str| lost.replace("ID", id).replace("WHY", why);
    let lines = [
        lost("r1", "connection broke; no copy"),
        r#"{"t":4000,"event":"move put off","id":"r2","why":"no engine with room"}"#.to_string(),
        lost("r2", "connection broke; no copy"),
        r#"{"t":4000,"event":"move begins","id":"r3"}"#.to_string(),
        lost("r3", "connection broke; no copy"),
        lost("r4", "connection broke; copy cannot connect"),
        // A move that was over long before has nothing to do with the loss.
        r#"{"t":1000,"event":"move put off","id":"r5","why":"no engine with room"}"#.to_string(),
        lost("r5", "connection broke; no copy"),
    ];
    let lines = lines.iter().map(String::as_str).collect::<Vec<_>>();
    let expected = [
        ("lost: engine gone without a word, no copy", 2),
        ("lost: engine left before the move was through", 1),
        ("lost: engine left, no other had room", 1),
        ("lost: the copy could not go on", 1),
    ];
    assert_eq!(
        causes(&lines),
        expected.map(|(cause, count)| (cause.to_string(), count))
    );
}

/// Whole answers may still be late, by their own targets; refusals keep their names; and a
/// request whose instance was lost has no line on its end.
#[test]
fn late_refused_and_open_requests_are_told_apart() {
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

/// Collectors put a time and a name before each line, and a line may be cut off. What can
/// be read counts, and what cannot is said.
#[test]
fn lines_of_collectors_are_read_and_broken_ones_counted() {
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
        text.contains("| full | 3 | 0.0 | 1.5 | 2 at 1 s | r1 r2 r3 |"),
        "{text}"
    );
}
