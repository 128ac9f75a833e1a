use googletest::prelude::*;

use super::*;

const REPORT: &str = r#"{"vm":"10.0.0.1","version":7,"copy_age_ms":12,"counted_ms":61500,"uncounted":0,
  "organisations":[{"name":"ralo620","rate":16.0,"burst":8.0,"granted":5,
    "refused":{"other":0,"over-quota":2,"quota-unknown":1},"parts":[
    {"part":0,"holder":"10.0.0.1","distance":"zone","is_silent":false,"empty_for_ms":null,
     "held":{"held_for_ms":12345,"tokens":0.25,"capacity":2.0,"rate":2.6666,"granted":4,"refused":3,"given_back":1}},
    {"part":1,"holder":"10.0.0.2","distance":"region","is_silent":true,"empty_for_ms":40,"held":null},
    {"part":2,"holder":null,"distance":"far","is_silent":false,"empty_for_ms":null,"held":null},
    {"part":3,"holder":"10.0.0.1","distance":"zone","is_silent":false,"empty_for_ms":null,"held":null}]}],
  "next":null}"#;

/// Each state of a part must be told from the others: a 503 has another cause than a 429.
#[gtest]
fn the_text_tells_the_states_of_parts_apart() {
    let report: QuotaReport = serde_json::from_str(REPORT).expect("a report");
    let expected = "\
VM 10.0.0.1: version 7, store copy 12 ms old, counts of the last 61 s
ralo620: limit 16/s, burst 8; requests here: granted 5, over-quota 2, quota-unknown 1
  part 0: this VM for 12 s, 0.25 of 2.00 tokens, 2.67/s; granted 4, refused 3, given back 1
  part 1: 10.0.0.2 (region), did not answer, empty for 40 ms
  part 2: no holder
  part 3: this VM, may not grant now";
    expect_that!(describe_report(&report), eq(expected));
}

/// A VM without configuration or limits must not look like one whose organisations are idle.
#[gtest]
fn the_text_says_that_there_is_no_limit() {
    let report: QuotaReport = serde_json::from_str(REPORT).expect("a report");
    let report = QuotaReport {
        version: None,
        copy_age_ms: None,
        uncounted: 3,
        organisations: Vec::new(),
        ..report
    };
    let expected = "\
VM 10.0.0.1: no configuration, store copy never up to date, counts of the last 61 s
3 outcomes since the start are not in the counts: too many organisations
no organisation has a limit";
    expect_that!(describe_report(&report), eq(expected));
}
