use googletest::prelude::*;

use super::*;

#[gtest]
fn hex_identities_read_back_and_reject_other_texts() {
    let change = ChangeId([0xab; 16]);
    expect_that!(change.to_string().parse::<ChangeId>(), ok(eq(&change)));
    for text in ["", "ab", &"g".repeat(32), &"é".repeat(16), &"ab".repeat(17)] {
        expect_that!(text.parse::<ChangeId>(), err(anything()), "{text}");
    }
}

#[gtest]
fn a_file_above_the_value_limit_is_a_finding() {
    let text = format!("; {}\n", "x".repeat(VALUE_LIMIT));
    let findings = PartSet::new(&[DeclaredFile::new("big.ini", text)]).unwrap_err();
    expect_that!(findings.to_string(), contains_substring("split the file"));
    let fits = format!("; {}\n", "x".repeat(VALUE_LIMIT - 3));
    let set = PartSet::new(&[DeclaredFile::new("big.ini", fits)]);
    expect_that!(set.map(|set| set.texts[0].len()), ok(eq(&VALUE_LIMIT)));
}
