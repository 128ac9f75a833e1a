use googletest::prelude::*;

use super::*;

const COMPLETE_DECLARATION: &str = "\
[service tender-00]
connections = 25
drain = 10s
[class tender-search]
index = tenders
scope = all            ; all | one
latency = 300ms
percentile = 99
coverage = 0.98
gives-way = latency    ; latency | coverage
bound = 2s
idempotent = yes
[organisation roofers]
classes = tender-search
";

#[gtest]
fn a_complete_declaration_is_parsed() {
    let files = [DeclaredFile::new("a.ini", COMPLETE_DECLARATION)];
    let config = DeclaredConfig::parse(&files, RevisionNumber(3)).expect("no findings");
    expect_that!(config.revision, eq(RevisionNumber(3)));
    let class = &config.classes[&"tender-search".parse().unwrap()];
    expect_that!(class.bound, eq(Duration::from_secs(2)));
    expect_that!(class.priority, eq(TargetPriority::CoverageFirst));
    expect_that!(config.organisations.len(), eq(1));
    expect_that!(config.services.len(), eq(1));
}
