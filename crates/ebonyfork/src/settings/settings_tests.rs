use googletest::prelude::*;

use super::*;

#[gtest]
fn all_findings_of_a_settings_file_are_reported_together() {
    let text = "[node]\nvm = here\nzone = A\ncaller-port = 1\npeer-port = 1\noperator-port = 0\n\
                [logs]\n[experiment]\nhedge = maybe\n";
    let findings = NodeSettings::parse("n.ini", text).unwrap_err().to_string();
    let lines: Vec<&str> = findings.lines().collect();
    expect_that!(lines.len(), eq(7), "{findings}");
    expect_that!(lines[0], eq("n.ini: lacks the section [platform]"));
    expect_that!(
        lines[5],
        starts_with("n.ini:7: unknown section `logs`, did you mean `log`?")
    );
}
