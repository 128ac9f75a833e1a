use googletest::prelude::*;

use super::*;

#[gtest]
fn only_texts_of_the_valid_form_parse_as_names() {
    for text in [
        "",
        "A",
        "a b",
        "-a",
        "a/b",
        "ä",
        &"a".repeat(MAX_NAME_BYTES + 1),
    ] {
        expect_that!(text.parse::<ServiceName>(), err(anything()), "{text}");
    }
    for text in ["a", "0", "tender-00", "a_b.c"] {
        expect_that!(
            text.parse::<ServiceName>().map(|name| name.to_string()),
            ok(eq(text))
        );
    }
}

#[gtest]
fn attempt_ids_round_trip_through_text() {
    let session = SessionId::new(VmAddress("::1".parse().unwrap()), IncarnationNumber(9));
    let query = QueryId { session, number: 3 };
    let attempt = AttemptId { query, number: 4 };
    expect_that!(attempt.to_string().parse::<AttemptId>(), ok(eq(&attempt)));
}
