//! The timeline of a rollout.

use explain::{Requests, Table};

/// Each instance logs the order, and the first by time is the one that counts. Operators ask for the
/// steps of a rollout, not for the lines of hundreds of instances.
#[test]
fn each_step_of_a_rollout_is_reported_once() {
    let mut requests = Requests::default();
    for line in [
        r#"{"event":"rollout ordered","instance":"e2","order":4,"service":"desk","t":1050}"#,
        r#"{"event":"rollout ordered","instance":"e1","order":4,"service":"desk","t":1000}"#,
        r#"{"event":"rollout stage recorded","instance":"e1","order":4,"service":"desk",
            "stage":"rolled_back","score":14.5,"t":5200}"#,
        r#"{"event":"operators are told of a rollout","instance":"e1","order":4,
            "service":"desk","stage":"rolled_back","t":5210}"#,
        r#"{"event":"rollout evidence published","instance":"e3","service":"desk","t":4000}"#,
    ] {
        requests.read(line);
    }
    let table = Table::new(&requests);
    let steps = table
        .rollouts
        .iter()
        .map(|step| (step.t, step.event.as_str()));
    let expected = [
        (1000, "rollout ordered"),
        (5200, "rollout stage recorded"),
        (5210, "operators are told of a rollout"),
    ];
    assert_eq!(steps.collect::<Vec<_>>(), expected);
    let text = table.to_string();
    assert!(
        text.contains("| 4.2 | desk | 4 | rollout stage recorded"),
        "{text}"
    );
}
