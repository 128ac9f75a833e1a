use googletest::prelude::*;

use super::*;

#[gtest]
fn time_spans_and_byte_sizes_round_trip_through_text() {
    for text in ["1us", "300ms", "5s", "10min", "2h", "0ms"] {
        expect_that!(
            text.parse::<TimeSpan>().map(|span| span.to_string()),
            ok(eq(text))
        );
    }
    for text in ["0", "7", "64KiB", "1MiB", "3GiB"] {
        expect_that!(
            text.parse::<ByteSize>().map(|size| size.to_string()),
            ok(eq(text))
        );
    }
    for text in [
        "",
        "5",
        "ms",
        "5 s",
        "-5s",
        "5d",
        "99999999999999999999s",
        "99999999999999h",
    ] {
        expect_that!(text.parse::<TimeSpan>(), err(anything()), "{text}");
    }
}
