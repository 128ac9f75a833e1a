use googletest::prelude::*;

use super::*;

#[gtest]
fn each_finding_has_the_line_of_its_error() {
    let text = "stray = 1\n[node]\nport = x\nport = 2\nzome = a\n[broken\nword\n# note = 1\n";
    let mut findings = FindingList::new();
    let document = IniDocument::parse("n.ini", text, &mut findings);
    let mut reader = SectionReader::new("n.ini", &document.sections[0], &mut findings);
    expect_that!(reader.required::<u16>("port"), none());
    expect_that!(reader.required::<String>("zone"), none());
    reader.finish();
    expect_that!(
        findings.to_string(),
        eq("n.ini:1: `stray` stands before the first section\n\
            n.ini:2: [node] lacks the key `zone`\n\
            n.ini:3: port: invalid digit found in string\n\
            n.ini:4: `port` already stands at line 3\n\
            n.ini:5: unknown key `zome`, did you mean `zone`?\n\
            n.ini:6: malformed section header `[broken`\n\
            n.ini:7: expected `key = value`, found `word`")
    );
}
