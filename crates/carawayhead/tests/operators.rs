//! Operator commands against running instances.

mod common;

use {
    common::{Builder, Cluster},
    serde_json::json,
    std::process::{Command, Output},
};

fn run(arguments: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_carawayhead"))
        .args(arguments)
        .output();
    output.expect("the binary starts")
}

fn file(cluster: &Cluster, name: &str, text: &str) -> String {
    let path = cluster.folder.join(name);
    std::fs::write(&path, text).expect("the file can be written");
    path.display().to_string()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Two operators publish changes based on the same version of a route. The second
/// publication must fail with a conflict instead of overwriting the first.
#[tokio::test]
async fn concurrent_publication_reports_the_winning_record() {
    let cluster = Builder::default().start().await;
    let log = cluster.log.address.clone();
    let shown = run(&["show", "--log", &log, "route.survey"]);
    assert!(shown.status.success());
    let shown = text(&shown.stdout);
    let first = file(&cluster, "a.toml", &shown.replace("256", "300"));
    let second = file(&cluster, "b.toml", &shown.replace("256", "400"));
    assert!(run(&["publish", "--log", &log, &first]).status.success());
    let conflict = run(&["publish", "--log", &log, &second]);
    assert_eq!(conflict.status.code(), Some(3));
    let stderr = text(&conflict.stderr);
    assert!(
        stderr.contains("route.survey: beaten by the record at offset 1"),
        "{stderr}"
    );
    let shown = text(&run(&["show", "--log", &log, "route.survey"]).stdout);
    assert!(shown.contains("300"), "{shown}");
    let history = text(&run(&["history", "--log", &log]).stdout);
    assert!(history.contains("route.survey beaten by 1"), "{history}");
}

/// The log appends a record but its response is lost. Publishing the record again would
/// conflict with itself, so the command reads the log to confirm the append.
#[tokio::test]
async fn publication_with_lost_response_is_confirmed_by_reading_the_log() {
    let cluster = Builder::default().start().await;
    let log = cluster.log.address.clone();
    cluster
        .post(&log, "/control", &json!({"lose_answers": 1.0}))
        .await;
    let drained = run(&["drain", "--log", &log, "south"]);
    assert!(drained.status.success(), "{}", text(&drained.stderr));
    cluster.wait_for_config(2).await;
}

#[tokio::test]
async fn commands_exit_with_documented_codes() {
    let cluster = Builder::default().start().await;
    let log = cluster.log.address.clone();
    let faulty = file(
        &cluster,
        "faulty.toml",
        "schema = 1\n[domain.x]\nstate = \"away\"\n",
    );
    assert_eq!(run(&["check", &faulty]).status.code(), Some(2));
    assert_eq!(
        run(&["publish", "--log", &log, &faulty]).status.code(),
        Some(2)
    );
    assert_eq!(run(&["check", "/nowhere.toml"]).status.code(), Some(1));
    assert_eq!(
        run(&["show", "--log", &log, "route.none"]).status.code(),
        Some(1)
    );
    let good = file(
        &cluster,
        "good.toml",
        "schema = 1\n[domain.x]\nstate = \"in\"\n",
    );
    assert!(
        run(&["publish", "--log", &log, "--dry-run", &good])
            .status
            .success()
    );
    assert!(!text(&run(&["show", "--log", &log]).stdout).contains("domain.x"));
    let status = run(&["status", "--json", &cluster.instances[0].operator]);
    let status = serde_json::from_str::<serde_json::Value>(text(&status.stdout).trim());
    assert_eq!(status.expect("JSON")["instance"], json!("entry-0"));
}
