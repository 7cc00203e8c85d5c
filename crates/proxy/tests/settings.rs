//! Settings of an instance that forwards, good and bad.

use proxy::Settings;

const GOOD: &str = r#"
[instance]
domain = "a"
fellows = "127.0.0.1:7200"
grace_s = 8
listen = "127.0.0.1:8080"
metrics = "127.0.0.1:9464"
name = "e1"
ready = "127.0.0.1:8081"
unheard_of = true
[joint]
retry_burst = 54
retry_ratio = 0.2
retry_window_s = 10
revocation_ms = 5000
[store]
address = "127.0.0.1:8742"
"#;

/// A platform adds fields in time; an instance that refused them would not start.
#[test]
fn unknown_keys_are_passed_over() {
    let settings = Settings::parse("settings.toml", GOOD).expect("settings");
    assert_eq!(settings.joint.most_instances, 10);
    assert_eq!(settings.decisions().revocation.as_secs(), 5);
}

/// An operator mistypes a value, or the file is cut short. The instance must not run with
/// bounds that nobody chose; the error names file, key and reason.
#[test]
fn faults_name_file_key_and_reason() {
    let cases = [
        (GOOD.replace("grace_s = 8", "grace_s = \"8\""), "grace_s"),
        (
            GOOD.replace("retry_ratio = 0.2", "retry_ratio = -1"),
            "joint.retry_ratio",
        ),
        (GOOD.replace("retry_burst = 54", ""), "retry_burst"),
        (GOOD.replace("127.0.0.1:8080", "here"), "listen"),
        (GOOD.replace("address =", "adress ="), "address"),
        (GOOD[..GOOD.len() - 30].to_string(), "[stor"),
    ];
    for (text, key) in cases {
        let error = Settings::parse("settings.toml", &text)
            .expect_err("a fault")
            .to_string();
        assert!(
            error.contains("settings.toml") && error.contains(key),
            "{key}: {error}"
        );
    }
}
