use googletest::prelude::*;

use super::*;

#[gtest]
fn findings_are_displayed_in_order_of_location() {
    let mut findings = FindingList::new();
    findings.push("b.ini", 1, "second");
    findings.push("a.ini", 9, "first");
    findings.push("b.ini", 0, "whole file");
    expect_that!(
        findings.to_string(),
        eq("a.ini:9: first\nb.ini: whole file\nb.ini:1: second")
    );
    expect_that!(findings.into_result(()), err(anything()));
}
