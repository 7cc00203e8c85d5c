//! Decoding of the instance list.

use streamlog::list::decode;

/// Guards against an odd entry of another writer that keeps instances from following the list.
#[test]
fn odd_entries_are_ignored() {
    let good = |name: &str| {
        format!(r#"{{"name":"{name}","role":"engine","address":"10.0.0.1:80","domain":"a"}}"#)
    };
    let nested = format!("{}{}", "[".repeat(40_000), "]".repeat(40_000));
    for odd in [
        nested.clone(),
        good("odd").replace("\"a\"", &nested),
        good("odd").replace("\"a\"", "18446744073709551616"),
        good("odd").replace("\"a\"", "1e999"),
        good("odd").replace(":80", ":65536"),
        good("odd").replace(":80", ":0"),
        good("odd").replace(":80", ""),
        good("odd").replace(r#","domain":"a""#, ""),
        "7".to_string(),
        "null".to_string(),
    ] {
        let body = format!("[{},{odd},{}]", good("m1"), good("m2"));
        let list = decode(body.as_bytes()).expect("a list");
        let names = list.members.iter().map(|member| member.name.as_str());
        let odd = &odd[..odd.len().min(100)];
        assert_eq!(names.collect::<Vec<_>>(), ["m1", "m2"], "{odd}");
    }
    let mut body = format!("[{},{}]", good("m1"), good("odd")).into_bytes();
    let position = body.len() - 3;
    body[position] = 0xff;
    let list = decode(&body).expect_err("no JSON");
    assert!(!list.to_string().is_empty());
}
