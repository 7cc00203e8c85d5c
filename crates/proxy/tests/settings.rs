//! Valid and invalid settings of a proxy instance.

use proxy::Settings;

const VALID: &str = r#"
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

/// A platform may add keys; an instance that rejected them would not start.
#[test]
fn unknown_keys_are_ignored() {
    let settings = Settings::parse("settings.toml", VALID).expect("settings");
    assert_eq!(settings.joint.most_instances, 10);
    assert_eq!(settings.decisions().revocation.as_secs(), 5);
}

/// Guards against starting with limits that nobody set when a value is invalid or the file
/// truncated.
#[test]
fn errors_name_file_and_key() {
    let cases = [
        (VALID.replace("grace_s = 8", "grace_s = \"8\""), "grace_s"),
        (
            VALID.replace("retry_ratio = 0.2", "retry_ratio = -1"),
            "joint.retry_ratio",
        ),
        (VALID.replace("retry_burst = 54", ""), "retry_burst"),
        (
            VALID.replace("grace_s = 8", "grace_s = 8\nmemory_mb = 88\nbuffer_mb = 36"),
            "instance.buffer_mb: found 36, allowed: 1 to 35",
        ),
        (
            VALID.replace("grace_s = 8", "grace_s = 8\nbuffer_mb = 0"),
            "instance.buffer_mb: found 0, allowed: 1 to",
        ),
        (VALID.replace("127.0.0.1:8080", "here"), "listen"),
        (VALID.replace("address =", "adress ="), "address"),
        (VALID[..VALID.len() - 30].to_string(), "[stor"),
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
