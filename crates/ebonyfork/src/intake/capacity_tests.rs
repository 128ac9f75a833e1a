use googletest::prelude::*;

use super::*;

fn read(text: &str) -> (VmCapacity, String) {
    let mut findings = FindingList::new();
    let document = IniDocument::parse("node.ini", text, &mut findings);
    let capacity = VmCapacity::read(&document, &mut findings);
    (capacity, findings.to_string())
}

#[gtest]
fn a_capacity_that_is_not_stated_has_defaults() {
    let (capacity, _findings) = read("[limits]\nmemory-mb = 64\n");
    expect_that!(capacity.memory_bytes, eq(64_000_000));
    expect_that!(capacity.descriptors, eq(1_024));
    expect_that!(read("[node]\n").0, eq(VmCapacity::default()));
}

#[gtest]
fn a_capacity_out_of_range_is_reported_with_its_place() {
    let (_capacity, findings) = read("[limits]\nmemory-mb = 1\nmax-descriptors = some\n");
    expect_that!(findings, contains_substring("node.ini:2"));
    expect_that!(findings, contains_substring("expected 32 to"));
    expect_that!(findings, contains_substring("node.ini:3"));
}
