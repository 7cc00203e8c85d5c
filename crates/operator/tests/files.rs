//! Parsing of settings and record files.

use {
    operator::{Fault, Settings, duration, record},
    proptest::{prelude::*, test_runner::RngSeed},
    std::time::Duration,
};

fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

fn faults(text: &str) -> String {
    let faults = Settings::parse("settings.toml", text).expect_err("the file has faults");
    lines(&faults)
}

fn lines(faults: &[Fault]) -> String {
    let lines = faults.iter().map(ToString::to_string);
    lines.collect::<Vec<_>>().join("\n")
}

/// All faults of a file are reported at once, not only the first.
#[test]
fn every_fault_in_a_settings_file_is_reported() {
    let text = "[instance]\nname = \"entry one\"\n\n[caller]\nlisten = \"localhost:80\"\n\
                body_limit = 12\nhandle_secret = \"short\"\nkey = \"k.pem\"\n\n[platform]\n\
                log = \"10.0.0.5:9000\"\nlist = 7\n\n[limits]\nstaleness = \"200ms\"\nqueu = 3\n";
    insta::assert_snapshot!(faults(text), @r#"
    settings.toml:1: instance.domain: found nothing, allowed: a text
    settings.toml:2: instance.name: found "entry one", allowed: 1 to 64 letters, digits, '-', '_' or '.'
    settings.toml:4: caller.certificate: found nothing, allowed: the certificate that belongs to the key
    settings.toml:5: caller.listen: found "localhost:80", allowed: an IP address with a port, like "127.0.0.1:8080"
    settings.toml:6: caller.body_limit: found 12, allowed: a whole number from 1024 to 67108864
    settings.toml:7: caller.handle_secret: found another text, allowed: 64 hexadecimal digits, the same at all instances
    settings.toml:12: platform.list: found 7, allowed: a text
    settings.toml:12: platform.list: found "", allowed: an IP address with a port, like "127.0.0.1:8080"
    settings.toml:15: limits.staleness: found "200ms", allowed: a time from 1s to 10min, like "3s"
    settings.toml:16: limits.queu: found an unknown key, allowed: one of append_interval, claim_wait, deadline, gossip_interval, grace, order_window, poll_interval, queue, retry_percent, silence, skew, snapshot_interval, staleness
    "#);
}

#[test]
fn every_fault_in_a_record_is_reported() {
    let text = "schema = 1\n[customer.regie]\nkey_hashes = [\"12\"]\npriority = 300\n\
                [domain.sor]\nstate = \"away\"\n[route.survey]\nversions = []\n[servise.kiln]\n";
    let faults = record::parse("record.toml", text).expect_err("the file has faults");
    insta::assert_snapshot!(lines(&faults), @r#"
    record.toml:3: customer.regie.key_hashes: found "12", allowed: BLAKE3 hashes of 64 hexadecimal digits
    record.toml:4: customer.regie.priority: found 300, allowed: a whole number from 0 to 255
    record.toml:6: domain.sor.state: found "away", allowed: "in" or "out"
    record.toml:8: route.survey.versions: found no version with a share, allowed: at least one version with a share above 0
    record.toml:9: servise: found an unknown key, allowed: one of customer, domain, endpoint, route, schema, service
    "#);
}

/// During an upgrade, old instances receive records of a newer schema, whose content they must
/// ignore.
#[test]
fn content_of_a_newer_schema_is_ignored() {
    let record = record::parse("record.toml", "schema = 2\n[novelty.x]\n").expect("no fault");
    assert_eq!((record.schema, record.changes.len()), (2, 0));
}

proptest! {
    #![proptest_config(proptest_config())]

    /// Any text can be published by mistake, and every instance parses it.
    #[test]
    fn arbitrary_text_does_not_panic(text in "\\PC{0,200}", lines in "([a-z]{1,9} ?= ?[\"0-9a-z\\[\\]{}.]{0,9}\n|\\[[a-z.]{0,12}\\]\n){0,12}") {
        prop_assert!(Settings::parse("f", &text).is_err());
        let _ = record::parse("f", &text);
        let _ = Settings::parse("f", &lines);
        let _ = record::parse("f", &format!("schema = 1\n{lines}"));
    }

    #[test]
    fn rendered_duration_parses_to_the_same_value(millis in 0..10_000_000_000_u64) {
        let duration = Duration::from_millis(millis);
        prop_assert_eq!(duration::parse(&duration::render(duration)), Some(duration));
    }
}
